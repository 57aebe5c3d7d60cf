import type { Contract, LogPosition, Millis } from '@shallotpick/core';
import type { TransactionState } from '@shallotpick/wire';
import type { SessionContext } from './context.js';
import { RefusedError } from './errors.js';
import type { GroupServer, Lease } from './group.js';
import { runInternalStatement } from './internal.js';
import {
  commitTransaction,
  rollBackTransaction,
  createAlreadyRanError,
  insertIdempotencyKey,
} from './idempotencykey.js';
import { mayCommitChanges, type RequestSummary, type Refusal } from './summary.js';
import type { DecodedRequest } from './prepared.js';
import type { ResponseForwarder } from './forwarder.js';
import { SQLSTATE } from './sqlstate.js';

/** The result of one attempt. */
type AttemptOutcome =
  | { readonly kind: 'done' }
  | {
      /** The attempt had no effect, and no byte of a response was forwarded. */
      readonly kind: 'retry';
      readonly wasSent: boolean;
      /** The instance refused a write because it is read-only. */
      readonly isReadOnly?: boolean;
      readonly error: Refusal;
    };

const DONE: AttemptOutcome = { kind: 'done' };

const createNotRunError = (message: string): Refusal => ({
  code: SQLSTATE.notRun,
  message: `not run: ${message}`,
});

const NOT_SENT: AttemptOutcome = {
  kind: 'retry',
  wasSent: false,
  error: createNotRunError('the connection broke before the request was sent'),
};
const READ_ONLY: AttemptOutcome = {
  kind: 'retry',
  wasSent: true,
  isReadOnly: true,
  error: createNotRunError('the instance is read-only'),
};
const ROLLED_BACK: AttemptOutcome = {
  kind: 'retry',
  wasSent: true,
  error: createNotRunError('the connection broke and the instance rolled back'),
};
const RESPONSE_LOST: AttemptOutcome = {
  kind: 'retry',
  wasSent: true,
  error: {
    code: SQLSTATE.responseInterrupted,
    message: 'the answer broke off before its first row',
  },
};

/** Runs one request outside a transaction, including one that opens a transaction. */
export class SingleRequestRunner {
  private readonly contract: Contract;

  constructor(
    private readonly context: SessionContext,
    private readonly request: DecodedRequest,
    private readonly summary: RequestSummary,
  ) {
    this.contract = context.findContract(summary.contractStatements);
  }

  async run(): Promise<void> {
    const { clock, metrics, queueDeadlineMs, retryBudget, computeBackoff } = this.context.options;
    const deadline = clock.readNow() + queueDeadlineMs;
    let kind: 'read' | 'write' = this.summary.isRead ? 'read' : 'write';
    retryBudget.addRequest();
    for (let retry = 1; ; retry += 1) {
      const lease = await this.admit(kind, deadline);
      if (!lease) return;
      const outcome = await this.runOn(lease, kind);
      if (outcome.kind === 'done' || this.context.isClosed) return;
      const mayRetry = !outcome.wasSent || this.contract.repeat === 'allowed';
      if (!mayRetry || clock.readNow() >= deadline || !retryBudget.requestRetry()) {
        this.sendFailure(outcome.error);
        return;
      }
      metrics.retries.inc({ reason: outcome.isReadOnly ? 'read-only' : 'lost' });
      if (outcome.isReadOnly) kind = 'write';
      await new Promise((resolve) => {
        setTimeout(resolve, computeBackoff(retry));
      });
    }
  }

  /** Sends an error; statements already pipelined behind a refused BEGIN must not run. */
  private sendFailure(error: Refusal): void {
    const { begins, commits, rollsBack } = this.summary;
    if (begins && !commits && !rollsBack) this.context.transactionFailure = 'refused';
    this.context.sendError(error);
  }

  /**
   * Waits for a connection. Returns undefined when the caller has disconnected or `refuse` has
   * answered the request.
   */
  async admit(
    kind: 'read' | 'write',
    deadline: Millis,
    refuse = (error: Refusal): void => this.sendFailure(error),
  ): Promise<Lease | undefined> {
    const { context, contract } = this;
    const { group, options } = context;
    // All sessions of one user on one host share a queue, so opening more gains no advantage.
    const caller = `${context.user}@${options.caller.address}`;
    if (!group || context.isClosed) return undefined;
    const admission = this.findMinPosition(group, deadline).then((minPosition) =>
      group.admit({
        kind,
        contract,
        minPosition,
        caller,
        deadline,
        statement: this.findCostStatement(),
      }),
    );
    const interruption = new Promise<'cancelled' | 'closed'>((resolve) => {
      context.interruptWait = resolve;
    });
    try {
      const first = await Promise.race([admission, interruption]);
      if (typeof first !== 'string') return first;
      admission.then((late) => late.release()).catch(() => undefined);
      const message = 'cancelled before the request was sent; it did not run';
      if (first === 'cancelled') refuse({ code: SQLSTATE.cancelled, message });
    } catch (error) {
      refuse(createNotRunError(error instanceof Error ? error.message : 'refused'));
    } finally {
      context.interruptWait = undefined;
    }
    return undefined;
  }

  /** The statement whose cost is learned; a transaction's statements are not known in advance. */
  private findCostStatement(): string | undefined {
    const { begins, contractStatements } = this.summary;
    return begins || contractStatements.length !== 1 ? undefined : contractStatements[0]?.text;
  }

  private async findMinPosition(group: GroupServer, deadline: Millis): Promise<LogPosition> {
    const { positions, groupName } = this.context;
    const knownPosition = positions.findPosition(groupName);
    return knownPosition ?? positions.update(groupName, await group.findInitialPosition(deadline));
  }

  /** Sets the session's parameters on the connection; false when the connection is unusable. */
  static async replayParameters(
    { parameters }: SessionContext,
    { connection }: Lease,
    isReadOnly = false,
  ): Promise<boolean> {
    const sql = parameters.formatReplay(connection, isReadOnly);
    if (sql === undefined) return connection.isUsable();
    try {
      const { error } = await runInternalStatement(connection, sql);
      if (error) connection.close();
      else parameters.applyReplay(connection, isReadOnly);
    } catch {
      return false;
    }
    return connection.isUsable();
  }

  /**
   * True when the primary must refuse a write that a function in the request makes. A contract that
   * accepts an age allows replicas, which refuse such writes anyway; with the same refusal on the
   * primary, a broken connection never leaves the outcome of these reads unknown.
   */
  private requiresReadOnly(lease: Lease, kind: 'read' | 'write'): boolean {
    const { context, contract, summary } = this;
    return (
      kind === 'read' &&
      contract.maxAgeMs > 0 &&
      summary.mayWrite &&
      // SET TRANSACTION READ WRITE would lift the restriction.
      !summary.executed.some((statement) => statement.kind === 'set') &&
      context.isPrimary(lease.instance)
    );
  }

  private async runOn(lease: Lease, kind: 'read' | 'write'): Promise<AttemptOutcome> {
    const { context, summary } = this;
    context.lease = lease;
    const isReadOnly = this.requiresReadOnly(lease, kind);
    const isReady = await SingleRequestRunner.replayParameters(context, lease, isReadOnly);
    if (!isReady || context.isClosed) {
      context.releaseLease();
      return NOT_SENT;
    }
    if (summary.idempotencyKey !== undefined && !summary.begins) {
      return this.runOnce(lease, summary.idempotencyKey);
    }
    // An unknown function may write on the primary; a replica refuses the write.
    const wasPrimary = kind === 'write' || context.isPrimary(lease.instance);
    const commits = !isReadOnly && mayCommitChanges(summary, false, false);
    const encoded = context.encode(this.request, lease);
    const forwarder = context.createForwarder(
      lease,
      encoded,
      commits || summary.idempotencyKey !== undefined,
    );
    let state: TransactionState;
    try {
      state = await lease.connection.run(encoded.bytes, forwarder);
    } catch {
      const mayHaveLed = wasPrimary || context.isPrimary(lease.instance);
      return this.handleConnectionLoss(forwarder, commits && (summary.writes || mayHaveLed));
    }
    if (
      forwarder.errorCode === SQLSTATE.readOnly &&
      state === 'I' &&
      summary.isAtomic &&
      !forwarder.hasSent
    ) {
      context.releaseLease();
      return READ_ONLY;
    }
    if (summary.idempotencyKey !== undefined && state === 'T') {
      return this.handleBegun(lease, summary.idempotencyKey, forwarder);
    }
    context.handleRequestEnd(lease, summary, forwarder);
    const onPrimary = wasPrimary || context.isPrimary(lease.instance);
    const mustWait = commits && (summary.writes || onPrimary) && forwarder.hasCommitted(state);
    const error = mustWait ? await context.waitForAcknowledgement(lease) : undefined;
    if (error) context.sendError(error);
    else forwarder.finish();
    return DONE;
  }

  private handleConnectionLoss(
    forwarder: ResponseForwarder,
    mayHaveCommitted: boolean,
  ): AttemptOutcome {
    const { context, summary } = this;
    context.releaseLease();
    if (mayHaveCommitted) {
      const message = 'outcome unknown: the connection to the instance broke';
      context.sendError({ code: SQLSTATE.outcomeUnknown, message });
      return DONE;
    }
    if (!forwarder.hasSent) return summary.isRead ? RESPONSE_LOST : ROLLED_BACK;
    const message = 'the answer broke off; nothing that ran has effect';
    this.sendFailure({ code: SQLSTATE.responseInterrupted, message });
    return DONE;
  }

  /** Inserts the idempotency key of a `BEGIN` before the caller gets the response. */
  private async handleBegun(
    lease: Lease,
    key: string,
    forwarder: ResponseForwarder,
  ): Promise<AttemptOutcome> {
    const { context, summary } = this;
    try {
      const insertion = await insertIdempotencyKey(lease, key, false);
      if (insertion.kind === 'inserted') {
        context.handleRequestEnd(lease, summary, forwarder);
        context.transaction?.idempotencyKeys.add(key);
        if (context.transaction) context.transaction.hasChanges = true;
        forwarder.finish();
        return DONE;
      }
      await rollBackTransaction(lease);
      context.releaseLease();
      if (insertion.kind === 'readOnly') return this.failIfSent(forwarder, READ_ONLY);
      this.sendFailure(
        insertion.kind === 'refused'
          ? insertion.error
          : await createAlreadyRanError(context, lease, key),
      );
      return DONE;
    } catch {
      context.releaseLease();
      return this.failIfSent(forwarder, ROLLED_BACK);
    }
  }

  /** An attempt whose response the caller has partly received cannot be retried. */
  private failIfSent(forwarder: ResponseForwarder, outcome: AttemptOutcome): AttemptOutcome {
    if (!forwarder.hasSent || outcome.kind === 'done') return outcome;
    this.sendFailure(outcome.error);
    return DONE;
  }

  /** Runs the request and the insertion of its idempotency key in one transaction. */
  private async runOnce(lease: Lease, key: string): Promise<AttemptOutcome> {
    const { context } = this;
    let forwarder: ResponseForwarder | undefined;
    try {
      const insertion = await insertIdempotencyKey(lease, key, true);
      if (insertion.kind !== 'inserted') {
        await rollBackTransaction(lease);
        context.releaseLease();
        if (insertion.kind === 'readOnly') return READ_ONLY;
        context.sendError(
          insertion.kind === 'refused'
            ? insertion.error
            : await createAlreadyRanError(context, lease, key),
        );
        return DONE;
      }
      const encoded = context.encode(this.request, lease);
      forwarder = context.createForwarder(lease, encoded, true);
      await lease.connection.run(encoded.bytes, forwarder);
    } catch {
      // COMMIT has not been sent, so the instance rolls back.
      return forwarder ? this.handleConnectionLoss(forwarder, false) : this.handleInsertionLoss();
    }
    return this.finishOnce(lease, forwarder);
  }

  private handleInsertionLoss(): AttemptOutcome {
    this.context.releaseLease();
    return ROLLED_BACK;
  }

  private async finishOnce(lease: Lease, forwarder: ResponseForwarder): Promise<AttemptOutcome> {
    const { context } = this;
    if (forwarder.errorCode !== undefined) {
      await rollBackTransaction(lease);
      context.releaseLease();
      forwarder.finish('I');
      return DONE;
    }
    let error: Refusal | undefined;
    try {
      await commitTransaction(lease);
    } catch (cause) {
      const isRefused = cause instanceof RefusedError;
      const message = cause instanceof Error ? cause.message : 'the connection broke at COMMIT';
      error = isRefused
        ? createNotRunError(message)
        : { code: SQLSTATE.outcomeUnknown, message: `outcome unknown: ${message}` };
    }
    context.releaseLease();
    error ??= await context.waitForAcknowledgement(lease);
    if (error) context.sendError(error);
    else forwarder.finish('I');
    return DONE;
  }
}
