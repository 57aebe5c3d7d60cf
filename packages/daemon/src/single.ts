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

/** The end of one attempt. */
type Outcome =
  | { readonly kind: 'done' }
  | {
      /** Nothing of the attempt has effect and no byte of an answer was passed on. */
      readonly kind: 'retry';
      readonly wasSent: boolean;
      /** The instance does not take writes. */
      readonly isReadOnly?: boolean;
      readonly error: Refusal;
    };

const DONE: Outcome = { kind: 'done' };

const createNotRun = (message: string): Refusal => ({
  code: SQLSTATE.notRun,
  message: `not run: ${message}`,
});

const NOT_SENT: Outcome = {
  kind: 'retry',
  wasSent: false,
  error: createNotRun('the connection broke before the request was sent'),
};
const READ_ONLY: Outcome = {
  kind: 'retry',
  wasSent: true,
  isReadOnly: true,
  error: createNotRun('the instance is read-only'),
};
const ROLLED_BACK: Outcome = {
  kind: 'retry',
  wasSent: true,
  error: createNotRun('the connection broke and the instance rolled back'),
};
const ANSWER_LOST: Outcome = {
  kind: 'retry',
  wasSent: true,
  error: {
    code: SQLSTATE.responseInterrupted,
    message: 'the answer broke off before its first row',
  },
};

/** Runs one request outside a transaction, or one that opens a transaction. */
export class SingleRequestRunner {
  private readonly contract: Contract;

  constructor(
    private readonly context: SessionContext,
    private readonly request: DecodedRequest,
    private readonly plan: RequestSummary,
  ) {
    this.contract = context.findContract(plan.contractStatements);
  }

  async run(): Promise<void> {
    const {
      clock,
      metrics,
      queueDeadlineMs,
      retryBudget: retries,
      computeBackoff,
    } = this.context.options;
    const deadline = clock.readNow() + queueDeadlineMs;
    let kind: 'read' | 'write' = this.plan.isRead ? 'read' : 'write';
    retries.addRequest();
    for (let retry = 1; ; retry += 1) {
      const lease = await this.admit(kind, deadline);
      if (!lease) return;
      const outcome = await this.runOn(lease, kind);
      if (outcome.kind === 'done' || this.context.isClosed) return;
      const mayRepeat = !outcome.wasSent || this.contract.repeat === 'allowed';
      if (!mayRepeat || clock.readNow() >= deadline || !retries.requestRetry()) {
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

  /** Sends an error; after a refused BEGIN, what the caller sent behind it must not run. */
  private sendFailure(error: Refusal): void {
    const { begins, commits, rollsBack } = this.plan;
    if (begins && !commits && !rollsBack) this.context.transactionFailure = 'refused';
    this.context.sendError(error);
  }

  /**
   * Waits for a connection; undefined when the caller left, or when `refuse` has answered the
   * request.
   */
  async admit(
    kind: 'read' | 'write',
    deadline: Millis,
    refuse = (error: Refusal): void => this.sendFailure(error),
  ): Promise<Lease | undefined> {
    const { context, contract } = this;
    const { group, options } = context;
    // One user on one host counts as one caller, however many sessions it opens.
    const caller = `${context.user}@${options.caller.address}`;
    if (!group || context.isClosed) return undefined;
    const admission = this.findFloor(group, deadline).then((floor) =>
      group.admit({
        kind,
        contract,
        minPosition: floor,
        caller,
        deadline,
        statement: this.readStatement(),
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
      refuse(createNotRun(error instanceof Error ? error.message : 'refused'));
    } finally {
      context.interruptWait = undefined;
    }
    return undefined;
  }

  /** The text by which the cost is learned; a transaction has none before its end. */
  private readStatement(): string | undefined {
    const { begins, contractStatements: subjects } = this.plan;
    return begins || subjects.length !== 1 ? undefined : subjects[0]?.text;
  }

  private async findFloor(group: GroupServer, deadline: Millis): Promise<LogPosition> {
    const { floors, groupName } = this.context;
    const known = floors.findPosition(groupName);
    return known ?? floors.update(groupName, await group.findInitialPosition(deadline));
  }

  /** Brings the connection to the session's parameters; false when it broke. */
  static async replayParameters(
    { parameters }: SessionContext,
    { connection }: Lease,
  ): Promise<boolean> {
    const sql = parameters.formatReplay(connection);
    if (sql === undefined) return connection.isUsable();
    try {
      const { error } = await runInternalStatement(connection, sql);
      if (error) connection.close();
      else parameters.applyReplay(connection);
    } catch {
      return false;
    }
    return connection.isUsable();
  }

  private async runOn(lease: Lease, kind: 'read' | 'write'): Promise<Outcome> {
    const { context, plan } = this;
    context.lease = lease;
    if (!(await SingleRequestRunner.replayParameters(context, lease)) || context.isClosed) {
      context.releaseLease();
      return NOT_SENT;
    }
    if (plan.idempotencyKey !== undefined && !plan.begins) {
      return this.runOnce(lease, plan.idempotencyKey);
    }
    // A function that is not known may write on the primary; a replica refuses it.
    const wasPrimary = kind === 'write' || context.isPrimary(lease.instance);
    const commits = mayCommitChanges(plan, false, false);
    const encoded = context.encode(this.request, lease);
    const relay = context.createForwarder(
      lease,
      encoded,
      commits || plan.idempotencyKey !== undefined,
    );
    let state: TransactionState;
    try {
      state = await lease.connection.run(encoded.bytes, relay);
    } catch {
      return this.handleBroken(relay, commits && (plan.writes || wasPrimary));
    }
    if (relay.errorCode === SQLSTATE.readOnly && state === 'I' && plan.isAtomic && !relay.hasSent) {
      context.releaseLease();
      return READ_ONLY;
    }
    if (plan.idempotencyKey !== undefined && state === 'T') {
      return this.handleBegun(lease, plan.idempotencyKey, relay);
    }
    context.handleRequestEnd(lease, plan, relay);
    const onPrimary = wasPrimary || context.isPrimary(lease.instance);
    const waits = commits && (plan.writes || onPrimary) && relay.hasCommitted(state);
    const error = waits ? await context.waitForAcknowledgement(lease) : undefined;
    if (error) context.sendError(error);
    else relay.finish();
    return DONE;
  }

  private handleBroken(relay: ResponseForwarder, mayHaveCommitted: boolean): Outcome {
    const { context, plan } = this;
    context.releaseLease();
    if (mayHaveCommitted) {
      const message = 'outcome unknown: the connection to the instance broke';
      context.sendError({ code: SQLSTATE.outcomeUnknown, message });
      return DONE;
    }
    if (!relay.hasSent) return plan.isRead ? ANSWER_LOST : ROLLED_BACK;
    const message = 'the answer broke off; nothing that ran has effect';
    this.sendFailure({ code: SQLSTATE.responseInterrupted, message });
    return DONE;
  }

  /** The key of `BEGIN` with a once-key goes into the transaction before the caller goes on. */
  private async handleBegun(lease: Lease, key: string, relay: ResponseForwarder): Promise<Outcome> {
    const { context, plan } = this;
    try {
      const claim = await insertIdempotencyKey(lease, key, false);
      if (claim.kind === 'claimed') {
        context.handleRequestEnd(lease, plan, relay);
        context.transaction?.idempotencyKeys.add(key);
        if (context.transaction) context.transaction.hasChanges = true;
        relay.finish();
        return DONE;
      }
      await rollBackTransaction(lease);
      context.releaseLease();
      if (claim.kind === 'readOnly') return this.refuseSent(relay, READ_ONLY);
      this.sendFailure(
        claim.kind === 'refused' ? claim.error : await createAlreadyRanError(context, lease, key),
      );
      return DONE;
    } catch {
      context.releaseLease();
      return this.refuseSent(relay, ROLLED_BACK);
    }
  }

  /** An attempt of which the caller has seen a part cannot be repeated. */
  private refuseSent(relay: ResponseForwarder, outcome: Outcome): Outcome {
    if (!relay.hasSent || outcome.kind === 'done') return outcome;
    this.sendFailure(outcome.error);
    return DONE;
  }

  /** Runs the work and the insertion of its key in one transaction. */
  private async runOnce(lease: Lease, key: string): Promise<Outcome> {
    const { context } = this;
    let relay: ResponseForwarder | undefined;
    try {
      const claim = await insertIdempotencyKey(lease, key, true);
      if (claim.kind !== 'claimed') {
        await rollBackTransaction(lease);
        context.releaseLease();
        if (claim.kind === 'readOnly') return READ_ONLY;
        context.sendError(
          claim.kind === 'refused' ? claim.error : await createAlreadyRanError(context, lease, key),
        );
        return DONE;
      }
      const encoded = context.encode(this.request, lease);
      relay = context.createForwarder(lease, encoded, true);
      await lease.connection.run(encoded.bytes, relay);
    } catch {
      // COMMIT was not sent, so the instance rolls back.
      return relay ? this.handleBroken(relay, false) : this.handleUnclaimed();
    }
    return this.finishOnce(lease, relay);
  }

  private handleUnclaimed(): Outcome {
    this.context.releaseLease();
    return ROLLED_BACK;
  }

  private async finishOnce(lease: Lease, relay: ResponseForwarder): Promise<Outcome> {
    const { context } = this;
    if (relay.errorCode !== undefined) {
      await rollBackTransaction(lease);
      context.releaseLease();
      relay.finish('I');
      return DONE;
    }
    let error: Refusal | undefined;
    try {
      await commitTransaction(lease);
    } catch (cause) {
      const isRefused = cause instanceof RefusedError;
      const message = cause instanceof Error ? cause.message : 'the connection broke at COMMIT';
      error = isRefused
        ? createNotRun(message)
        : { code: SQLSTATE.outcomeUnknown, message: `outcome unknown: ${message}` };
    }
    context.releaseLease();
    error ??= await context.waitForAcknowledgement(lease);
    if (error) context.sendError(error);
    else relay.finish('I');
    return DONE;
  }
}
