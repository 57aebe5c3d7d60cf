import type { Millis } from '../clock.js';

/** When a connection to an instance was opened, and whether it still is. */
export interface ConnectionTrace {
  /** When this VM began to connect. */
  readonly dialedAt: Millis;
  /** When the instance had accepted the connection. */
  readonly openedAt: Millis;
  /** False once the connection is closed or has failed. */
  isUsable(): boolean;
}

/**
 * Follows one process of an instance over the connections to it. A connection ends with the process,
 * and an address has one process at a time: a connection that was opened while the process is known
 * to have run is one to the same process.
 */
export class ProcessContinuity {
  /** When the process is known to have run for the first time. */
  private startedBy: Millis = Number.POSITIVE_INFINITY;

  /** A time at or before which the process is known to have run for the last time. */
  private seenAt: Millis = Number.NEGATIVE_INFINITY;

  private readonly connections = new Set<ConnectionTrace>();

  /** The process has run since this time at the latest. */
  get since(): Millis {
    return this.startedBy;
  }

  /** True for a connection that is known to be one to this process, also when it has ended. */
  hasConnection(connection: ConnectionTrace): boolean {
    if (this.connections.has(connection)) return true;
    return connection.dialedAt >= this.startedBy && connection.openedAt <= this.seenAt;
  }

  /**
   * Handles a reply to a request that was sent at `sentAt`. Follows the connection's process from now
   * on if no connection to the present one is left.
   *
   * @returns `same` for a reply of the process, `new` if another one is followed from now on,
   *   `unknown` if the reply may be of another one
   */
  handleReply(connection: ConnectionTrace, sentAt: Millis): 'same' | 'new' | 'unknown' {
    if (this.hasConnection(connection)) {
      this.connections.add(connection);
      this.seenAt = Math.max(this.seenAt, sentAt);
      return 'same';
    }
    this.dropClosed();
    if (this.connections.size > 0) return 'unknown';
    this.connections.add(connection);
    this.startedBy = connection.openedAt;
    this.seenAt = Math.max(connection.openedAt, sentAt);
    return 'new';
  }

  private dropClosed(): void {
    this.connections.forEach((one) => {
      if (!one.isUsable()) this.connections.delete(one);
    });
  }
}
