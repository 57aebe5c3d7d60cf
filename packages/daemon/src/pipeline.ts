import { encodeErrorResponse, encodeReadyForQuery, type TransactionState } from '@shallotpick/wire';
import { SingleRequestRunner } from './single.js';
import type { SessionContext } from './context.js';
import type { Lease } from './group.js';
import { mayCommitChanges, type RequestSummary, type Refusal } from './summary.js';
import type { DecodedRequest } from './prepared.js';
import type { ResponseForwarder } from './forwarder.js';
import { SQLSTATE } from './sqlstate.js';

interface OpenSeries {
  readonly lease: Lease;
  readonly relay: ResponseForwarder;
  /** Statements of all parts so far. */
  readonly plans: RequestSummary[];
  readonly done: Promise<TransactionState | undefined>;
}

/**
 * A series of extended messages whose answers the caller asks for with Flush before its Sync.
 * The connection stays bound to the series until Sync. Completed commands are passed on at once,
 * since they are not committed before Sync; the final ReadyForQuery waits for the majority.
 */
export class PipelineRunner {
  private open: OpenSeries | undefined;

  /** After an error, messages are skipped up to Sync. */
  private skips = false;

  constructor(private readonly context: SessionContext) {}

  isOpen(): boolean {
    return this.open !== undefined || this.skips;
  }

  /** Runs a part that ends in Flush, or the last part, which ends in Sync. */
  async run(
    request: DecodedRequest,
    plan: RequestSummary,
    refusal: Refusal | undefined,
    isLast: boolean,
  ): Promise<void> {
    const error = refusal ?? this.findRefusal(plan);
    if (!this.skips && error) this.handleFailure(error);
    if (!this.skips) await this.sendPart(request, plan);
    if (!isLast) return;
    if (this.skips) {
      this.skips = false;
      this.context.options.caller.send(encodeReadyForQuery(this.context.readTransactionState()));
    } else if (this.open) {
      await this.finish(this.open);
    }
  }

  /** A commit must reach the majority before its CommandComplete, which Flush asks for at once. */
  private findRefusal(plan: RequestSummary): Refusal | undefined {
    if (this.context.transactionFailure) {
      const message = 'the transaction was lost or refused; the request was not run';
      return { code: SQLSTATE.failedTransaction, message };
    }
    if (
      plan.isAtomic &&
      plan.idempotencyKey === undefined &&
      !plan.executed.some((s) => s.kind === 'set')
    ) {
      return undefined;
    }
    const message = 'Flush with BEGIN, COMMIT, SET or a once-key is not supported; it was not run';
    return { code: SQLSTATE.notSupported, message };
  }

  private async sendPart(request: DecodedRequest, plan: RequestSummary): Promise<void> {
    const { context, open } = this;
    if (open) {
      const encoded = context.encode(request, open.lease);
      open.plans.push(plan);
      open.relay.addExpected(encoded.expected);
      open.lease.connection.send(encoded.bytes);
      return;
    }
    const lease = context.lease ?? (await this.admit(request, plan));
    if (!lease) {
      this.skips = true;
      return;
    }
    context.lease = lease;
    const encoded = context.encode(request, lease);
    const relay = context.createForwarder(lease, encoded, false, true);
    const done = lease.connection.run(encoded.bytes, relay).catch(() => this.handleLoss());
    this.open = { lease, relay, plans: [plan], done };
  }

  private async admit(request: DecodedRequest, plan: RequestSummary): Promise<Lease | undefined> {
    // Later parts may write, so the whole series goes to the primary.
    const runner = new SingleRequestRunner(this.context, request, { ...plan, isRead: false });
    const { clock, queueDeadlineMs } = this.context.options;
    const deadline = clock.readNow() + queueDeadlineMs;
    const lease = await runner.admit('write', deadline, (error) => this.sendError(error));
    if (!lease || (await SingleRequestRunner.replayParameters(this.context, lease))) return lease;
    lease.release();
    const message = 'not run: the connection broke before the request was sent';
    this.sendError({ code: SQLSTATE.notRun, message });
    return undefined;
  }

  /** Ends the series with an error and without effect. */
  private handleFailure(error: Refusal): void {
    const { context, open } = this;
    this.skips = true;
    this.open = undefined;
    if (open) {
      // Sync would commit what the series has run, so the connection goes.
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
    const code = open.relay.hasSent ? SQLSTATE.responseInterrupted : SQLSTATE.notRun;
    this.handleFailure({ code, message: 'the instance was lost; nothing that ran has effect' });
    return undefined;
  }

  private sendError(error: Refusal): void {
    this.context.options.caller.send(encodeErrorResponse({ severity: 'ERROR', ...error }));
  }

  private async finish({ lease, relay, plans, done }: OpenSeries): Promise<void> {
    const { context } = this;
    const isInTransaction = context.transaction !== undefined;
    const commits = !isInTransaction && plans.some((plan) => mayCommitChanges(plan, false, false));
    // From here on a loss leaves the outcome open, and `handleLoss` must not claim otherwise.
    this.open = undefined;
    const state = await done;
    if (state === undefined) {
      context.releaseLease();
      if (isInTransaction) context.transactionFailure = 'lost';
      const lost = relay.hasSent ? SQLSTATE.responseInterrupted : SQLSTATE.notRun;
      const code = commits ? SQLSTATE.outcomeUnknown : lost;
      context.sendError({ code, message: 'the connection to the instance broke at Sync' });
      return;
    }
    const [first] = plans;
    const writes = plans.some((plan) => plan.writes || plan.mayWrite);
    if (first) context.handleRequestEnd(lease, { ...first, writes }, relay);
    const error =
      commits && relay.hasCommitted(state)
        ? await context.waitForAcknowledgement(lease)
        : undefined;
    if (error) context.sendError(error);
    else relay.finish();
  }
}
