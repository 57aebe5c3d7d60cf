import { Attempts, isLease } from './attempt.js';
import { ConnectionError } from './errors.js';
import type { AuthorizedRoute } from './identity.js';
import type { Lease } from './lease.js';
import { rollBack, runInSession } from './run.js';
import { createLocalReply, type SessionContext } from './context.js';
import type { DataStatement, Failure, Reply } from './statement.js';

/** Result of one attempt. */
type Outcome =
  | { readonly kind: 'answered'; readonly reply: Reply }
  /** May be retried; `failure` is returned when that isn't possible. */
  | { readonly kind: 'retryable'; readonly failure: Failure }
  | { readonly kind: 'refused'; readonly failure: Failure };

const LOST: Failure = { verdict: 'failed', reason: 'the instance gave no whole answer' };
const NOT_SENT: Failure = { verdict: 'overloaded', reason: 'the connection broke before' };

/** Runs one statement outside a transaction, with retries. */
export class SingleStatementRunner {
  private readonly attempts: Attempts;

  private readonly isWrite: boolean;

  /** The connection of the attempt in progress. */
  private lease: Lease | undefined;

  constructor(
    private readonly context: SessionContext,
    private readonly authorized: AuthorizedRoute,
    private readonly id: string,
    private readonly statement: DataStatement,
  ) {
    this.isWrite = context.isWrite(statement) === true;
    this.attempts = new Attempts(context, authorized, id, this.isWrite ? 'write' : 'read');
  }

  async run(): Promise<Reply> {
    for (;;) {
      const lease = await this.attempts.admit();
      if (!isLease(lease)) return createLocalReply('idle', lease);
      const outcome = await this.runOn(lease);
      this.lease = undefined;
      if (outcome.kind === 'answered') return outcome.reply;
      const { failure } = outcome;
      const isRetried =
        outcome.kind === 'retryable'
          ? await this.attempts.prepareRetry(lease, failure.verdict)
          : await this.attempts.prepareRetryIfNotRun(lease, failure);
      if (!isRetried) return createLocalReply('idle', failure);
    }
  }

  /** Ends the attempt in progress; a statement that was sent may have run. */
  end(): void {
    this.lease?.connection.close();
  }

  private async runOn(lease: Lease): Promise<Outcome> {
    this.lease = lease;
    if (!lease.connection.isUsable()) {
      lease.release();
      return { kind: 'retryable', failure: NOT_SENT };
    }
    if (this.isWrite) return this.write(lease);
    return lease.after ? this.readAfter(lease) : this.readFromLeader(lease);
  }

  private async write(lease: Lease): Promise<Outcome> {
    const { attempts, context, statement, id } = this;
    const startedAt = context.readNow();
    try {
      const remaining = attempts.readRemaining();
      const command = { id, operation: statement };
      const reply = await runInSession(lease.connection, context, command, remaining);
      attempts.handleReply(lease, reply, startedAt);
      lease.release();
      if (!reply.failure) {
        await lease.confirmCommit(reply.position, attempts.readRemaining());
        context.handleCommit(this.authorized.route.group, reply.position);
      }
      return this.createOutcome(reply);
    } catch (error) {
      lease.release();
      if (!(error instanceof ConnectionError)) throw error;
      const reason = `no confirmed answer to a write from ${lease.instance}: ${error.message}`;
      return {
        kind: 'answered',
        reply: createLocalReply('idle', { verdict: 'unknownOutcome', reason }),
      };
    }
  }

  /** Reads at the required log position, which the instance itself checks. */
  private async readAfter(lease: Lease): Promise<Outcome> {
    const { attempts, context, statement, id } = this;
    const startedAt = context.readNow();
    try {
      const command = { id, operation: statement, after: lease.after };
      const limit = attempts.computeReplyTimeout(lease);
      const reply = await runInSession(lease.connection, context, command, limit);
      attempts.handleReply(lease, reply, startedAt);
      lease.release();
      return this.createOutcome(reply);
    } catch (error) {
      lease.release();
      if (!(error instanceof ConnectionError)) throw error;
      attempts.handleLoss(lease, startedAt);
      return { kind: 'retryable', failure: LOST };
    }
  }

  /**
   * Reads inside a plain transaction, whose statements an instance refuses that is no longer the
   * leader. The statement is sent only after BEGIN has succeeded, since after a refused BEGIN it
   * would run outside a transaction.
   */
  private async readFromLeader(lease: Lease): Promise<Outcome> {
    const { attempts, context, statement, id } = this;
    const { connection } = lease;
    const startedAt = context.readNow();
    try {
      const begin = { operation: { kind: 'begin', isReadOnly: false } } as const;
      const beginLimit = attempts.computeReplyTimeout(lease);
      const opened = await runInSession(connection, context, begin, beginLimit);
      context.handleLeadership(this.authorized.route.group, opened);
      if (opened.failure) {
        lease.release();
        return { kind: 'refused', failure: opened.failure };
      }
      const limit = attempts.computeReplyTimeout(lease);
      const running = runInSession(connection, context, { id, operation: statement }, limit);
      const end = rollBack(connection, limit);
      const reply = await running;
      attempts.handleReply(lease, reply, startedAt);
      // The caller doesn't wait for the end of the transaction.
      end.finally(() => lease.release()).catch(() => undefined);
      return this.createOutcome(reply);
    } catch (error) {
      lease.release();
      if (!(error instanceof ConnectionError)) throw error;
      return { kind: 'retryable', failure: LOST };
    }
  }

  private createOutcome({ rows, digest, failure, position }: Reply): Outcome {
    if (!failure) {
      const reply = { rows, digest, failure, state: 'idle', position } as const;
      return { kind: 'answered', reply };
    }
    // A failed read may be repeated; a failed write may have taken effect.
    const isRetryable = !this.isWrite && failure.verdict === 'failed';
    return { kind: isRetryable ? 'retryable' : 'refused', failure };
  }
}
