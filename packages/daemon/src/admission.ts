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

/** What a piece of work needs. */
export interface WorkRequest extends RouteRequest {
  /** Work of different callers is admitted in turn. */
  readonly caller: string;
  readonly deadline: Millis;
  /** Text by which the cost is learned; undefined when it cannot be learned. */
  readonly statement?: string | undefined;
}

/** A slot of an instance that one request or transaction has. */
export interface Slot {
  readonly instance: string;
  /** Reports the start or the end of a statement, and whether a transaction is open then. */
  update(isBusy: boolean, isOpen: boolean): void;
  /** May be called more than once. */
  release(): void;
}

interface Pending {
  readonly request: WorkRequest;
  readonly resolve: (instance: string) => void;
  readonly reject: (error: Error) => void;
}

export interface AdmissionDependencies {
  readonly group: DatabaseGroup;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly pools: ReadonlyMap<string, ConnectionPool>;
  readonly createQuota: (onGrant: (instance: string) => void) => QuotaDriver;
  readonly findRoute: (request: WorkRequest, now: Millis) => Route;
}

/** Lets work of one group start within the shares that this proxy holds. */
export class Admission {
  readonly quota: QuotaDriver;

  private readonly costs = new CostEstimator();

  private readonly queue: AdmissionQueue;

  private readonly pending = new Map<number, Pending>();

  /** Checks of the running work for its length. */
  private readonly checks = new Set<(now: Millis) => void>();

  private readonly refusals = new Map<string, Error>();

  private nextId = 1;

  constructor(private readonly parts: AdmissionDependencies) {
    this.quota = parts.createQuota((instance) => this.updateCapacity(instance));
    this.queue = new AdmissionQueue({
      maxQueued: MAX_QUEUED,
      findRoute: (work, now) => {
        const request = this.pending.get(work.id)?.request;
        return request ? parts.findRoute(request, now) : { kind: 'wait', reason: 'withdrawn' };
      },
    });
  }

  /** Cost of a typical short statement. */
  readTypicalCost(): Millis {
    return this.costs.readTypicalCost();
  }

  /** Learned cost times the queue, as far as this proxy sees it. */
  findExpectedWait(instance: string): Millis {
    const slots = this.findInstance(instance)?.slots ?? 1;
    const running = this.queue.countRunning(instance);
    const cost = this.costs.readTypicalCost();
    if (this.queue.hasShortSlot(instance)) return (cost * Math.max(0, running + 1 - slots)) / slots;
    return (cost * (1 + this.queue.countQueued('short'))) / Math.max(1, running);
  }

  /**
   * Waits for a slot.
   *
   * @throws RefusedError when none comes before the deadline; nothing ran.
   */
  async admit(request: WorkRequest): Promise<Slot> {
    const { caller, contract, deadline, statement, kind } = request;
    const key = statement === undefined ? undefined : computeCostKey(statement, contract.name);
    const isLong = contract.length === 'long' || (key !== undefined && this.costs.isLong(key));
    const hasAge = kind === 'read' && contract.maxAgeMs > 0;
    const work: Work = {
      id: this.nextId,
      caller,
      length: isLong ? 'long' : 'short',
      deadline,
      routeKey: hasAge ? `age ${contract.name}` : 'primary',
    };
    this.nextId += 1;
    const instance = await new Promise<string>((resolve, reject) => {
      this.pending.set(work.id, { request, resolve, reject });
      this.runDecisions(this.queue.add(work, this.parts.clock.readNow()));
    });
    return this.createSlot(work, instance, key);
  }

  /** Tries the queue again, as when a replica has caught up. */
  retryQueued(): void {
    if (this.queue.countQueued() === 0) return;
    this.runDecisions(this.queue.handleTick(this.parts.clock.readNow()));
  }

  handleTick(): void {
    const now = this.parts.clock.readNow();
    this.checks.forEach((check) => check(now));
    this.quota.handleTick((instance) => this.findDemand(instance));
    this.parts.group.instances.forEach(({ id, leaving }) => {
      this.updateCapacity(id);
      if (!leaving) this.parts.pools.get(id)?.warmUp(this.quota.findWantedConnections(id));
    });
    this.runDecisions(this.queue.handleTick(now));
  }

  /** True when nothing waits. */
  isIdle(): boolean {
    return this.pending.size === 0;
  }

  /** Refuses what still waits. */
  stop(): void {
    const pending = [...this.pending.values()];
    this.pending.clear();
    pending.forEach(({ reject }) => reject(new RefusedError('the group is no longer served here')));
  }

  private findInstance(id: string): DatabaseGroup['instances'][number] | undefined {
    return this.parts.group.instances.find((instance) => instance.id === id);
  }

  private createSlot(admitted: Work, instance: string, key: string | undefined): Slot {
    const { clock } = this.parts;
    let state: 'running' | 'idle' | 'released' = 'running';
    let startedAt = clock.readNow();
    let work = admitted;
    // Only a statement whose cost is learned may change its length while it runs.
    const check = (now: Millis): void => {
      const isOver = state === 'running' && now - startedAt > this.costs.readLongThreshold();
      if (key === undefined || work.length === 'long' || !isOver) return;
      work = this.queue.updateLength(instance, work);
      this.costs.add(key, now - startedAt);
    };
    this.checks.add(check);
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
        if (key !== undefined && !isOpen) this.costs.add(key, now - startedAt);
        if (!isOpen || state !== 'running') return;
        state = 'idle';
        this.runDecisions(this.queue.handleIdle(instance, work, now));
      },
      release: () => {
        if (state === 'released') return;
        const isIdle = state === 'idle';
        state = 'released';
        this.checks.delete(check);
        this.releaseWork(work, instance, isIdle);
      },
    };
  }

  private releaseWork(work: Work, instance: string, isIdle: boolean): void {
    const now = this.parts.clock.readNow();
    if (work.length === 'long') {
      // The permit goes back to the lender before the next long work of this proxy starts.
      const rights = this.quota.readRights(instance);
      if (rights) this.queue.updateCapacity(instance, { ...rights, longPermits: 0 }, now);
    }
    const decisions = this.queue.handleDone(instance, work, now, isIdle);
    if (work.length === 'long') this.quota.requestShares(instance, this.findDemand(instance));
    this.runDecisions(decisions);
  }

  private updateCapacity(instance: string): void {
    const rights = this.quota.readRights(instance);
    if (!rights) return;
    const { leaving } = this.findInstance(instance) ?? {};
    this.parts.pools.get(instance)?.updateLimit(leaving ? 0 : rights.connections);
    this.runDecisions(this.queue.updateCapacity(instance, rights, this.parts.clock.readNow()));
  }

  private findDemand(instance: string): Demand {
    const { queue } = this;
    const { connectionLimit = 0, slots = 0 } = this.findInstance(instance) ?? {};
    const rights = this.quota.readRights(instance);
    const open = this.parts.pools.get(instance)?.countOpen() ?? 0;
    const short = queue.countRunning(instance, 'short');
    const long = queue.countRunning(instance, 'long');
    const queuedShort = queue.countQueued('short');
    const queuedLong = queue.countQueued('long');
    // Connections beyond what may run at once would only be idle.
    const useful =
      Math.min(queuedShort, slots + 1) + Math.min(queuedLong, rights?.longPermits ?? 0);
    const held = queue.countConnections(instance);
    const connections = Math.min(connectionLimit, held + useful + (queuedLong > 0 ? 1 : 0) + 1);
    return {
      used: {
        connections: Math.max(open, held),
        concurrency: Math.max(0, Math.min(short - 1, rights ? rights.concurrency - 1 : 0)),
        longPermits: long,
      },
      wanted: {
        connections,
        concurrency: Math.min(slots, Math.max(0, short + queuedShort - 1)),
        longPermits: Math.min(long + queuedLong, long + 1),
      },
    };
  }

  private runDecisions(decisions: readonly AdmissionDecision[]): void {
    const { log, metrics, group } = this.parts;
    decisions.forEach((decision) => {
      const { work, reason } = decision;
      const pending = this.pending.get(work.id);
      this.pending.delete(work.id);
      if (!pending) {
        // Refused by `stop` in the meantime.
        if (decision.kind === 'start') this.releaseWork(work, decision.instance, false);
        return;
      }
      if (decision.kind === 'refuse') {
        log.info('refused', { group: group.name, caller: work.caller, reason });
        metrics.refusals.inc({ reason });
        pending.reject(this.createRefusal(reason));
        return;
      }
      this.logRoute(pending.request, work, decision.instance, reason);
      pending.resolve(decision.instance);
    });
  }

  /** One error per reason: at the crest, creating stack traces would cost more than the work. */
  private createRefusal(reason: string): Error {
    const known = this.refusals.get(reason);
    if (known) return known;
    const error = new RefusedError(reason);
    this.refusals.set(reason, error);
    return error;
  }

  private logRoute(request: WorkRequest, work: Work, instance: string, reason: string): void {
    const { log, metrics, group } = this.parts;
    const { contract, caller } = request;
    const target = reason.startsWith('replica') ? 'replica' : 'primary';
    metrics.statements.inc({ group: group.name, target });
    const decided = { group: group.name, caller, contract: contract.name, length: work.length };
    log.info('route', { ...decided, instance, reason });
  }
}
