import type { Clock, LogPosition, Millis, RetryBudget } from '@shallotpick/core';
import type { ConfigurationHolder } from './configuration.js';
import type { GroupService } from './group.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import type { DataStatement } from './run.js';
import type { PreparedStatement } from './setup.js';
import type { Failure, Reply, TransactionState } from './statement.js';
import type { SessionCommit } from './view.js';

export interface SessionOptions {
  readonly database: string;
  /** Name by which the queue takes callers in turn. */
  readonly caller: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly configuration: ConfigurationHolder;
  readonly findGroup: (name: string) => GroupService | undefined;
  readonly retries: RetryBudget;
}

/** What the runners of a session share. */
export class SessionContext {
  readonly variables = new Map<string, string>();

  readonly statements = new Map<string, PreparedStatement>();

  /** The session's last commit. */
  lastCommit: SessionCommit | undefined;

  isClosed = false;

  constructor(readonly options: SessionOptions) {}

  readNow(): Millis {
    return this.options.clock.readNow();
  }

  /** Raises the session's floor to its own commit. */
  handleCommit(position: LogPosition | undefined): void {
    if (position) this.lastCommit = { position, acknowledgedAt: this.readNow() };
  }

  /** True when the statement changes data; undefined when its name is not known. */
  isWrite(statement: DataStatement): boolean | undefined {
    if (statement.kind !== 'execute') return statement.kind === 'write';
    const prepared = this.statements.get(statement.name);
    return prepared && prepared.access === 'write';
  }
}

/** Creates the answer to a request that the proxy answers itself. */
export function createLocalReply(state: TransactionState, failure?: Failure): Reply {
  return { rows: [], digest: undefined, failure, state, position: undefined };
}
