import type { DatabaseGroup, GroupRecord } from './group.js';
import type { LogPosition } from './position.js';

/** An instance's answer to a fence request. */
export interface FenceAnswer {
  readonly instance: string;
  readonly term: number;
  readonly granted: boolean;
  readonly durable: LogPosition;
}

/** The outcome of a conditional update. `lost`: it may or may not have taken effect. */
export type WriteOutcome =
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'lost' };

/** A request to change the record only while it has `expectedVersion`; 0: while it is absent. */
export interface WriteAction {
  readonly kind: 'writeRecord';
  readonly record: GroupRecord;
  readonly expectedVersion: number;
}

export type FailoverAction =
  | WriteAction
  | { readonly kind: 'readRecord'; readonly group: string }
  | { readonly kind: 'fence'; readonly instance: string; readonly term: number }
  | { readonly kind: 'promote'; readonly instance: string; readonly term: number }
  | {
      readonly kind: 'follow';
      readonly instance: string;
      readonly term: number;
      readonly primary: string;
    };

export interface FailoverOptions {
  readonly vm: string;
  readonly zone: string;
  readonly group: DatabaseGroup;
  /** Creates an id that no other write has. */
  readonly createAttempt: () => string;
  /** Spreads repeated attempts; numbers from 0 up to 1. */
  readonly random: () => number;
}

/** What the coordinator asks its driver to do. */
export type FailoverActions = readonly FailoverAction[];

/** The step of a failover in which a coordinator is. */
export type FailoverStep =
  | { readonly kind: 'watching' }
  | { readonly kind: 'claiming' | 'naming'; readonly write: WriteAction }
  | { readonly kind: 'fencing' | 'promoting'; readonly record: GroupRecord };
