import type { Millis } from '@shallotpick/core';
import { Attempts, isLease } from './attempt.js';
import { ConnectionError, NotSentError } from './errors.js';
import type { AuthorizedRoute } from './identity.js';
import type { Lease } from './lease.js';
import { rollBack, runInSession } from './run.js';
import { createLocalReply, type SessionContext } from './context.js';
import type { DataStatement, Failure, Reply } from './statement.js';
import { wait } from './timing.js';
import { WriteTracker } from './writetracker.js';

const ROLLBACK_TIMEOUT_MS: Millis = 1_000;
/** Delay before a COMMIT that was refused for lack of a slot is sent again. */
const COMMIT_RETRY_MS: Millis = 10;
/** Fraction of the timeout after which a statement without a reply aborts its transaction. */
const REPLY_TIMEOUT_FRACTION = 0.75;

/**
 * A caller's transaction. It acquires a connection at its first statement, so that pauses before
 * it hold no resources, and keeps that connection until its end.
 */
export class Transaction {
  private lease: Lease | undefined;

  /** The connection on which the transaction is being opened. */
  private opening: Lease | undefined;

  private failure: Failure | undefined;

  /** True once the caller has been told that the transaction has failed. */
  private isReported = false;

  private isRunning = false;

  /** True while a COMMIT that may have been sent has no reply. */
  private mayHaveCommitted = false;

  private readonly writes = new WriteTracker();

  private usedAt: Millis;

  constructor(
    private readonly context: SessionContext,
    private currentRoute: AuthorizedRoute,
    private readonly isReadOnly: boolean,
  ) {
    this.usedAt = context.readNow();
  }

  /** Its route, which no longer changes once it has been opened on an instance. */
  get authorized(): AuthorizedRoute {
    return this.currentRoute;
  }

  isFailed(): boolean {
    return this.isReported;
  }

  /** True while it may still be opened on an instance of any route. */
  isUnopened(): boolean {
    return !this.lease && !this.opening && !this.failure;
  }

  /** Changes the route of a transaction that is unopened. */
  updateRoute(next: AuthorizedRoute): void {
    this.currentRoute = next;
  }

  /** Rolls back after the caller has been idle for `limit`. */
  handleTick(now: Millis, limit: Millis): void {
    if (!this.lease || this.isRunning || now - this.usedAt < limit) return;
    this.abort('the transaction was idle for too long');
  }

  /** Rolls back without waiting for the instance's reply. */
  abort(reason: string): void {
    this.failure ??= { verdict: 'aborted', reason };
    this.opening?.connection.close();
    const { lease } = this;
    this.lease = undefined;
    if (!lease) return;
    if (this.isRunning || this.context.isClosed) lease.connection.close();
    rollBack(lease.connection, ROLLBACK_TIMEOUT_MS)
      .finally(() => lease.release())
      .catch(() => undefined);
  }

  async run(id: string, statement: DataStatement): Promise<Reply> {
    const reply = await this.runWithLease(id, async (lease) => {
      const limit = this.authorized.route.timeoutMs * REPLY_TIMEOUT_FRACTION;
      const startedAt = this.context.readNow();
      const command = { id, operation: statement };
      const ran = await runInSession(lease.connection, this.context, command, limit);
      lease.recordLatency(this.context.readNow() - startedAt);
      return ran;
    });
    if (reply.failure) return this.fail(reply.failure);
    if (this.context.isWrite(statement)) this.writes.handleWrite(reply);
    return reply;
  }

  /** Commits; the transaction has ended afterwards, whatever the reply. */
  async commit(id: string): Promise<Reply> {
    if (this.isReported || this.failure) {
      const failure = this.failure ?? { verdict: 'aborted', reason: 'the transaction has failed' };
      this.abort(failure.reason);
      return createLocalReply('idle', { ...failure, verdict: 'aborted' });
    }
    const sentAt = this.context.readNow();
    const reply = await this.runWithLease(id, (lease) => {
      if (!lease.connection.isUsable()) throw new NotSentError('it broke before COMMIT');
      return this.sendCommit(id, lease);
    });
    const { lease } = this;
    if (!reply.failure && lease) {
      this.lease = undefined;
      lease.release();
      return this.confirmCommit(lease, reply, sentAt);
    }
    const failure = reply.failure ?? { verdict: 'aborted', reason: 'the connection is gone' };
    this.abort(failure.reason);
    // A COMMIT without a reply may have taken effect.
    const isUnknown = this.mayHaveCommitted && failure.verdict === 'aborted';
    return createLocalReply(
      'idle',
      isUnknown ? { ...failure, verdict: 'unknownOutcome' } : failure,
    );
  }

  private fail(failure: Failure): Reply {
    this.abort(failure.reason);
    this.isReported = true;
    return createLocalReply('failed', failure);
  }

  /** Waits until what was written may be handed on; the connection has been returned by then. */
  private async confirmCommit(lease: Lease, reply: Reply, sentAt: Millis): Promise<Reply> {
    try {
      if (this.writes.handleCommit(reply)) {
        const elapsed = this.context.readNow() - sentAt;
        const remaining = Math.max(1, this.authorized.route.timeoutMs - elapsed);
        await lease.confirmCommit(reply.position, remaining);
      }
      this.context.handleCommit(this.authorized.route.group, reply.position);
      return { ...reply, state: 'idle' };
    } catch (error) {
      if (!(error instanceof ConnectionError)) throw error;
      return createLocalReply('idle', { verdict: 'unknownOutcome', reason: error.message });
    }
  }

  private async sendCommit(id: string, lease: Lease): Promise<Reply> {
    const deadline = this.context.readNow() + this.authorized.route.timeoutMs;
    for (;;) {
      const remaining = Math.max(1, deadline - this.context.readNow());
      const reply = await this.sendCommitOnce(id, lease, remaining);
      const isRefused = reply.failure?.verdict === 'overloaded' && reply.state === 'open';
      if (!isRefused || remaining <= COMMIT_RETRY_MS) return reply;
      await wait(COMMIT_RETRY_MS);
    }
  }

  private async sendCommitOnce(id: string, lease: Lease, timeoutMs: Millis): Promise<Reply> {
    const command = { id, operation: { kind: 'commit' } } as const;
    this.mayHaveCommitted = true;
    try {
      return await runInSession(lease.connection, this.context, command, timeoutMs);
    } catch (error) {
      this.mayHaveCommitted = !(error instanceof NotSentError);
      throw error;
    }
  }

  private async runWithLease(id: string, run: (lease: Lease) => Promise<Reply>): Promise<Reply> {
    if (this.failure) return createLocalReply('failed', this.failure);
    this.isRunning = true;
    try {
      const failure = this.lease ? undefined : await this.open(id);
      const { lease } = this;
      if (failure || !lease) {
        return createLocalReply('failed', failure ?? { verdict: 'aborted', reason: 'ended' });
      }
      lease.updateBusy(true);
      const reply = await run(lease);
      lease.updateBusy(false);
      return { ...reply, state: 'open' };
    } catch (error) {
      if (!(error instanceof ConnectionError)) throw error;
      const reason = `${this.lease?.instance ?? 'no instance'}: ${error.message}`;
      return createLocalReply('failed', { verdict: 'aborted', reason });
    } finally {
      this.isRunning = false;
      this.usedAt = this.context.readNow();
    }
  }

  /** Opens the transaction on an instance; returns the failure when that isn't possible. */
  private async open(id: string): Promise<Failure | undefined> {
    const { context, authorized, isReadOnly } = this;
    const mayBeOld = isReadOnly && authorized.route.contract.maxAgeMs > 0;
    const kind = mayBeOld ? 'read' : 'write';
    const attempts = new Attempts(context, authorized, id, kind, true);
    for (;;) {
      const lease = await attempts.admit();
      if (!isLease(lease)) return lease;
      this.opening = lease;
      const failure = await this.openOn(lease, attempts);
      this.opening = undefined;
      // Aborted meanwhile, as when the caller has left or lost its key.
      if (this.failure) {
        lease.connection.close();
        lease.release();
        return this.failure;
      }
      if (!failure) {
        this.lease = lease;
        return undefined;
      }
      lease.release();
      if (!(await attempts.prepareRetryIfNotRun(lease, failure))) return failure;
    }
  }

  private async openOn(lease: Lease, attempts: Attempts): Promise<Failure | undefined> {
    const { connection, after } = lease;
    try {
      // Only a plain BEGIN proves leadership.
      const operation = { kind: 'begin', isReadOnly: after !== undefined } as const;
      const limit = attempts.computeReplyTimeout(lease);
      const opened = await runInSession(connection, this.context, { operation, after }, limit);
      if (!operation.isReadOnly) this.context.handleLeadership(this.authorized.route.group, opened);
      return opened.failure;
    } catch (error) {
      if (!(error instanceof ConnectionError)) throw error;
      return { verdict: 'overloaded', reason: error.message };
    }
  }
}
