import type { Clock, DatabaseInstance, Millis } from '@shallotpick/core';
import { InstanceConnection } from './connection.js';
import type { TrustFile } from './tls.js';

const CONNECT_TIMEOUT_MS: Millis = 2_000;
/** A connection with more prepared statements is replaced, which bounds the instance's memory. */
const MAX_STATEMENTS = 500;
/** A lost instance refuses at once; it is not dialled ahead of demand more often than this. */
const OPEN_PAUSE_MS: Millis = 500;
/** A crest returns within minutes; a connection costs 10 to 30 ms, an idle one almost nothing. */
const IDLE_CLOSE_MS: Millis = 120_000;

export interface PoolOptions {
  readonly instance: DatabaseInstance;
  readonly database: string;
  readonly user: string;
  readonly applicationName: string;
  /** CA of the instance; cleartext without. */
  readonly trust?: TrustFile | undefined;
  /** Needed to close connections that have been idle for long. */
  readonly clock?: Clock;
}

interface Idle {
  readonly connection: InstanceConnection;
  readonly since: Millis;
}

/**
 * The connections of this proxy to one instance. The admission queue limits how many requests
 * run at once, so the pool opens at most that many connections and keeps them.
 */
export class ConnectionPool {
  private idle: Idle[] = [];

  private readonly open = new Set<InstanceConnection>();

  private leaving = false;

  private opening = 0;

  private limit = Number.POSITIVE_INFINITY;

  private isDraining = false;

  /** When a connection opened ahead of demand last failed. */
  private failedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: PoolOptions) {}

  /** Connections that are open or being opened. */
  countOpen(): number {
    return this.open.size + this.opening;
  }

  /** Takes an idle connection or opens one. */
  async connect(): Promise<InstanceConnection> {
    for (let next = this.idle.pop(); next; next = this.idle.pop()) {
      if (next.connection.isUsable()) return next.connection;
      this.open.delete(next.connection);
    }
    return this.openConnection();
  }

  /** While the instance is leaving, no connection is kept idle. */
  updateLeaving(leaving: boolean): void {
    this.leaving = leaving;
    if (!leaving) return;
    this.idle.forEach(({ connection }) => this.closeOne(connection));
    this.idle = [];
  }

  /** Takes a connection back; one that is in doubt or above the limit is closed. */
  release(connection: InstanceConnection): void {
    const { isCancelled, statements } = connection;
    const isClean = connection.state === 'I' && !connection.isBusy() && !isCancelled;
    const isKept = connection.isUsable() && isClean && statements.size <= MAX_STATEMENTS;
    const isOpen = !this.isDraining && !this.leaving && this.countOpen() <= this.limit;
    if (isKept && isOpen) {
      this.idle.push({ connection, since: this.options.clock?.readNow() ?? 0 });
      return;
    }
    this.closeOne(connection);
  }

  /** Closes idle connections above `limit`, and those that have been idle for long. */
  updateLimit(limit: number): void {
    this.limit = limit;
    const oldest = (this.options.clock?.readNow() ?? 0) - IDLE_CLOSE_MS;
    this.idle = this.idle.filter(({ connection, since }) => {
      const isKept = connection.isUsable() && since > oldest && this.countOpen() <= limit;
      if (!isKept) this.closeOne(connection);
      return isKept;
    });
  }

  /** Opens connections ahead of demand until `count` are open, unless one has just failed. */
  openAhead(count: number): void {
    const now = this.options.clock?.readNow() ?? 0;
    if (now - this.failedAt < OPEN_PAUSE_MS) return;
    const missing = Math.min(count, this.limit) - this.countOpen();
    for (let index = 0; index < missing && !this.isDraining && !this.leaving; index++) {
      this.openConnection().then(
        (connection) => this.release(connection),
        // Work that needs the connection meets and reports the failure itself.
        () => {
          this.failedAt = this.options.clock?.readNow() ?? 0;
        },
      );
    }
  }

  /** Closes idle connections now and the others as they come back. */
  drain(): void {
    this.isDraining = true;
    this.idle.forEach(({ connection }) => this.closeOne(connection));
    this.idle = [];
  }

  /** Closes all connections at once. */
  close(): void {
    this.drain();
    this.open.forEach((connection) => this.closeOne(connection));
  }

  private closeOne(connection: InstanceConnection): void {
    connection.close();
    this.open.delete(connection);
  }

  private async openConnection(): Promise<InstanceConnection> {
    this.opening += 1;
    try {
      const connection = await InstanceConnection.open({
        ...this.options,
        timeoutMs: CONNECT_TIMEOUT_MS,
      });
      this.open.add(connection);
      return connection;
    } finally {
      this.opening -= 1;
    }
  }
}
