import type { Clock, LogPosition, Millis, RetryBudget } from '@shallotpick/core';
import type { ConfigurationHolder } from './configuration.js';
import type { GroupAccess } from './access.js';
import type { CallerIdentity } from './identity.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import type { OperationQuota } from './operationquota.js';
import { findAccess, type PreparedStatement } from './setup.js';
import type { DataStatement, Failure, Reply, TransactionState } from './statement.js';
import type { SessionCommit } from './view.js';

/** Properties and services of a session. */
export interface SessionOptions {
  readonly database: string;
  /**
   * Name by which the admission queue shares slots fairly among callers without an organisation. It
   * must not be a key, since other VMs are told.
   */
  readonly caller: string;
  readonly identity: CallerIdentity;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly configuration: ConfigurationHolder;
  readonly findGroup: (name: string) => GroupAccess | undefined;
  readonly retries: RetryBudget;
  readonly quota: OperationQuota;
}

/** State of a session that its statements and transactions share. */
export class SessionContext {
  readonly variables = new Map<string, string>();

  readonly statements = new Map<string, PreparedStatement>();

  /** The session's last acknowledged commit. */
  lastCommit: SessionCommit | undefined;

  isClosed = false;

  constructor(readonly options: SessionOptions) {}

  readNow(): Millis {
    return this.options.clock.readNow();
  }

  /** Records the session's last commit, which its later reads must include. */
  handleCommit(position: LogPosition | undefined): void {
    if (position) this.lastCommit = { position, acknowledgedAt: this.readNow() };
  }

  /** True when the statement writes; undefined when its prepared name is unknown. */
  isWrite(statement: DataStatement): boolean | undefined {
    const access = findAccess(this, statement);
    return access && access === 'write';
  }
}

/** Creates a reply of the proxy itself, without rows or a log position. */
export function createLocalReply(state: TransactionState, failure?: Failure): Reply {
  return { rows: [], digest: undefined, failure, state, position: undefined };
}
