import type { Operation } from '@shallotpick/engine';
import type { LogEntry } from './instancelog.js';

/** A statement as an instance ran it. */
export interface ExecutedStatement {
  /** The caller's id; undefined for statements of a proxy itself. */
  readonly id: string | undefined;
  readonly instance: string;
  /** The session values that the connection held. */
  readonly values: ReadonlyMap<string, string>;
  /** Without the position that a proxy puts before it. */
  readonly operation: Operation;
}

/** A commit that a replica has received, so that its leader acknowledges it. */
export interface Commit {
  readonly group: string;
  readonly instance: string;
  readonly entry: LogEntry;
  /** Place in the log, from 1. */
  readonly offset: number;
}

/** A change of the leader, at the moment when it is carried out. */
export interface Promotion {
  readonly group: string;
  readonly instance: string;
  readonly term: number;
  readonly entries: readonly LogEntry[];
}

/** An order of a promotion as the platform received it. */
export interface PromotionRequest {
  readonly group: string;
  readonly holder: string;
  readonly generation: number;
}

/** Sees what instances and the platform do; checks override what they need. */
export abstract class EmulatorObserver {
  abstract handleStatement(statement: ExecutedStatement): void;
  abstract handleCommit(commit: Commit): void;
  abstract handlePromotion(promotion: Promotion): void;
  abstract handlePromotionRequest(order: PromotionRequest): void;
}
