import type { Clock, Millis } from '@shallotpick/core';

/** A lost instance refuses at once; it is not dialled ahead of demand more often than this. */
const OPEN_PAUSE_MS: Millis = 500;
/** A crest returns within minutes; a connection costs 10 to 30 ms, an idle one almost nothing. */
const IDLE_CLOSE_MS: Millis = 120_000;

export interface IdlePolicy {
  /** An unused connection is closed after this long. */
  readonly idleTimeoutMs: Millis;
  /** Connections that are kept open all the same. */
  readonly minOpen: number;
}

/** A connection to an instance that a pool can keep. */
export interface PooledConnection {
  /** False once the connection is closed or broken. */
  isUsable(): boolean;
  /** True when nothing is unaccounted for, so that another request may use the connection. */
  isClean(): boolean;
  close(): void;
}

interface Idle<C> {
  readonly connection: C;
  readonly since: Millis;
}

/**
 * The connections of this proxy to one instance. The admission queue limits how many requests
 * run at once, so the pool opens at most that many connections and keeps them.
 */
export abstract class ConnectionPool<C extends PooledConnection> {
  private idle: Idle<C>[] = [];

  private readonly open = new Set<C>();

  private leaving = false;

  private opening = 0;

  private limit = Number.POSITIVE_INFINITY;

  private isDraining = false;

  /** When a connection opened ahead of demand last failed. */
  private failedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: Clock,
    private readonly trim: IdlePolicy = { idleTimeoutMs: IDLE_CLOSE_MS, minOpen: 0 },
  ) {}

  /** Opens a connection to the instance, with a time-out of its own. */
  protected abstract openConnection(): Promise<C>;

  /** Connections that are open or being opened. */
  countOpen(): number {
    return this.open.size + this.opening;
  }

  /** True when another connection may be opened. */
  hasRoom(): boolean {
    return this.countOpen() < this.limit;
  }

  /** Takes an idle connection or opens one. */
  async connect(): Promise<C> {
    return this.takeIdle() ?? this.openOne();
  }

  /** Takes an idle connection. */
  takeIdle(): C | undefined {
    for (let next = this.idle.pop(); next; next = this.idle.pop()) {
      if (next.connection.isUsable()) return next.connection;
      this.open.delete(next.connection);
    }
    return undefined;
  }

  /** While the instance is leaving, no connection is kept idle. */
  updateLeaving(leaving: boolean): void {
    this.leaving = leaving;
    if (leaving) this.closeIdle();
  }

  /** Takes a connection back; one that is in doubt or above the limit is closed. */
  release(connection: C): void {
    const isKept = connection.isUsable() && connection.isClean();
    const isOpen = !this.isDraining && !this.leaving && this.countOpen() <= this.limit;
    if (isKept && isOpen) {
      this.idle.push({ connection, since: this.clock.readNow() });
      return;
    }
    this.closeOne(connection);
  }

  /** Closes idle connections above `limit`, and those that have been idle for long. */
  updateLimit(limit: number): void {
    this.limit = limit;
    const oldest = this.clock.readNow() - this.trim.idleTimeoutMs;
    this.idle = this.idle.filter(({ connection, since }) => {
      const isRecent = since > oldest || this.countOpen() <= this.trim.minOpen;
      const isKept = connection.isUsable() && isRecent && this.countOpen() <= limit;
      if (!isKept) this.closeOne(connection);
      return isKept;
    });
  }

  /** Opens connections ahead of demand until `count` are open, unless one has just failed. */
  warmUp(count: number): void {
    const now = this.clock.readNow();
    if (now - this.failedAt < OPEN_PAUSE_MS) return;
    const missing = Math.min(count, this.limit) - this.countOpen();
    for (let index = 0; index < missing && !this.isDraining && !this.leaving; index++) {
      this.openOne().then(
        (connection) => this.release(connection),
        // Work that needs the connection meets and reports the failure itself.
        () => {
          this.failedAt = this.clock.readNow();
        },
      );
    }
  }

  /** Closes the unused connections. */
  closeIdle(): void {
    this.idle.forEach(({ connection }) => this.closeOne(connection));
    this.idle = [];
  }

  /** Closes idle connections now and the others as they come back. */
  drain(): void {
    this.isDraining = true;
    this.closeIdle();
  }

  /** Closes all connections at once. */
  close(): void {
    this.drain();
    this.open.forEach((connection) => this.closeOne(connection));
  }

  private closeOne(connection: C): void {
    connection.close();
    this.open.delete(connection);
  }

  private async openOne(): Promise<C> {
    this.opening += 1;
    try {
      const connection = await this.openConnection();
      this.open.add(connection);
      return connection;
    } finally {
      this.opening -= 1;
    }
  }
}
