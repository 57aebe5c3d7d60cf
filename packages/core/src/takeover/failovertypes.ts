import type { DatabaseGroup, GroupRecord } from '../group.js';
import type { LogPosition } from '../position.js';

/** An instance's answer to a fence request. */
export interface FenceAnswer {
  readonly instance: string;
  readonly incarnation: string;
  readonly term: number;
  readonly granted: boolean;
  readonly durable: LogPosition;
}

/** The outcome of a conditional update. `lost`: it may or may not have taken effect. */
export type WriteOutcome =
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'lost' };

/** Updates the record only if its version is `expectedVersion`; 0 means that it must be absent. */
export interface WriteAction {
  readonly kind: 'writeRecord';
  readonly record: GroupRecord;
  readonly expectedVersion: number;
}

/** A request of a `FailoverCoordinator` to the platform or an instance. */
export type FailoverAction =
  | WriteAction
  | { readonly kind: 'readRecord'; readonly group: string }
  | { readonly kind: 'fence'; readonly instance: string; readonly term: number }
  | {
      readonly kind: 'promote';
      readonly instance: string;
      readonly term: number;
      /** The life of the instance that was chosen; another one must refuse. */
      readonly incarnation?: string;
    }
  | {
      readonly kind: 'follow';
      readonly instance: string;
      readonly term: number;
      readonly primary: string;
    };

/** Options of a `FailoverCoordinator`. */
export interface FailoverOptions {
  readonly vm: string;
  readonly zone: string;
  readonly group: DatabaseGroup;
  /** Creates an id that no other write has. */
  readonly createAttempt: () => string;
  /** Returns numbers from 0 up to, not including, 1, for the jitter of repeated attempts. */
  readonly random: () => number;
}

/** What a `FailoverCoordinator` asks its driver to do. */
export type FailoverActions = readonly FailoverAction[];

/** The step that a coordinator's failover has reached. */
export type FailoverStep =
  | { readonly kind: 'watching' }
  | { readonly kind: 'claiming' | 'naming'; readonly write: WriteAction }
  | { readonly kind: 'fencing' | 'promoting'; readonly record: GroupRecord };
