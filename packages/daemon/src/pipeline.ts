import { encodeErrorResponse, encodeReadyForQuery, type TransactionState } from '@shallotpick/wire';
import type { SessionContext } from './context.js';
import type { Lease } from './group.js';
import { replayParameters } from './parameterreplay.js';
import { createNotRunError, type Refusal } from './refusal.js';
import { RequestAdmission } from './requestadmission.js';
import { mayCommitChanges, type RequestSummary } from './summary.js';
import type { DecodedRequest } from './prepared.js';
import type { ResponseForwarder } from './forwarder.js';
import { SQLSTATE } from './sqlstate.js';

/** A pipeline that has started and has not reached its Sync. */
interface OpenPipeline {
  readonly lease: Lease;
  readonly forwarder: ResponseForwarder;
  /** Summaries of all parts so far. */
  readonly summaries: RequestSummary[];
  readonly completion: Promise<TransactionState | undefined>;
}

/**
 * Runs a pipeline of extended-protocol messages in which the caller requests responses with Flush
 * before its Sync. The connection is bound to the pipeline until Sync. Completed commands are
 * forwarded immediately, since they are not committed before Sync; the final ReadyForQuery waits
 * for the majority.
 */
export class PipelineRunner {
  private open: OpenPipeline | undefined;

  /** True after an error: messages are skipped up to Sync. */
  private skipsToSync = false;

  constructor(private readonly context: SessionContext) {}

  isOpen(): boolean {
    return this.open !== undefined || this.skipsToSync;
  }

  /** Runs a part of the pipeline, which ends in Flush, or in Sync if it is the last. */
  async run(
    request: DecodedRequest,
    summary: RequestSummary,
    refusal: Refusal | undefined,
    isLast: boolean,
  ): Promise<void> {
    const error = refusal ?? this.findRefusal(summary);
    if (!this.skipsToSync && error) this.handleFailure(error);
    if (!this.skipsToSync) await this.sendPart(request, summary);
    if (!isLast) return;
    if (this.skipsToSync) {
      this.skipsToSync = false;
      this.context.options.caller.send(encodeReadyForQuery(this.context.readTransactionState()));
    } else if (this.open) {
      await this.finish(this.open);
    }
  }

  /** Refuses commits: Flush requests CommandComplete before a majority could hold the commit. */
  private findRefusal(summary: RequestSummary): Refusal | undefined {
    if (this.context.transactionFailure) {
      const message = 'the transaction was lost or refused; the request was not run';
      return { code: SQLSTATE.failedTransaction, message };
    }
    if (
      summary.isAtomic &&
      summary.idempotencyKey === undefined &&
      !summary.executed.some((statement) => statement.kind === 'set')
    ) {
      return undefined;
    }
    const message = 'Flush with BEGIN, COMMIT, SET or a once-key is not supported; it was not run';
    return { code: SQLSTATE.notSupported, message };
  }

  private async sendPart(request: DecodedRequest, summary: RequestSummary): Promise<void> {
    const { context, open } = this;
    if (open) {
      const encoded = context.encode(request, open.lease);
      open.summaries.push(summary);
      open.forwarder.addExpected(encoded.expected);
      open.lease.connection.send(encoded.bytes);
      return;
    }
    const lease = context.lease ?? (await this.admit(summary));
    if (!lease) {
      this.skipsToSync = true;
      return;
    }
    context.lease = lease;
    const encoded = context.encode(request, lease);
    const forwarder = context.createForwarder(lease, encoded, false, true);
    const completion = lease.connection
      .run(encoded.bytes, forwarder)
      .catch(() => this.handleLoss());
    this.open = { lease, forwarder, summaries: [summary], completion };
  }

  private async admit(summary: RequestSummary): Promise<Lease | undefined> {
    // Later parts may write, so the whole pipeline runs on the primary.
    const admission = new RequestAdmission(this.context, summary);
    const { clock, queueDeadlineMs } = this.context.options;
    const deadline = clock.readNow() + queueDeadlineMs;
    const lease = await admission.admit('write', deadline, (error) => this.sendError(error));
    if (!lease || (await replayParameters(this.context, lease))) return lease;
    lease.release();
    this.sendError(createNotRunError('the connection broke before the request was sent'));
    return undefined;
  }

  /** Ends the pipeline with an error and without effect. */
  private handleFailure(error: Refusal): void {
    const { context, open } = this;
    this.skipsToSync = true;
    this.open = undefined;
    if (open) {
      // Sync would commit what the pipeline has run, so the connection is closed instead.
      if (context.transaction) context.transactionFailure = 'lost';
      open.lease.connection.close();
      context.parameters.finishTransaction(false);
      context.releaseLease();
    }
    this.sendError(error);
  }

  private handleLoss(): undefined {
    const { context, open } = this;
    if (!open || context.isClosed) return undefined;
    const code = open.forwarder.hasSent ? SQLSTATE.responseInterrupted : SQLSTATE.notRun;
    this.handleFailure({ code, message: 'the instance was lost; nothing that ran has effect' });
    return undefined;
  }

  private sendError(error: Refusal): void {
    this.context.options.caller.send(encodeErrorResponse({ severity: 'ERROR', ...error }));
  }

  private async finish({ lease, forwarder, summaries, completion }: OpenPipeline): Promise<void> {
    const { context } = this;
    const isInTransaction = context.transaction !== undefined;
    const commits =
      !isInTransaction && summaries.some((summary) => mayCommitChanges(summary, false, false));
    // From here on the outcome is unknown after a loss, so `handleLoss` must not report a rollback.
    this.open = undefined;
    const state = await completion;
    if (state === undefined) {
      context.releaseLease();
      if (isInTransaction) context.transactionFailure = 'lost';
      const lossCode = forwarder.hasSent ? SQLSTATE.responseInterrupted : SQLSTATE.notRun;
      const code = commits ? SQLSTATE.outcomeUnknown : lossCode;
      context.sendError({ code, message: 'the connection to the instance broke at Sync' });
      return;
    }
    const [first] = summaries;
    const writes = summaries.some((summary) => summary.writes || summary.mayWrite);
    if (first) context.handleRequestEnd(lease, { ...first, writes }, forwarder);
    const error =
      commits && forwarder.hasCommitted(state)
        ? await context.waitForAcknowledgement(lease)
        : undefined;
    if (error) context.sendError(error);
    else forwarder.finish();
  }
}
