import type { SessionContext } from './context.js';
import type { Lease } from './group.js';
import { createAlreadyRanError, insertIdempotencyKey } from './idempotencykey.js';
import type { Refusal } from './refusal.js';
import { mayCommitChanges, type RequestSummary } from './summary.js';
import type { DecodedRequest } from './prepared.js';
import type { ResponseForwarder } from './forwarder.js';
import { type CallerRequest, encodeLocalResponse } from './request.js';
import { SQLSTATE } from './sqlstate.js';

/** Runs one request in the session's open transaction, on the connection that holds it. */
export class TransactionRunner {
  constructor(
    private readonly context: SessionContext,
    private readonly request: DecodedRequest,
    private readonly summary: RequestSummary,
    private readonly original: CallerRequest,
  ) {}

  async run(lease: Lease): Promise<void> {
    const { context, summary } = this;
    const commits = mayCommitChanges(summary, true, context.transaction?.hasChanges ?? false);
    if (context.transaction) context.transaction.hasChanges ||= summary.writes || summary.mayWrite;
    let forwarder: ResponseForwarder | undefined;
    try {
      await lease.connection.waitForCancel();
      if (
        summary.idempotencyKey !== undefined &&
        (await this.refuseRepeatedKey(lease, summary.idempotencyKey))
      ) {
        return;
      }
      const encoded = context.encode(this.request, lease);
      forwarder = context.createForwarder(lease, encoded, commits);
      // The request has not been sent, so it cannot have committed.
      if (!lease.connection.isUsable()) {
        this.handleConnectionLoss(false, forwarder);
        return;
      }
      const state = await lease.connection.run(encoded.bytes, forwarder);
      context.handleRequestEnd(lease, summary, forwarder);
      const mustWait = commits && forwarder.hasCommitted(state);
      const error = mustWait ? await context.waitForAcknowledgement(lease) : undefined;
      if (error) context.sendError(error);
      else forwarder.finish();
    } catch {
      this.handleConnectionLoss(commits && forwarder !== undefined, forwarder);
    }
  }

  /** Inserts the idempotency key; true when the request was refused and an error was sent. */
  private async refuseRepeatedKey(lease: Lease, key: string): Promise<boolean> {
    const { context } = this;
    const keys = context.transaction?.idempotencyKeys;
    if (keys?.has(key)) {
      const message = `the transaction has used the once-key "${key}"; the request was not run`;
      context.sendError({ code: SQLSTATE.notSupported, message });
      return true;
    }
    const insertion = await insertIdempotencyKey(lease, key, false);
    if (insertion.kind === 'inserted') {
      keys?.add(key);
      if (context.transaction) context.transaction.hasChanges = true;
      return false;
    }
    const readOnly: Refusal = {
      code: SQLSTATE.readOnly,
      message: 'not run: the transaction is read-only',
    };
    let error = readOnly;
    if (insertion.kind === 'refused') error = insertion.error;
    if (insertion.kind === 'alreadyRan') error = await createAlreadyRanError(context, lease, key);
    context.sendError(error);
    return true;
  }

  /** Handles a broken connection: the transaction is rolled back unless it may have committed. */
  private handleConnectionLoss(
    mayHaveCommitted: boolean,
    forwarder: ResponseForwarder | undefined,
  ): void {
    const { context, summary } = this;
    context.releaseLease();
    context.parameters.finishTransaction(false);
    if (context.isClosed) return;
    if (mayHaveCommitted) {
      const message = 'outcome unknown: the connection broke at COMMIT';
      context.sendError({ code: SQLSTATE.outcomeUnknown, message });
      return;
    }
    if (summary.rollsBack && summary.executed.length === 1 && !forwarder?.hasSent) {
      context.options.caller.send(encodeLocalResponse(this.original, 'ROLLBACK'));
      return;
    }
    if (!summary.commits && !summary.rollsBack) context.transactionFailure = 'lost';
    const code = forwarder?.hasSent ? SQLSTATE.responseInterrupted : SQLSTATE.notRun;
    const message = 'the instance was lost; the transaction was rolled back';
    context.sendError({ code, message });
  }
}

/** Responds locally after a transaction was lost: nothing may run until the caller ends it. */
export function answerFailedTransaction(
  context: SessionContext,
  summary: RequestSummary,
  request: CallerRequest,
): void {
  const isEnd = summary.executed.length === 1 && (summary.commits || summary.rollsBack);
  if (!isEnd) {
    const message = 'the transaction was lost or refused; the request was not run';
    context.sendError({ code: SQLSTATE.failedTransaction, message });
    return;
  }
  context.transactionFailure = undefined;
  context.options.caller.send(encodeLocalResponse(request, 'ROLLBACK'));
}
