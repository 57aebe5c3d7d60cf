import {
  type AdmissionDecision,
  AdmissionQueue,
  type Clock,
  computeCostKey,
  CostEstimator,
  type DatabaseGroup,
  type Millis,
  type Route,
  type RouteRequest,
  type Work,
} from '@shallotpick/core';
import { RefusedError } from './errors.js';
import type { Demand, QuotaDriver } from './quota.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import type { ConnectionPool } from './pool.js';

const MAX_QUEUED = 5_000;
const STOPPED = 'the group is no longer served here';

/** A request for a slot. */
export interface WorkRequest extends RouteRequest {
  /** Key of fair queueing: callers are admitted in turn. */
  readonly caller: string;
  readonly deadline: Millis;
  /** Statement text that the cost is learned for; undefined when there is no single statement. */
  readonly statement?: string | undefined;
}

/** A slot on an instance, held by one request or transaction. */
export interface Slot {
  readonly instance: string;
  /** Reports the start or end of a statement, and whether a transaction is open at that point. */
  update(isBusy: boolean, isOpen: boolean): void;
  /** Returns the slot to the queue; repeated calls have no effect. */
  release(): void;
}

/** A queued request and the callbacks that end its wait. */
interface PendingRequest {
  readonly request: WorkRequest;
  readonly resolve: (instance: string) => void;
  readonly reject: (error: Error) => void;
}

/** Dependencies of {@link Admission}. */
export interface AdmissionDependencies {
  readonly group: DatabaseGroup;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly pools: ReadonlyMap<string, ConnectionPool>;
  readonly createQuota: (onGrant: (instance: string) => void) => QuotaDriver;
  readonly findRoute: (request: WorkRequest, now: Millis) => Route;
}

/** Queues the work of one group and starts it within the quota that this proxy holds. */
export class Admission {
  readonly quota: QuotaDriver;

  private readonly costEstimator = new CostEstimator();

  private readonly queue: AdmissionQueue;

  private readonly pending = new Map<number, PendingRequest>();

  /** One check per slot that reclassifies a running statement as long. */
  private readonly lengthChecks = new Set<(now: Millis) => void>();

  private readonly refusals = new Map<string, Error>();

  private nextId = 1;

  private isStopped = false;

  constructor(private readonly dependencies: AdmissionDependencies) {
    this.quota = dependencies.createQuota((instance) => this.updateCapacity(instance));
    this.queue = new AdmissionQueue({
      maxQueued: MAX_QUEUED,
      findRoute: (work, now) => {
        const request = this.pending.get(work.id)?.request;
        return request
          ? dependencies.findRoute(request, now)
          : { kind: 'wait', reason: 'withdrawn' };
      },
    });
  }

  /** Cost of a typical short statement. */
  readTypicalCost(): Millis {
    return this.costEstimator.readTypicalCost();
  }

  /** Estimates the wait from the typical cost and the queue of this proxy. */
  findExpectedWait(instance: string): Millis {
    const slots = this.findInstance(instance)?.slots ?? 1;
    const running = this.queue.countRunning(instance);
    const cost = this.costEstimator.readTypicalCost();
    if (this.queue.hasShortSlot(instance)) return (cost * Math.max(0, running + 1 - slots)) / slots;
    return (cost * (1 + this.queue.countQueued('short'))) / Math.max(1, running);
  }

  /**
   * Waits for a free slot on an instance that may serve the request.
   *
   * @throws RefusedError when none is available before the deadline; the request did not run.
   */
  async admit(request: WorkRequest): Promise<Slot> {
    if (this.isStopped) throw new RefusedError(STOPPED);
    const { caller, contract, deadline, statement, kind } = request;
    const costKey = statement === undefined ? undefined : computeCostKey(statement, contract.name);
    const isLong =
      contract.length === 'long' || (costKey !== undefined && this.costEstimator.isLong(costKey));
    const allowsStale = kind === 'read' && contract.maxAgeMs > 0;
    const work: Work = {
      id: this.nextId,
      caller,
      length: isLong ? 'long' : 'short',
      deadline,
      routeKey: allowsStale ? `age ${contract.name}` : 'primary',
    };
    this.nextId += 1;
    const instance = await new Promise<string>((resolve, reject) => {
      this.pending.set(work.id, { request, resolve, reject });
      this.applyDecisions(this.queue.add(work, this.dependencies.clock.readNow()));
    });
    return this.createSlot(work, instance, costKey);
  }

  /** Retries the queued work, for example when a replica has caught up. */
  retryQueued(): void {
    if (this.queue.countQueued() === 0) return;
    this.applyDecisions(this.queue.handleTick(this.dependencies.clock.readNow()));
  }

  handleTick(): void {
    const now = this.dependencies.clock.readNow();
    this.lengthChecks.forEach((checkLength) => checkLength(now));
    this.quota.handleTick((instance) => this.findDemand(instance));
    this.dependencies.group.instances.forEach(({ id, leaving }) => {
      this.updateCapacity(id);
      if (!leaving) this.dependencies.pools.get(id)?.warmUp(this.quota.findWantedConnections(id));
    });
    this.applyDecisions(this.queue.handleTick(now));
  }

  /** True when no work is queued. */
  isIdle(): boolean {
    return this.pending.size === 0;
  }

  /** Refuses all queued work, and what is added from now on. */
  stop(): void {
    this.isStopped = true;
    const pending = [...this.pending.values()];
    this.pending.clear();
    pending.forEach(({ reject }) => reject(new RefusedError(STOPPED)));
  }

  private findInstance(id: string): DatabaseGroup['instances'][number] | undefined {
    return this.dependencies.group.instances.find((instance) => instance.id === id);
  }

  private createSlot(admitted: Work, instance: string, costKey: string | undefined): Slot {
    const { clock } = this.dependencies;
    let state: 'running' | 'idle' | 'released' = 'running';
    let startedAt = clock.readNow();
    let work = admitted;
    // Only a statement with a learned cost can be reclassified as long while it runs.
    const checkLength = (now: Millis): void => {
      const isOver =
        state === 'running' && now - startedAt > this.costEstimator.readLongThreshold();
      if (costKey === undefined || work.length === 'long' || !isOver) return;
      work = this.queue.updateLength(instance, work);
      this.costEstimator.add(costKey, now - startedAt);
    };
    this.lengthChecks.add(checkLength);
    return {
      instance,
      update: (isBusy, isOpen) => {
        const now = clock.readNow();
        if (isBusy) {
          if (state === 'idle') {
            this.queue.handleBusy(instance, work);
            state = 'running';
          }
          startedAt = now;
          return;
        }
        if (costKey !== undefined && !isOpen) this.costEstimator.add(costKey, now - startedAt);
        if (!isOpen || state !== 'running') return;
        state = 'idle';
        this.applyDecisions(this.queue.handleIdle(instance, work, now));
      },
      release: () => {
        if (state === 'released') return;
        const isIdle = state === 'idle';
        state = 'released';
        this.lengthChecks.delete(checkLength);
        this.releaseWork(work, instance, isIdle);
      },
    };
  }

  private releaseWork(work: Work, instance: string, isIdle: boolean): void {
    const now = this.dependencies.clock.readNow();
    if (work.length === 'long') {
      // The lender gets the permit back before this proxy starts its next long work.
      const shares = this.quota.readShares(instance);
      if (shares) this.queue.updateCapacity(instance, { ...shares, longPermits: 0 }, now);
    }
    const decisions = this.queue.handleDone(instance, work, now, isIdle);
    if (work.length === 'long') this.quota.requestShares(instance, this.findDemand(instance));
    this.applyDecisions(decisions);
  }

  private updateCapacity(instance: string): void {
    const shares = this.quota.readShares(instance);
    if (!shares) return;
    const { leaving } = this.findInstance(instance) ?? {};
    this.dependencies.pools.get(instance)?.updateLimit(leaving ? 0 : shares.connections);
    this.applyDecisions(
      this.queue.updateCapacity(instance, shares, this.dependencies.clock.readNow()),
    );
  }

  private findDemand(instance: string): Demand {
    const { queue } = this;
    const { connectionLimit = 0, slots = 0 } = this.findInstance(instance) ?? {};
    const shares = this.quota.readShares(instance);
    const open = this.dependencies.pools.get(instance)?.countOpen() ?? 0;
    const short = queue.countRunning(instance, 'short');
    const long = queue.countRunning(instance, 'long');
    const queuedShort = queue.countQueued('short');
    const queuedLong = queue.countQueued('long');
    // More connections than can run at once would only be idle.
    const useful =
      Math.min(queuedShort, slots + 1) + Math.min(queuedLong, shares?.longPermits ?? 0);
    const held = queue.countConnections(instance);
    const connections = Math.min(connectionLimit, held + useful + (queuedLong > 0 ? 1 : 0) + 1);
    return {
      used: {
        connections: Math.max(open, held),
        concurrency: Math.max(0, Math.min(short - 1, shares ? shares.concurrency - 1 : 0)),
        longPermits: long,
      },
      wanted: {
        connections,
        concurrency: Math.min(slots, Math.max(0, short + queuedShort - 1)),
        longPermits: Math.min(long + queuedLong, long + 1),
      },
    };
  }

  private applyDecisions(decisions: readonly AdmissionDecision[]): void {
    const { log, metrics, group } = this.dependencies;
    decisions.forEach((decision) => {
      const { work, reason } = decision;
      const pending = this.pending.get(work.id);
      this.pending.delete(work.id);
      if (!pending) {
        // `stop` has already refused this work.
        if (decision.kind === 'start') this.releaseWork(work, decision.instance, false);
        return;
      }
      if (decision.kind === 'refuse') {
        log.info('request refused', { group: group.name, caller: work.caller, reason });
        metrics.refusals.inc({ reason });
        pending.reject(this.createRefusal(reason));
        return;
      }
      this.logRoute(pending.request, work, decision.instance, reason);
      pending.resolve(decision.instance);
    });
  }

  /** Reuses one error per reason: under overload, stack traces cost more than the work. */
  private createRefusal(reason: string): Error {
    const known = this.refusals.get(reason);
    if (known) return known;
    const error = new RefusedError(reason);
    this.refusals.set(reason, error);
    return error;
  }

  private logRoute(request: WorkRequest, work: Work, instance: string, reason: string): void {
    const { log, metrics, group } = this.dependencies;
    const { contract, caller } = request;
    const target = reason.startsWith('replica') ? 'replica' : 'primary';
    metrics.statements.inc({ group: group.name, target });
    const fields = { group: group.name, caller, contract: contract.name, length: work.length };
    log.info('route', { ...fields, instance, reason });
  }
}
