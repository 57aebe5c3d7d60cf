import type { Clock, Millis } from '@shallotpick/core';

/** Delay before another warm-up after one failed; a lost instance refuses connections at once. */
const WARM_UP_RETRY_MS: Millis = 500;
/** Peaks recur within minutes; opening a connection takes 10 to 30 ms, an idle one is cheap. */
const IDLE_TIMEOUT_MS: Millis = 120_000;

/** When a pool closes idle connections. */
export interface IdlePolicy {
  /** A connection that has been idle for this long is closed. */
  readonly idleTimeoutMs: Millis;
  /** Number of connections that the idle timeout leaves open. */
  readonly minOpen: number;
}

/** True for a connection in this VM's own name, which callers with an organisation can't use. */
function isOwn({ organisation }: PooledConnection): boolean {
  return organisation === undefined;
}

/** A connection that a pool can manage. */
export interface PooledConnection {
  /** Organisation that the instance was told; undefined for connections in the VM's own name. */
  readonly organisation?: string | undefined;
  /** False once the connection is closed or has failed. */
  isUsable(): boolean;
  /** True when the connection has no transaction or reply pending, so that it can be reused. */
  isClean(): boolean;
  close(): void;
}

/** An idle connection and since when it has been idle. */
interface IdleConnection<C> {
  readonly connection: C;
  readonly since: Millis;
}

/**
 * Connection pool of one instance. The admission queue limits the number of concurrent requests,
 * so the pool opens at most that many connections and keeps them for reuse.
 */
export abstract class ConnectionPool<C extends PooledConnection> {
  private idle: IdleConnection<C>[] = [];

  private readonly open = new Set<C>();

  private leaving = false;

  private opening = 0;

  private limit = Number.POSITIVE_INFINITY;

  private isDraining = false;

  /** When warming up last failed. */
  private failedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: Clock,
    private readonly idlePolicy: IdlePolicy = { idleTimeoutMs: IDLE_TIMEOUT_MS, minOpen: 0 },
  ) {}

  /**
   * Opens a connection to the instance in the name of an organisation, or of this VM;
   * implementations apply their own timeout.
   */
  protected abstract openConnection(organisation: string | undefined): Promise<C>;

  /** Number of connections that are open or being opened. */
  countOpen(): number {
    return this.open.size + this.opening;
  }

  /** True while the limit allows another connection. */
  hasRoom(): boolean {
    return this.countOpen() < this.limit;
  }

  /**
   * Takes an idle connection, one in the name of this VM if possible, or opens one. Callers' work
   * uses `connectFor`.
   */
  async connect(): Promise<C> {
    return this.takeIdle(isOwn) ?? this.openOne(undefined);
  }

  /**
   * Takes an idle connection of the organisation, or opens one. At the limit it replaces the
   * connection of another organisation that has been idle for longest.
   */
  async connectFor(organisation: string | undefined): Promise<C> {
    const idle = this.takeIdleOf(organisation);
    if (idle) return idle;
    if (!this.hasRoom()) this.closeLongestIdle();
    return this.openOne(organisation);
  }

  /** Takes an idle connection, a preferred one if possible; undefined when there is none. */
  takeIdle(isPreferred?: (connection: C) => boolean): C | undefined {
    if (isPreferred) this.movePreferredToEnd(isPreferred);
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

  /** Returns a connection to the pool; closes it when it isn't reusable or exceeds the limit. */
  release(connection: C): void {
    const isKept = connection.isUsable() && connection.isClean();
    const isOpen = !this.isDraining && !this.leaving && this.countOpen() <= this.limit;
    if (isKept && isOpen) {
      this.idle.push({ connection, since: this.clock.readNow() });
      return;
    }
    this.closeOne(connection);
  }

  /** Sets the limit; closes idle connections above it and those that have timed out. */
  updateLimit(limit: number): void {
    this.limit = limit;
    const oldest = this.clock.readNow() - this.idlePolicy.idleTimeoutMs;
    this.idle = this.idle.filter(({ connection, since }) => {
      const isRecent =
        since > oldest || !isOwn(connection) || this.countOpen() <= this.idlePolicy.minOpen;
      const isKept = connection.isUsable() && isRecent && this.countOpen() <= limit;
      if (!isKept) this.closeOne(connection);
      return isKept;
    });
  }

  /** Opens connections in advance until `count` are open, unless one has just failed. */
  warmUp(count: number): void {
    const now = this.clock.readNow();
    if (now - this.failedAt < WARM_UP_RETRY_MS) return;
    const missing = Math.min(count, this.limit) - this.countOpen();
    for (let index = 0; index < missing && !this.isDraining && !this.leaving; index++) {
      this.openOne(undefined).then(
        (connection) => this.release(connection),
        // Work that needs a connection reports the failure itself.
        () => {
          this.failedAt = this.clock.readNow();
        },
      );
    }
  }

  /** Closes the idle connections. */
  closeIdle(): void {
    this.idle.forEach(({ connection }) => this.closeOne(connection));
    this.idle = [];
  }

  /** Closes all present connections; new ones may be opened. */
  closePresent(): void {
    this.closeIdle();
    this.open.forEach((connection) => this.closeOne(connection));
  }

  /** Closes idle connections now and the others when they are released. */
  drain(): void {
    this.isDraining = true;
    this.closeIdle();
  }

  /** Closes all connections at once. */
  close(): void {
    this.drain();
    this.closePresent();
  }

  private movePreferredToEnd(isPreferred: (connection: C) => boolean): void {
    const index = this.idle.findLastIndex(
      ({ connection }) => connection.isUsable() && isPreferred(connection),
    );
    if (index >= 0) this.idle.push(...this.idle.splice(index, 1));
  }

  private takeIdleOf(organisation: string | undefined): C | undefined {
    const isMeant = (connection: C): boolean => connection.organisation === organisation;
    this.movePreferredToEnd(isMeant);
    const last = this.idle.at(-1)?.connection;
    return last && last.isUsable() && isMeant(last) ? this.takeIdle() : undefined;
  }

  private closeLongestIdle(): void {
    const [oldest] = this.idle.splice(0, 1);
    if (oldest) this.closeOne(oldest.connection);
  }

  private closeOne(connection: C): void {
    connection.close();
    this.open.delete(connection);
  }

  private async openOne(organisation: string | undefined): Promise<C> {
    this.opening += 1;
    try {
      const connection = await this.openConnection(organisation);
      this.open.add(connection);
      return connection;
    } finally {
      this.opening -= 1;
    }
  }
}
