import type { Operation } from '@shallotpick/engine';
import type { LogEntry } from './instancelog.js';
import type { LostLog } from './promotionorders.js';

/** A statement that an instance has executed. */
export interface ExecutedStatement {
  /** Request id set by the caller; undefined for statements that a proxy issues itself. */
  readonly id: string | undefined;
  readonly group: string;
  readonly instance: string;
  /** Who has opened the connection, as the instance was told. */
  readonly caller: string;
  /** Session variables of the connection. */
  readonly values: ReadonlyMap<string, string>;
  /** The operation without the minimum position that a proxy prepends. */
  readonly operation: Operation;
}

/** A commit that enough replicas have received, so that the leader acknowledges it. */
export interface Commit {
  readonly group: string;
  readonly instance: string;
  readonly entry: LogEntry;
  /** Offset in the log, from 1. */
  readonly offset: number;
}

/** A promotion at the moment when it takes effect, with the log of the new leader. */
export interface Promotion {
  readonly group: string;
  readonly instance: string;
  readonly term: number;
  readonly entries: readonly LogEntry[];
  /**
   * Entries of dropped logs that no instance of the group held, neither when the order arrived nor
   * now, so that no choice of another instance would have saved them.
   */
  readonly lostEntries: readonly LogEntry[];
  /** The log that the instance has lost since the order arrived; undefined if it has none lost. */
  readonly lostLog?: LostLog;
}

/** A promotion request as the platform received it. */
export interface PromotionRequest {
  readonly group: string;
  readonly holder: string;
  readonly generation: number;
}

/** Receives the events of instances and of the platform; a checker implements its handlers. */
export abstract class EmulatorObserver {
  abstract handleStatement(statement: ExecutedStatement): void;
  abstract handleCommit(commit: Commit): void;
  abstract handlePromotion(promotion: Promotion): void;
  abstract handlePromotionRequest(order: PromotionRequest): void;
}
