import type { Millis } from '@shallotpick/core';
import type { DatabaseRoute } from './configuration.js';
import { NotRunError } from './errors.js';
import type { Lease } from './lease.js';
import type { SessionContext } from './context.js';
import type { Failure, Verdict } from './statement.js';
import { wait } from './timing.js';

/** Part of the time-out that may pass before the work has started. */
const ADMIT_PART = 0.85;
/** Gap before an instance that was overloaded is asked again. */
const RETRY_DELAY_MS: Millis = 10;
/** A reply that takes this many times the usual is taken as lost. */
const STALL_RATIO = 10;
const STALL_MIN_MS: Millis = 300;

/** Refusals after which the same work may run at once elsewhere; it has not run. */
const NOT_RUN: ReadonlySet<Verdict> = new Set<Verdict>([
  'overloaded',
  'lagging',
  'readOnly',
  'unknownStatement',
]);

/** Finds connections for one piece of work, again after each refusal, until its deadline. */
export class Attempts {
  readonly deadline: Millis;

  private readonly excluded = new Set<string>();

  constructor(
    private readonly context: SessionContext,
    private readonly route: DatabaseRoute,
    private readonly requestId: string,
    private readonly kind: 'read' | 'write',
  ) {
    this.deadline = context.readNow() + route.timeoutMs;
    context.options.retries.addRequest();
  }

  readRemaining(): Millis {
    return Math.max(1, this.deadline - this.context.readNow());
  }

  /** How long a reply may take before the work is tried elsewhere. */
  computeReplyTimeout({ latencyMs }: Lease): Millis {
    return Math.min(this.readRemaining(), Math.max(STALL_MIN_MS, STALL_RATIO * latencyMs));
  }

  /** Waits for a connection; the failure when there is none in time. */
  async admit(): Promise<Lease | Failure> {
    const { context, route } = this;
    const group = context.options.findGroup(route.group);
    if (!group) return { verdict: 'overloaded', reason: 'the group is not known' };
    const remaining = this.readRemaining();
    try {
      const lease = await group.admit({
        requestId: this.requestId,
        kind: this.kind,
        contract: route.contract,
        caller: context.options.caller,
        deadline: this.deadline - route.timeoutMs * (1 - ADMIT_PART),
        priority: route.priority,
        lastCommit: route.readsOwnWrites ? context.lastCommit : undefined,
        excluded: this.excluded,
      });
      if (!context.isClosed) return lease;
      lease.release();
      return { verdict: 'aborted', reason: 'the caller has left' };
    } catch (error) {
      if (!(error instanceof NotRunError)) throw error;
      return {
        verdict: 'overloaded',
        reason: `${error.message} (${Math.round(remaining)} ms left)`,
      };
    }
  }

  /** True when the work has not run and may be tried again now. */
  async prepareRetryIfNotRun(lease: Lease, { verdict }: Failure): Promise<boolean> {
    const { options } = this.context;
    if (verdict === 'readOnly') options.findGroup(this.route.group)?.handleDemotion(lease.instance);
    if (!NOT_RUN.has(verdict)) return false;
    return this.prepareRetry(lease, verdict);
  }

  /** Prepares another try of work that may be repeated; false when there is no time or budget. */
  async prepareRetry(lease: Lease, verdict: Verdict): Promise<boolean> {
    const { options, isClosed } = this.context;
    if (isClosed || this.context.readNow() >= this.deadline || !options.retries.requestRetry()) {
      return false;
    }
    options.metrics.retries.inc({ verdict });
    options.log.info('retry', { request: this.requestId, instance: lease.instance, verdict });
    if (this.kind === 'write' || this.excluded.has(lease.instance)) await wait(RETRY_DELAY_MS);
    // After a round over all instances each is asked again.
    if (this.excluded.has(lease.instance) || lease.isLeader) this.excluded.clear();
    if (this.kind === 'read' && !lease.isLeader) this.excluded.add(lease.instance);
    return true;
  }

  recordLatency(lease: Lease, startedAt: Millis): void {
    const tookMs = this.context.readNow() - startedAt;
    this.context.options.findGroup(this.route.group)?.recordLatency(lease.instance, tookMs);
  }
}

/** Tells a connection from the reason why there is none. */
export function isLease(found: Lease | Failure): found is Lease {
  return 'connection' in found;
}
