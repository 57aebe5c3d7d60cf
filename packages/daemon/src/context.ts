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
import type { RequestSummary, Refusal } from './summary.js';
import { type DecodedRequest, type EncodedRequest, PreparedStatements } from './prepared.js';
import { ResponseForwarder } from './forwarder.js';
import { SQLSTATE } from './sqlstate.js';

export const TOKEN_PARAMETER = 'shallotpick.token';

export interface SessionOptions {
  readonly caller: CallerConnection;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly queueDeadlineMs: number;
  readonly retryBudget: RetryBudget;
  /** Delay before the given retry, counted from 1. */
  readonly computeBackoff: (retry: number) => number;
  readonly findGroup: (name: string) => GroupServer | undefined;
  readonly readConfiguration: () => Configuration;
}

/** The open transaction of a session. */
export interface OpenTransaction {
  hasChanges: boolean;
  /** Once-keys that the transaction has inserted itself. */
  readonly idempotencyKeys: Set<string>;
}

/** What the parts of a session share: its identity, floor, transaction and connection. */
export class SessionContext {
  /** The database that the caller named at its start. */
  groupName = '';

  user = '';

  applicationName = '';

  readonly floors = new SessionPositions();

  readonly prepared = new PreparedStatements();

  readonly parameters = new SessionParameters();

  /** The connection of the running request or open transaction. */
  lease: Lease | undefined;

  transaction: OpenTransaction | undefined;

  /**
   * Set when a transaction was lost, or BEGIN was refused: statements that the caller has
   * already sent for that transaction must not run alone.
   */
  transactionFailure: 'lost' | 'refused' | undefined;

  isClosed = false;

  /** Ends the wait for a connection. */
  interruptWait: ((reason: 'cancelled' | 'closed') => void) | undefined;

  constructor(readonly options: SessionOptions) {}

  /** The server of the group now; a release note may replace it between two requests. */
  get group(): GroupServer | undefined {
    return this.options.findGroup(this.groupName);
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

  findContract(subjects: readonly Statement[]): Contract {
    const { contracts } = this.options.readConfiguration();
    const { groupName: group, user, applicationName } = this;
    return mergeContracts(
      subjects.map(({ text, contract: named }) =>
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
    { expected: replies }: EncodedRequest,
    holds: boolean,
    isSeries = false,
  ): ResponseForwarder {
    const { caller } = this.options;
    return new ResponseForwarder({
      caller,
      connection,
      prepared: this.prepared,
      expected: replies,
      holdsResult: holds,
      isPipeline: isSeries,
    });
  }

  encode(request: DecodedRequest, { connection }: Lease): EncodedRequest {
    return this.prepared.encode(request, connection);
  }

  /** Gives the connection back; one that is not idle is closed. */
  releaseLease(): void {
    const { lease } = this;
    this.lease = undefined;
    this.transaction = undefined;
    lease?.release();
  }

  /** Takes in the end of a request: parameters, and whether a transaction is open now. */
  handleRequestEnd(lease: Lease, plan: RequestSummary, relay: ResponseForwarder): void {
    const { connection } = lease;
    const failed = relay.errorCode !== undefined;
    if (!failed) this.parameters.addPending(plan.executed);
    // SET stands in no request with these tags, so it belongs to the transaction that ended first.
    const end = relay.commandTags.find((tag) => tag === 'COMMIT' || tag === 'ROLLBACK');
    if (end) this.parameters.finishTransaction(end === 'COMMIT', connection);
    if (connection.state !== 'I') {
      this.transaction ??= { hasChanges: false, idempotencyKeys: new Set() };
      this.transaction.hasChanges ||= plan.writes || plan.mayWrite;
      return;
    }
    this.parameters.finishTransaction(!failed, connection);
    this.releaseLease();
  }

  /** Waits for a majority after a commit and raises the floor; the error if that fails. */
  async waitForAcknowledgement({ instance, term }: Lease): Promise<Refusal | undefined> {
    const verdict = await this.group?.waitForMajority(instance, term);
    return match(verdict)
      .with({ kind: 'acknowledged' }, ({ position }) => {
        this.floors.update(this.groupName, position);
        const token = this.floors.formatToken(this.groupName) ?? '';
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
