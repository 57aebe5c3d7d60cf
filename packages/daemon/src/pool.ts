import type { DatabaseInstance, Millis } from '@shallotpick/core';
import { InstanceConnection } from './connection.js';
import type { TrustFile } from './tls.js';

/** A connection with more prepared statements is replaced, which bounds the instance's memory. */
const MAX_STATEMENTS = 500;
const CONNECT_TIMEOUT_MS: Millis = 2_000;

export interface PoolOptions {
  readonly instance: DatabaseInstance;
  readonly database: string;
  readonly user: string;
  readonly applicationName: string;
  /** CA of the instance; cleartext without. */
  readonly trust?: TrustFile | undefined;
}

/**
 * The connections of this proxy to one instance. The admission queue limits how many requests
 * run at once, so the pool opens at most that many connections and keeps them.
 */
export class ConnectionPool {
  private readonly idle: InstanceConnection[] = [];

  private readonly open = new Set<InstanceConnection>();

  private leaving = false;

  constructor(private readonly options: PoolOptions) {}

  /** Takes an idle connection or opens one. */
  async connect(): Promise<InstanceConnection> {
    for (let next = this.idle.pop(); next; next = this.idle.pop()) {
      if (next.isUsable()) return next;
      this.open.delete(next);
    }
    const connection = await InstanceConnection.open({
      ...this.options,
      timeoutMs: CONNECT_TIMEOUT_MS,
    });
    this.open.add(connection);
    return connection;
  }

  /** While the instance is leaving, no connection is kept idle. */
  updateLeaving(leaving: boolean): void {
    this.leaving = leaving;
    if (!leaving) return;
    this.idle.splice(0).forEach((connection) => {
      connection.close();
      this.open.delete(connection);
    });
  }

  /** Takes a connection back; one that is in doubt is closed. */
  release(connection: InstanceConnection): void {
    const { isCancelled, statements } = connection;
    const isClean = connection.state === 'I' && !connection.isBusy() && !isCancelled;
    const isKept = isClean && !this.leaving;
    if (connection.isUsable() && isKept && statements.size <= MAX_STATEMENTS) {
      this.idle.push(connection);
      return;
    }
    connection.close();
    this.open.delete(connection);
  }

  close(): void {
    this.open.forEach((connection) => connection.close());
    this.open.clear();
    this.idle.length = 0;
  }
}
