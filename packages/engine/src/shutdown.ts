import type { Clock, Millis } from '@shallotpick/core';
import type { Statement } from './statement.js';

/** Time reserved before the platform kills the process, so that the last answers are sent. */
const EXIT_MARGIN_MS: Millis = 500;
/** Fraction of the grace time in which open transactions may end. */
const TRANSACTION_FRACTION = 0.5;

/** What a caller is told whose work would not end before the process does. */
export const SHUTTING_DOWN = 'the proxy is shutting down';

/**
 * The times of a planned stop: which work may still start, and when all that runs is ended. Whoever
 * passes a statement on asks here first, so that no caller is served until the process is killed.
 */
export class ShutdownSchedule {
  private startedAt: Millis | undefined;

  private graceMs: Millis = 0;

  private isStopped = false;

  constructor(private readonly clock: Clock) {}

  /** Starts the stop of a process that is killed after `graceMs`. */
  start(graceMs: Millis): void {
    this.startedAt = this.clock.readNow();
    this.graceMs = graceMs;
  }

  /** Ends the time early, or without a start; nothing runs any more. */
  stop(): void {
    this.isStopped = true;
  }

  hasStarted(): boolean {
    return this.startedAt !== undefined;
  }

  /** Time since the start; 0 before it. */
  measureElapsed(): Millis {
    return this.startedAt === undefined ? 0 : this.clock.readNow() - this.startedAt;
  }

  /** True when nothing runs any more, since the process is about to be killed. */
  isOver(): boolean {
    return this.isStopped || (this.hasStarted() && this.measureRemaining() <= 0);
  }

  /** True when open transactions have had their time to end, and new ones would have none. */
  areTransactionsOver(): boolean {
    return this.isStopped || this.isLate();
  }

  /**
   * True when work may start that ends within `timeoutMs`. In the first part of the grace time all
   * may start; what then still runs at the end is ended with an answer.
   */
  mayStart(timeoutMs: Millis): boolean {
    if (this.isStopped) return false;
    return !this.isLate() || this.measureRemaining() >= timeoutMs;
  }

  /**
   * True when an open transaction may go on with a statement of this kind that ends within
   * `timeoutMs`. A transaction whose time is over may still commit if that is sure to end.
   */
  mayContinueTransaction(kind: Statement['kind'], timeoutMs: Millis): boolean {
    if (kind === 'rollback') return true;
    return kind === 'commit' ? this.mayStart(timeoutMs) : !this.areTransactionsOver();
  }

  private isLate(): boolean {
    return this.hasStarted() && this.measureElapsed() >= this.graceMs * TRANSACTION_FRACTION;
  }

  /** Time until all that runs is ended. */
  private measureRemaining(): Millis {
    return this.graceMs - EXIT_MARGIN_MS - this.measureElapsed();
  }
}
