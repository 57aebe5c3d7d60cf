import type { Clock, DatabaseInstance, Millis } from '@shallotpick/core';
import { ConnectionPool as PoolBase } from '@shallotpick/engine';
import { InstanceConnection } from './connection.js';
import type { CaFile } from './tls.js';

const CONNECT_TIMEOUT_MS: Millis = 2_000;

/** Options of {@link ConnectionPool}. */
export interface PoolOptions {
  readonly instance: DatabaseInstance;
  readonly database: string;
  readonly user: string;
  readonly applicationName: string;
  /** CA that signs the instance's certificate; without it the connection is cleartext. */
  readonly caFile?: CaFile | undefined;
  /** Used to close connections that have been idle for long. */
  readonly clock: Clock;
}

/** The pool of PostgreSQL connections to one instance. */
export class ConnectionPool extends PoolBase<InstanceConnection> {
  constructor(private readonly options: PoolOptions) {
    super(options.clock);
  }

  protected override async openConnection(): Promise<InstanceConnection> {
    return InstanceConnection.open({ ...this.options, timeoutMs: CONNECT_TIMEOUT_MS });
  }
}
