import type { SessionContext } from './context.js';
import type { Lease } from './group.js';
import { createAlreadyRanError, insertIdempotencyKey } from './idempotencykey.js';
import { mayCommitChanges, type RequestSummary, type Refusal } from './summary.js';
import type { DecodedRequest } from './prepared.js';
import type { ResponseForwarder } from './forwarder.js';
import { type CallerRequest, encodeLocalResponse } from './request.js';
import { SQLSTATE } from './sqlstate.js';

/** Runs one request in the open transaction of the session, on the connection that holds it. */
export class TransactionRunner {
  constructor(
    private readonly context: SessionContext,
    private readonly request: DecodedRequest,
    private readonly plan: RequestSummary,
    private readonly original: CallerRequest,
  ) {}

  async run(lease: Lease): Promise<void> {
    const { context, plan } = this;
    const commits = mayCommitChanges(plan, true, context.transaction?.hasChanges ?? false);
    if (context.transaction) context.transaction.hasChanges ||= plan.writes || plan.mayWrite;
    let relay: ResponseForwarder | undefined;
    try {
      await lease.connection.waitForCancel();
      if (
        plan.idempotencyKey !== undefined &&
        (await this.refuseRepeat(lease, plan.idempotencyKey))
      ) {
        return;
      }
      const encoded = context.encode(this.request, lease);
      relay = context.createForwarder(lease, encoded, commits);
      // Sent nothing: what follows cannot have committed.
      if (!lease.connection.isUsable()) {
        this.handleLoss(false, relay);
        return;
      }
      const state = await lease.connection.run(encoded.bytes, relay);
      context.handleRequestEnd(lease, plan, relay);
      const waits = commits && relay.hasCommitted(state);
      const error = waits ? await context.waitForAcknowledgement(lease) : undefined;
      if (error) context.sendError(error);
      else relay.finish();
    } catch {
      this.handleLoss(commits && relay !== undefined, relay);
    }
  }

  /** Inserts the once-key; true when the work was refused and the transaction has failed. */
  private async refuseRepeat(lease: Lease, key: string): Promise<boolean> {
    const { context } = this;
    const keys = context.transaction?.idempotencyKeys;
    if (keys?.has(key)) {
      const message = `the transaction has used the once-key "${key}"; the request was not run`;
      context.sendError({ code: SQLSTATE.notSupported, message });
      return true;
    }
    const claim = await insertIdempotencyKey(lease, key, false);
    if (claim.kind === 'claimed') {
      keys?.add(key);
      if (context.transaction) context.transaction.hasChanges = true;
      return false;
    }
    const readOnly: Refusal = {
      code: SQLSTATE.readOnly,
      message: 'not run: the transaction is read-only',
    };
    let error = readOnly;
    if (claim.kind === 'refused') error = claim.error;
    if (claim.kind === 'alreadyRan') error = await createAlreadyRanError(context, lease, key);
    context.sendError(error);
    return true;
  }

  /** The connection broke inside a transaction: all of it is rolled back unless it committed. */
  private handleLoss(mayHaveCommitted: boolean, relay: ResponseForwarder | undefined): void {
    const { context, plan } = this;
    context.releaseLease();
    context.parameters.finishTransaction(false);
    if (context.isClosed) return;
    if (mayHaveCommitted) {
      const message = 'outcome unknown: the connection broke at COMMIT';
      context.sendError({ code: SQLSTATE.outcomeUnknown, message });
      return;
    }
    if (plan.rollsBack && plan.executed.length === 1 && !relay?.hasSent) {
      context.options.caller.send(encodeLocalResponse(this.original, 'ROLLBACK'));
      return;
    }
    if (!plan.commits && !plan.rollsBack) context.transactionFailure = 'lost';
    const code = relay?.hasSent ? SQLSTATE.responseInterrupted : SQLSTATE.notRun;
    const message = 'the instance was lost; the transaction was rolled back';
    context.sendError({ code, message });
  }
}

/** After the loss of a transaction nothing may run until the caller ends it. */
export function answerFailedTransaction(
  context: SessionContext,
  plan: RequestSummary,
  request: CallerRequest,
): void {
  const isEnd = plan.executed.length === 1 && (plan.commits || plan.rollsBack);
  if (!isEnd) {
    const message = 'the transaction was lost or refused; the request was not run';
    context.sendError({ code: SQLSTATE.failedTransaction, message });
    return;
  }
  context.transactionFailure = undefined;
  context.options.caller.send(encodeLocalResponse(request, 'ROLLBACK'));
}
