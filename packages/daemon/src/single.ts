import type { TransactionState } from '@shallotpick/wire';
import {
  type AttemptOutcome,
  DONE,
  NOT_SENT,
  READ_ONLY,
  RESPONSE_LOST,
  ROLLED_BACK,
} from './attemptoutcome.js';
import type { SessionContext } from './context.js';
import { RefusedError } from './errors.js';
import type { ResponseForwarder } from './forwarder.js';
import type { Lease } from './group.js';
import {
  commitTransaction,
  createAlreadyRanError,
  type IdempotencyKeyInsertion,
  insertIdempotencyKey,
  rollBackTransaction,
} from './idempotencykey.js';
import { replayParameters } from './parameterreplay.js';
import type { DecodedRequest } from './prepared.js';
import { createNotRunError, type Refusal } from './refusal.js';
import { RequestAdmission } from './requestadmission.js';
import { SQLSTATE } from './sqlstate.js';
import { mayCommitChanges, type RequestSummary } from './summary.js';

/** Runs one request outside a transaction, including one that opens a transaction. */
export class SingleRequestRunner {
  private readonly admission: RequestAdmission;

  constructor(
    private readonly context: SessionContext,
    private readonly request: DecodedRequest,
    private readonly summary: RequestSummary,
  ) {
    this.admission = new RequestAdmission(context, summary);
  }

  async run(): Promise<void> {
    const { clock, metrics, queueDeadlineMs, retryBudget, computeBackoff } = this.context.options;
    const deadline = clock.readNow() + queueDeadlineMs;
    let kind: 'read' | 'write' = this.summary.isRead ? 'read' : 'write';
    retryBudget.addRequest();
    for (let retry = 1; ; retry += 1) {
      const lease = await this.admission.admit(kind, deadline, (error) => this.sendFailure(error));
      if (!lease) return;
      const outcome = await this.runOn(lease, kind);
      if (outcome.kind === 'done' || this.context.isClosed) return;
      const mayRepeat = !outcome.wasSent || this.admission.contract.repeat === 'allowed';
      const mayRetry = mayRepeat && !this.context.isStopping;
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
   * True when the primary must refuse a write that a function in the request makes. A contract that
   * accepts an age allows replicas, which refuse such writes anyway; with the same refusal on the
   * primary, a broken connection never leaves the outcome of these reads unknown.
   */
  private requiresReadOnly(lease: Lease, kind: 'read' | 'write'): boolean {
    const { context, summary } = this;
    return (
      kind === 'read' &&
      this.admission.contract.maxAgeMs > 0 &&
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
    const isReady = await replayParameters(context, lease, isReadOnly);
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
      return this.failIfSent(forwarder, await this.refuseInsertion(lease, key, insertion));
    } catch {
      context.releaseLease();
      return this.failIfSent(forwarder, ROLLED_BACK);
    }
  }

  /** Ends the transaction of a key that was not inserted. */
  private async refuseInsertion(
    lease: Lease,
    key: string,
    insertion: Exclude<IdempotencyKeyInsertion, { kind: 'inserted' }>,
  ): Promise<AttemptOutcome> {
    const { context } = this;
    await rollBackTransaction(lease);
    context.releaseLease();
    if (insertion.kind === 'readOnly') return READ_ONLY;
    this.sendFailure(
      insertion.kind === 'refused'
        ? insertion.error
        : await createAlreadyRanError(context, lease, key),
    );
    return DONE;
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
      if (insertion.kind !== 'inserted') return await this.refuseInsertion(lease, key, insertion);
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
