import type { Millis } from '@shallotpick/core';
import type { GroupAccess } from './access.js';
import type { DatabaseRoute } from './configuration.js';
import type { WorkRequest } from './dispatcher.js';
import { NotRunError } from './errors.js';
import type { AuthorizedRoute } from './identity.js';
import type { Lease } from './lease.js';
import type { OperationPermit } from './operationquota.js';
import { SHUTTING_DOWN } from './shutdown.js';
import type { SessionContext } from './context.js';
import type { Failure, Reply, Verdict } from './statement.js';
import { wait } from './timing.js';

/** Fraction of the statement timeout that may pass before the work is admitted. */
const ADMISSION_FRACTION = 0.85;
/** Delay before the work is sent to the same instance again. */
const RETRY_DELAY_MS: Millis = 10;
/** Longest wait of a request for a new process to learn who serves its group. */
const PLACEMENT_WAIT_MS: Millis = 150;
/** A reply that takes longer than this multiple of the expected latency counts as lost. */
const REPLY_TIMEOUT_FACTOR = 10;
const MIN_REPLY_TIMEOUT_MS: Millis = 300;

/** Verdicts that guarantee that the work has not run, so that it may be sent again. */
const NOT_RUN: ReadonlySet<Verdict> = new Set<Verdict>([
  'overloaded',
  'lagging',
  'readOnly',
  'unknownStatement',
]);

/** Acquires a connection for each attempt of one request, until the request's deadline. */
export class Attempts {
  readonly deadline: Millis;

  private readonly objective: Millis;

  private readonly excluded = new Set<string>();

  private readonly route: DatabaseRoute;

  private readonly organisation: string | undefined;

  /** True when only a leader that proves to lead is sure to hold what the session has committed. */
  private mustReadAtLeader: boolean;

  constructor(
    private readonly context: SessionContext,
    private readonly authorized: AuthorizedRoute,
    private readonly requestId: string,
    private readonly kind: 'read' | 'write',
    private readonly isTransaction = false,
  ) {
    const { route, organisation } = authorized;
    this.route = route;
    this.organisation = organisation;
    const now = context.readNow();
    this.deadline = now + route.timeoutMs;
    this.objective = now + route.targetLatencyMs;
    this.mustReadAtLeader = route.readsOwnWrites && !context.positions.isComplete(route.group);
    context.options.retries.addRequest(organisation);
  }

  readRemaining(): Millis {
    return Math.max(1, this.deadline - this.context.readNow());
  }

  /** How long to wait for a reply before the work is tried on another instance. */
  computeReplyTimeout({ latencyMs }: Lease): Millis {
    return Math.min(
      this.readRemaining(),
      Math.max(MIN_REPLY_TIMEOUT_MS, REPLY_TIMEOUT_FACTOR * latencyMs),
    );
  }

  /** Waits for a connection; returns the failure when there is none in time. */
  async admit(): Promise<Lease | Failure> {
    const { context, route } = this;
    const group = await this.findGroup();
    if (!group) return { verdict: 'overloaded', reason: 'the group is not known' };
    const remaining = this.readRemaining();
    const deadline = this.deadline - route.timeoutMs * (1 - ADMISSION_FRACTION);
    let permit: OperationPermit | undefined;
    try {
      permit = await context.options.quota.take(this.organisation, deadline);
      const lease = await group.admit(this.createRequest(deadline));
      permit = await this.refreshPermit(permit, lease);
      const loss = this.findLoss();
      if (!loss) return lease;
      lease.release();
      permit.giveBack();
      return loss;
    } catch (error) {
      if (!(error instanceof NotRunError)) throw error;
      permit?.giveBack();
      return {
        verdict: 'overloaded',
        reason: `${error.message} (${Math.round(remaining)} ms left)`,
      };
    }
  }

  /** Refreshes the permit; releases the connection when the work can't start. */
  private async refreshPermit(permit: OperationPermit, lease: Lease): Promise<OperationPermit> {
    try {
      return await permit.refresh();
    } catch (error) {
      lease.release();
      throw error;
    }
  }

  /** Finds out whether the caller has left or lost its key, or the process ends, while the work waited. */
  private findLoss(): Failure | undefined {
    const { context } = this;
    if (context.isClosed) return { verdict: 'aborted', reason: 'the caller has left' };
    if (context.options.shutdown.isOver()) return { verdict: 'overloaded', reason: SHUTTING_DOWN };
    return context.options.identity.checkAgain(this.authorized);
  }

  private createRequest(deadline: Millis): WorkRequest {
    const { context, route, requestId, kind, organisation, objective, excluded } = this;
    const { isTransaction, mustReadAtLeader } = this;
    const { contract, readsOwnWrites } = route;
    return {
      ...{ requestId, kind, isTransaction, organisation, objective, deadline, excluded },
      contract: mustReadAtLeader ? { ...contract, maxAgeMs: 0 } : contract,
      caller: organisation ?? context.options.caller,
      database: route.database,
      priority: route.priority,
      version: this.authorized.version,
      lastCommit: readsOwnWrites ? context.positions.findCommit(route.group) : undefined,
    };
  }

  /** Finds the group; a process that has just started may still be learning who serves it. */
  private async findGroup(): Promise<GroupAccess | undefined> {
    const { context, route } = this;
    const limit = Math.min(this.deadline, context.readNow() + PLACEMENT_WAIT_MS);
    for (;;) {
      const group = context.options.findGroup(route.group);
      if (group || context.readNow() >= limit) return group;
      await wait(RETRY_DELAY_MS);
    }
  }

  /** Prepares a retry when the verdict guarantees that the work has not run; false otherwise. */
  async prepareRetryIfNotRun(lease: Lease, { verdict }: Failure): Promise<boolean> {
    if (verdict === 'readOnly') lease.handleDemotion();
    // The position is of a log that is no more, unless this instance no longer leads.
    if (verdict === 'lagging' && lease.isLeader) this.mustReadAtLeader = true;
    if (!NOT_RUN.has(verdict)) return false;
    return this.prepareRetry(lease, verdict);
  }

  /**
   * Prepares a retry of work that may be repeated: waits and updates the excluded instances. False
   * when the deadline has passed or the retry budget is used up.
   */
  async prepareRetry(lease: Lease, verdict: Verdict): Promise<boolean> {
    const { options, isClosed } = this.context;
    if (
      isClosed ||
      this.context.readNow() >= this.deadline ||
      !options.retries.requestRetry(this.organisation)
    ) {
      return false;
    }
    options.metrics.retries.inc({ verdict });
    options.log.info('retry', { request: this.requestId, instance: lease.instance, verdict });
    if (this.kind === 'write' || this.excluded.has(lease.instance)) await wait(RETRY_DELAY_MS);
    // Every instance has been tried once, so all of them are candidates again.
    if (this.excluded.has(lease.instance) || lease.isLeader) this.excluded.clear();
    if (this.kind === 'read' && !lease.isLeader) this.excluded.add(lease.instance);
    return true;
  }

  /** Records the latency of a statement and its reply. */
  handleReply(lease: Lease, reply: Reply, startedAt: Millis): void {
    this.recordLatency(lease, startedAt);
    lease.handleReply(reply, this.context.readNow() - startedAt);
  }

  /** Records that a statement got no answer. */
  handleLoss(lease: Lease, startedAt: Millis): void {
    this.recordLatency(lease, startedAt);
    lease.handleLoss(this.context.readNow() - startedAt);
  }

  recordLatency(lease: Lease, startedAt: Millis): void {
    lease.recordLatency(this.context.readNow() - startedAt);
  }
}

/** Narrows the result of an admission to a lease. */
export function isLease(found: Lease | Failure): found is Lease {
  return 'connection' in found;
}
