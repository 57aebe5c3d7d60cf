import {
  type Clock,
  type LogPosition,
  type Millis,
  type RetryBudgets,
  SessionPositions,
} from '@shallotpick/core';
import type { ConfigurationHolder } from './configuration.js';
import type { ProofDescription } from './configurationverifier.js';
import type { GroupAccess } from './access.js';
import type { CallerIdentity } from './identity.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import type { OperationQuota } from './operationquota.js';
import { findAccess, type PreparedStatement } from './setup.js';
import type { ShutdownSchedule } from './shutdown.js';
import type { DataStatement, Failure, Reply, TransactionState } from './statement.js';

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
  /** The version in force and its proof, for the log. */
  readonly describeProof: () => ProofDescription;
  /** True when callers may be refused by the version in force; otherwise its proof is requested. */
  readonly requestProof: () => boolean;
  readonly findGroup: (name: string) => GroupAccess | undefined;
  readonly retries: RetryBudgets;
  readonly quota: OperationQuota;
  readonly shutdown: ShutdownSchedule;
}

/** Bytes of the values and prepared statements of a session, which each connection needs. */
const MAX_STATE_BYTES = 2 * 1024 * 1024;

function countBytes(name: string, content: string | undefined): number {
  return content === undefined ? 0 : name.length + content.length;
}

/** State of a session that its statements and transactions share. */
export class SessionContext {
  readonly variables = new Map<string, string>();

  readonly statements = new Map<string, PreparedStatement>();

  /** What the session's reads must include. */
  readonly positions = new SessionPositions();

  isClosed = false;

  private stateBytes = 0;

  constructor(readonly options: SessionOptions) {}

  /** Returns the bytes of the session's values and prepared statements. */
  countStateBytes(): number {
    return this.stateBytes;
  }

  /** Sets a value; false, without a change, when the session would hold too much. */
  setVariable(name: string, value: string): boolean {
    const former = this.variables.get(name);
    if (!this.replaceBytes(name, former, value)) return false;
    this.variables.set(name, value);
    return true;
  }

  /** Adds a prepared statement; false, without a change, when the session would hold too much. */
  addStatement(name: string, statement: PreparedStatement): boolean {
    const former = this.statements.get(name)?.shape;
    if (!this.replaceBytes(name, former, statement.shape)) return false;
    this.statements.set(name, statement);
    return true;
  }

  /** Removes a prepared statement; false when there is none of this name. */
  removeStatement(name: string): boolean {
    this.stateBytes -= countBytes(name, this.statements.get(name)?.shape);
    return this.statements.delete(name);
  }

  private replaceBytes(name: string, former: string | undefined, next: string): boolean {
    const bytes = this.stateBytes - countBytes(name, former) + countBytes(name, next);
    if (bytes > MAX_STATE_BYTES) return false;
    this.stateBytes = bytes;
    return true;
  }

  readNow(): Millis {
    return this.options.clock.readNow();
  }

  /** Records the session's commit in a group, which its later reads there must include. */
  handleCommit(group: string, position: LogPosition | undefined): void {
    if (position) this.positions.handleCommit(group, position, this.readNow());
  }

  /** Notes the reply to a BEGIN that has proved that its instance leads the group. */
  handleLeadership(group: string, { failure, position }: Reply): void {
    if (failure || !position) return;
    this.positions.handleLeaderPosition(group, position, this.readNow());
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
