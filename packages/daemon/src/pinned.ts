import type { SessionContext } from './context.js';
import type { Lease } from './group.js';
import { createAlreadyRan, createClaim } from './once.js';
import { hasCommit, type Plan, type Refusal } from './plan.js';
import type { DecodedRequest } from './prepared.js';
import type { Relay } from './relay.js';
import { type CallerRequest, encodeLocalAnswer } from './request.js';
import { SQLSTATE } from './sqlstate.js';

/** Runs one request in the open transaction of the session, on the connection that holds it. */
export class PinnedRunner {
  constructor(
    private readonly context: SessionContext,
    private readonly request: DecodedRequest,
    private readonly plan: Plan,
    private readonly original: CallerRequest,
  ) {}

  async run(lease: Lease): Promise<void> {
    const { context, plan } = this;
    const commits = hasCommit(plan, true, context.transaction?.hasChanges ?? false);
    if (context.transaction) context.transaction.hasChanges ||= plan.writes || plan.isUnsure;
    let relay: Relay | undefined;
    try {
      await lease.connection.waitForCancel();
      if (plan.once !== undefined && (await this.refuseRepeat(lease, plan.once))) return;
      const encoded = context.encode(this.request, lease);
      relay = context.createRelay(lease, encoded, commits);
      // Sent nothing: what follows cannot have committed.
      if (!lease.connection.isUsable()) {
        this.handleLoss(false, relay);
        return;
      }
      const state = await lease.connection.run(encoded.bytes, relay);
      context.handleEnd(lease, plan, relay);
      const waits = commits && relay.hasCommitted(state);
      const error = waits ? await context.acknowledge(lease) : undefined;
      if (error) context.sendError(error);
      else relay.finish();
    } catch {
      this.handleLoss(commits && relay !== undefined, relay);
    }
  }

  /** Inserts the once-key; true when the work was refused and the transaction has failed. */
  private async refuseRepeat(lease: Lease, key: string): Promise<boolean> {
    const { context } = this;
    const keys = context.transaction?.onceKeys;
    if (keys?.has(key)) {
      const message = `the transaction has used the once-key "${key}"; the request was not run`;
      context.sendError({ code: SQLSTATE.notSupported, message });
      return true;
    }
    const claim = await createClaim(lease, key, false);
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
    if (claim.kind === 'alreadyRan') error = await createAlreadyRan(context, lease, key);
    context.sendError(error);
    return true;
  }

  /** The connection broke inside a transaction: all of it is rolled back unless it committed. */
  private handleLoss(mayHaveCommitted: boolean, relay: Relay | undefined): void {
    const { context, plan } = this;
    context.releaseLease();
    context.parameters.finish(false);
    if (context.isClosed) return;
    if (mayHaveCommitted) {
      const message = 'outcome unknown: the connection broke at COMMIT';
      context.sendError({ code: SQLSTATE.outcomeUnknown, message });
      return;
    }
    if (plan.rollsBack && plan.executed.length === 1 && !relay?.hasSent) {
      context.options.caller.send(encodeLocalAnswer(this.original, 'ROLLBACK'));
      return;
    }
    if (!plan.commits && !plan.rollsBack) context.failed = 'lost';
    const code = relay?.hasSent ? SQLSTATE.answerCut : SQLSTATE.notRun;
    const message = 'the instance was lost; the transaction was rolled back';
    context.sendError({ code, message });
  }
}

/** After the loss of a transaction nothing may run until the caller ends it. */
export function refuseFailed(context: SessionContext, plan: Plan, request: CallerRequest): void {
  const isEnd = plan.executed.length === 1 && (plan.commits || plan.rollsBack);
  if (!isEnd) {
    const message = 'the transaction was lost or refused; the request was not run';
    context.sendError({ code: SQLSTATE.failedTransaction, message });
    return;
  }
  context.failed = undefined;
  context.options.caller.send(encodeLocalAnswer(request, 'ROLLBACK'));
}
