import {
  AdmissionQueue,
  type Capacity,
  type Clock,
  type ExpectedWait,
  type LimitRange,
  type Millis,
  type QueueDecision,
  type RankedWork,
  type RefusalCause,
  type Route,
  type RouteRequest,
  type SessionCommit,
  type SlotQueue,
  SlotTable,
  type Work,
  WorkQueue,
} from '@shallotpick/core';
import { createStoppedError, NotRunError } from './errors.js';
import { WorkMeter } from './workmeter.js';

/** Bounds the queue of a group whose routes have one rank. */
const MAX_QUEUED = 2_000;
const LEADER_KEY = 'leader';
const ANY_KEY = 'any';
/** Callers that are refused are told to come back within this time after room is expected. */
const RETURN_SPREAD_MS: Millis = 1_000;

/** Admission request for one statement or transaction. */
export interface WorkRequest extends Omit<RouteRequest, 'minPosition'> {
  readonly requestId: string;
  readonly caller: string;
  /** True for a transaction, which occupies a slot for each of its statements. */
  readonly isTransaction?: boolean | undefined;
  /** Organisation in whose name the work runs; undefined for callers without a key. */
  readonly organisation: string | undefined;
  /** Version of the configuration by which it was accepted; an older build of a VM tells none. */
  readonly version?: number | undefined;
  /** Database that the caller named; work on one database has similar cost. */
  readonly database: string;
  /** Time by which the caller hopes for the answer to its whole operation. */
  readonly objective: Millis;
  readonly deadline: Millis;
  readonly priority: number;
  /** The session's last commit in the group, when the work must include it. */
  readonly lastCommit: SessionCommit | undefined;
  /** Instances that have refused this work. */
  readonly excluded: ReadonlySet<string>;
}

/** Admitted work and the instance that it was assigned to. */
export interface AdmittedWork {
  readonly work: Work;
  readonly instance: string;
}

/** Queued work and the promise that its caller waits for. */
interface Pending {
  readonly request: WorkRequest;
  readonly work: RankedWork;
  readonly addedAt: Millis;
  readonly resolve: (admitted: AdmittedWork) => void;
  readonly reject: (error: Error) => void;
}

/** Work that was refused, and why. */
export interface Refusal {
  readonly request: WorkRequest;
  readonly cause: RefusalCause;
  readonly reason: string;
  readonly waitedMs: Millis;
  /** The expectation for which it was refused. */
  readonly expectedWaitMs: Millis | undefined;
  readonly limitMs: Millis | undefined;
}

/** Callbacks and clock of a dispatcher. */
export interface DispatcherOptions {
  readonly clock: Clock;
  /** Returns a number from 0 up to 1; refused callers come back spread by it. */
  readonly random?: () => number;
  /** Called on each dispatch, since replicas and the leader may change while work is queued. */
  readonly findRoute: (request: WorkRequest, now: Millis) => Route;
  readonly onStart: (
    request: WorkRequest,
    instance: string,
    reason: string,
    waitedMs: Millis,
  ) => void;
  readonly onRefuse?: (refusal: Refusal) => void;
}

/** Promise-based front of a group's queue. */
export class Dispatcher {
  private readonly slots = new SlotTable();

  private readonly meter = new WorkMeter();

  private readonly pending = new Map<number, Pending>();

  private queue: SlotQueue<RankedWork>;

  /** The queue by rank while it is in use. */
  private ranked: WorkQueue | undefined;

  private urgentPriority: number | undefined;

  private nextWorkId = 1;

  private isStopped = false;

  constructor(private readonly options: DispatcherOptions) {
    this.queue = this.createPlainQueue();
  }

  /**
   * Starts the ordering by rank with the priority that goes before others, or stops it if there is
   * none; queued work moves to the new queue.
   */
  updateRanking(urgentPriority: number | undefined): void {
    if (urgentPriority === this.urgentPriority) return;
    this.urgentPriority = urgentPriority;
    this.ranked = urgentPriority === undefined ? undefined : this.createRankedQueue(urgentPriority);
    this.queue = this.ranked ?? this.createPlainQueue();
    const now = this.options.clock.readNow();
    const waiting = [...this.pending.values()];
    waiting.forEach(({ work }) => this.handleDecisions(this.queue.add(work, now)));
  }

  /**
   * Queues work and waits until an instance has a free slot for it.
   *
   * @throws NotRunError when the queue refuses the work or it isn't admitted in time.
   */
  async add(request: WorkRequest): Promise<AdmittedWork> {
    if (this.isStopped) throw createStoppedError();
    const now = this.options.clock.readNow();
    const work = this.createWork(request, now);
    return new Promise<AdmittedWork>((resolve, reject) => {
      this.pending.set(work.id, { request, work, addedAt: now, resolve, reject });
      this.handleDecisions(this.queue.add(work, now));
    });
  }

  updateCapacity(instance: string, capacity: Capacity): void {
    this.handleDecisions(
      this.queue.updateCapacity(instance, capacity, this.options.clock.readNow()),
    );
  }

  /** Chooses the concurrency of an instance; that of a slow or crowded one is lower. */
  chooseConcurrency(instance: string, range: LimitRange): number {
    if (!this.ranked) return range.most;
    return this.meter.updateLimit(instance, range, this.options.clock.readNow());
  }

  /** Records the latency of a statement of admitted work. */
  recordLatency(admitted: AdmittedWork, request: WorkRequest, tookMs: Millis): void {
    this.meter.recordLatency(admitted, request, tookMs, this.options.clock.readNow());
  }

  /** True while work by rank waits for the leader, so that reads leave it to that work. */
  isLeaderNeeded(): boolean {
    return (this.ranked?.countQueued(LEADER_KEY) ?? 0) > 0;
  }

  /** Removes an instance; its work may go on, but no longer counts, even if its id is added again. */
  removeInstance(instance: string): void {
    this.queue.removeInstance(instance);
    this.meter.removeInstance(instance);
    this.meter.list().forEach((admitted) => {
      if (admitted.instance === instance) this.meter.withdraw(admitted);
    });
  }

  /** Retries the queued work, for example after an instance has caught up. */
  handleTick(): void {
    this.handleDecisions(this.queue.handleTick(this.options.clock.readNow()));
  }

  /** Records that a statement starts or has ended while the work keeps its connection. */
  updateBusy(admitted: AdmittedWork, isBusy: boolean): void {
    if (!this.meter.has(admitted)) return;
    const { work, instance } = admitted;
    const now = this.options.clock.readNow();
    this.meter.updateBusy(admitted, isBusy, now);
    if (isBusy) this.queue.handleBusy(instance, work);
    else this.handleDecisions(this.queue.handleIdle(instance, work, now));
  }

  /** Ends the work and frees its slot; `isIdle` when its last statement had already ended. */
  remove(admitted: AdmittedWork, isIdle = false): void {
    const now = this.options.clock.readNow();
    if (this.meter.end(admitted, now)) this.release(admitted, isIdle, now);
  }

  /** Frees the slot of work that has not run. */
  withdraw(admitted: AdmittedWork): void {
    const now = this.options.clock.readNow();
    if (this.meter.withdraw(admitted)) this.release(admitted, false, now);
  }

  /** Rejects all queued work, and what is added from now on. */
  stop(): void {
    this.isStopped = true;
    this.pending.forEach(({ reject }) => reject(createStoppedError()));
    this.pending.clear();
  }

  private createPlainQueue(): SlotQueue<RankedWork> {
    const findRoute = (work: Work, now: Millis): Route => this.findRoute(work, now);
    return new AdmissionQueue({ maxQueued: MAX_QUEUED, findRoute }, this.slots);
  }

  private createRankedQueue(urgentPriority: number): WorkQueue {
    const findRoute = (work: Work, now: Millis): Route => this.findRoute(work, now);
    return new WorkQueue({ findRoute, urgentPriority }, this.slots);
  }

  private release({ work, instance }: AdmittedWork, isIdle: boolean, now: Millis): void {
    this.handleDecisions(this.queue.handleDone(instance, work, now, isIdle));
  }

  private createWork(request: WorkRequest, now: Millis): RankedWork {
    const { kind, contract, caller, deadline, objective, priority } = request;
    const routeKey = kind === 'write' || contract.maxAgeMs <= 0 ? LEADER_KEY : ANY_KEY;
    const id = this.nextWorkId;
    this.nextWorkId += 1;
    const length = this.ranked ? this.meter.classify(request, now) : 'short';
    const costMs = this.meter.findCost(request, now)?.medianMs;
    return { id, caller, length, deadline, objective, routeKey, priority, costMs };
  }

  private findRoute({ id }: Work, now: Millis): Route {
    const request = this.pending.get(id)?.request;
    if (!request) return { kind: 'wait', reason: 'withdrawn' };
    return this.options.findRoute(request, now);
  }

  private handleDecisions(decisions: readonly QueueDecision[]): void {
    decisions.forEach((decision) => this.handleDecision(decision));
  }

  private handleDecision(decision: QueueDecision): void {
    const { work, reason } = decision;
    const now = this.options.clock.readNow();
    const pending = this.pending.get(work.id);
    this.pending.delete(work.id);
    if (decision.kind === 'refuse') {
      if (pending) this.refuse(pending, decision, now);
      return;
    }
    const { instance } = decision;
    if (!pending) {
      this.handleDecisions(this.queue.handleDone(instance, work, now));
      return;
    }
    const admitted = { work, instance };
    this.meter.start(admitted, pending.request, now);
    this.options.onStart(pending.request, instance, reason, now - pending.addedAt);
    pending.resolve(admitted);
  }

  private refuse(
    { request, addedAt, reject }: Pending,
    { cause, reason, expected }: QueueDecision & { readonly kind: 'refuse' },
    now: Millis,
  ): void {
    const { waitMs: expectedWaitMs, limitMs } = expected ?? {};
    const waitedMs = now - addedAt;
    this.options.onRefuse?.({ request, cause, reason, waitedMs, expectedWaitMs, limitMs });
    reject(new NotRunError(expected ? `${reason}; ${this.describeReturn(expected)}` : reason));
  }

  /** Tells when room is expected, spread so that refused callers don't come back together. */
  private describeReturn({ waitMs, limitMs }: ExpectedWait): string {
    const { random = Math.random } = this.options;
    const roomMs = Math.max(0, waitMs - limitMs) + random() * RETURN_SPREAD_MS;
    return `room expected in ${Math.round(roomMs)} ms`;
  }
}
