import {
  type Clock,
  type Configuration,
  type Contract,
  findContract,
  mergeContracts,
  type RetryBudget,
  SessionPositions,
  type Statement,
} from '@shallotpick/core';
import {
  encodeErrorResponse,
  encodeParameterStatus,
  encodeReadyForQuery,
  type TransactionState,
} from '@shallotpick/wire';
import { match, P } from 'ts-pattern';
import type { CallerConnection } from './caller.js';
import type { GroupServer, Lease } from './group.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import { SessionParameters } from './parameters.js';
import type { Refusal } from './refusal.js';
import type { RequestSummary } from './summary.js';
import { type DecodedRequest, type EncodedRequest, PreparedStatements } from './prepared.js';
import { ResponseForwarder } from './forwarder.js';
import { SQLSTATE } from './sqlstate.js';

/** Parameter that reports the session token to the caller after a commit. */
export const TOKEN_PARAMETER = 'shallotpick.token';

/** Options of a session. */
export interface SessionOptions {
  readonly caller: CallerConnection;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly queueDeadlineMs: number;
  readonly retryBudget: RetryBudget;
  /** Computes the delay before a retry, which is numbered from 1. */
  readonly computeBackoff: (retry: number) => number;
  readonly findGroup: (name: string) => GroupServer | undefined;
  readonly readConfiguration: () => Configuration;
}

/** The open transaction of a session. */
export interface OpenTransaction {
  hasChanges: boolean;
  /** Idempotency keys inserted by this transaction. */
  readonly idempotencyKeys: Set<string>;
}

/** Why the wait for a connection ends without one. */
export type WaitInterruption = 'cancelled' | 'closed' | 'stopped';

/** State shared by the request runners of a session. */
export class SessionContext {
  /** The database from the startup message, which names a database group. */
  groupName = '';

  user = '';

  applicationName = '';

  readonly positions = new SessionPositions();

  readonly prepared = new PreparedStatements();

  readonly parameters = new SessionParameters();

  /** The connection of the running request or open transaction. */
  lease: Lease | undefined;

  transaction: OpenTransaction | undefined;

  /**
   * Set when a transaction was lost or its BEGIN refused: statements that the caller has already
   * pipelined for that transaction must not run outside it.
   */
  transactionFailure: 'lost' | 'refused' | undefined;

  isClosed = false;

  /** True once the daemon stops: the running request is the last, and is not retried. */
  isStopping = false;

  /** Interrupts the wait for a connection. */
  interruptWait: ((reason: WaitInterruption) => void) | undefined;

  constructor(readonly options: SessionOptions) {}

  /** The current server of the group; a release note may replace it between two requests. */
  get group(): GroupServer | undefined {
    return this.isStopping ? undefined : this.options.findGroup(this.groupName);
  }

  readTransactionState(): TransactionState {
    if (this.transactionFailure) return 'E';
    return this.transaction ? (this.lease?.connection.state ?? 'I') : 'I';
  }

  /** Sends an error that ends the request. */
  sendError(fields: Refusal): void {
    const error = encodeErrorResponse({ severity: 'ERROR', ...fields });
    this.options.caller.send(
      Buffer.concat([error, encodeReadyForQuery(this.readTransactionState())]),
    );
  }

  findContract(statements: readonly Statement[]): Contract {
    const { contracts } = this.options.readConfiguration();
    const { groupName: group, user, applicationName } = this;
    return mergeContracts(
      statements.map(({ text, contract: named }) =>
        findContract(contracts, { group, user, applicationName, statement: text, named }),
      ),
    );
  }

  /** True when the instance leads, or may lead, its group. */
  isPrimary(instance: string): boolean {
    const view = this.group?.readView();
    return view?.record?.primary === instance || view?.statuses.get(instance)?.role === 'primary';
  }

  createForwarder(
    { connection }: Lease,
    { expected }: EncodedRequest,
    holdsResult: boolean,
    isPipeline = false,
  ): ResponseForwarder {
    const { caller } = this.options;
    return new ResponseForwarder({
      caller,
      connection,
      prepared: this.prepared,
      expected,
      holdsResult,
      isPipeline,
    });
  }

  encode(request: DecodedRequest, { connection }: Lease): EncodedRequest {
    return this.prepared.encode(request, connection);
  }

  /** Returns the connection to its pool, which closes one that cannot be reused. */
  releaseLease(): void {
    const { lease } = this;
    this.lease = undefined;
    this.transaction = undefined;
    lease?.release();
  }

  /** Updates parameters and transaction state after a request; releases an idle connection. */
  handleRequestEnd(lease: Lease, summary: RequestSummary, forwarder: ResponseForwarder): void {
    const { connection } = lease;
    const failed = forwarder.errorCode !== undefined;
    if (!failed) this.parameters.addPending(summary.executed);
    // A request with these tags contains no SET, so the pending changes belong to the transaction
    // that ended first.
    const end = forwarder.commandTags.find((tag) => tag === 'COMMIT' || tag === 'ROLLBACK');
    if (end) this.parameters.finishTransaction(end === 'COMMIT', connection);
    if (connection.state !== 'I') {
      this.transaction ??= { hasChanges: false, idempotencyKeys: new Set() };
      this.transaction.hasChanges ||= summary.writes || summary.mayWrite;
      return;
    }
    this.parameters.finishTransaction(!failed, connection);
    this.releaseLease();
  }

  /** Waits until a majority holds a commit; updates the session position or returns an error. */
  async waitForAcknowledgement({ instance, term }: Lease): Promise<Refusal | undefined> {
    const verdict = await this.group?.waitForMajority(instance, term);
    return match(verdict)
      .with({ kind: 'acknowledged' }, ({ position }) => {
        this.positions.handleCommit(this.groupName, position, this.options.clock.readNow());
        const token = this.positions.formatToken(this.groupName) ?? '';
        this.options.caller.send(encodeParameterStatus(TOKEN_PARAMETER, token));
        return undefined;
      })
      .with(P.nullish, { kind: 'unknown' }, (unknown) => ({
        code: SQLSTATE.outcomeUnknown,
        message: `outcome unknown: ${unknown?.reason ?? 'the group is gone'}`,
      }))
      .exhaustive();
  }
}
