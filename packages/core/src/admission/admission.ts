import type { Millis } from '../clock.js';
import { FairQueue, type Work } from './fairqueue.js';
import type { Route } from '../routing/router.js';
import { type QueueDecision, type RefusalCause, SlotQueue } from './slotqueue.js';
import type { SlotTable, WorkLength } from './slottable.js';

/** Callers' first items that one dispatch tries before it considers a queue blocked. */
const MAX_MISSES = 8;
/** Share of the queue's capacity that long work may fill. */
const LONG_QUEUE_SHARE = 0.25;
/** Work is refused early only when the estimate passes its deadline by this factor. */
const EARLY_REFUSAL_FACTOR = 1.5;

/** A decision on queued work: start it on an instance, or refuse it. */
export type AdmissionDecision = QueueDecision;

/** Options of an `AdmissionQueue`. */
export interface AdmissionOptions {
  /** Largest number of queued items of work. */
  readonly maxQueued: number;
  /** Called on each dispatch, since replicas and the primary can change while work waits. */
  readonly findRoute: (work: Work, now: Millis) => Route;
}

/** Why work is refused, and the text for its caller. */
interface Refusal {
  readonly cause: RefusalCause;
  readonly reason: string;
}

const EVICTED: Refusal = {
  cause: 'queueFull',
  reason: 'the queue is full and the caller has most in it',
};
const EXPIRED: Refusal = {
  cause: 'deadlinePassed',
  reason: 'the deadline passed in the queue',
};

/** Bounded admission queue of one group's instances, fair between callers. */
export class AdmissionQueue extends SlotQueue<Work> {
  private readonly queues = new Map<string, FairQueue>();

  /** Virtual time of each caller, which advances by one with each item that starts. */
  private readonly callerTimes = new Map<string, number>();

  private readonly waiting = new Map<string, number>();

  private virtualTime = 0;

  private queued = 0;

  private longQueued = 0;

  constructor(
    private readonly options: AdmissionOptions,
    slots?: SlotTable,
  ) {
    super(slots);
  }

  /** Returns the number of queued items, of one length if given. */
  override countQueued(length?: WorkLength): number {
    if (length === undefined) return this.queued;
    return length === 'long' ? this.longQueued : this.queued - this.longQueued;
  }

  /** Returns the number of statements running on the instance, of one length if given. */
  countRunning(instance: string, length?: WorkLength): number {
    return this.slots.countRunning(instance, length);
  }

  /** Returns the number of connections to the instance that are in use. */
  countConnections(instance: string): number {
    return this.slots.countConnections(instance);
  }

  /** True when the instance has capacity for another short statement. */
  hasShortSlot(instance: string): boolean {
    return this.hasRoom(instance, 'short');
  }

  override add(work: Work, now: Millis): readonly AdmissionDecision[] {
    const queue = this.findQueue(work);
    const refusal = this.findRefusal(work, queue, now);
    if (refusal) return [{ kind: 'refuse', work, ...refusal }];
    const evicted = this.queued >= this.options.maxQueued ? queue.findEvictable() : undefined;
    if (evicted) this.remove(evicted);
    this.callerTimes.set(
      work.caller,
      Math.max(this.virtualTime, this.callerTimes.get(work.caller) ?? 0),
    );
    queue.add(work);
    this.count(work, 1);
    const refused = evicted ? [{ kind: 'refuse' as const, work: evicted, ...EVICTED }] : [];
    return [...refused, ...this.dispatch(now)];
  }

  override remove(work: Work): boolean {
    const isRemoved = this.findQueue(work).remove(work);
    if (isRemoved) this.count(work, -1);
    return isRemoved;
  }

  /** Reclassifies running work that turns out to be long; returns the work with its new length. */
  updateLength(instance: string, work: Work): Work {
    if (work.length === 'short') {
      this.slots.updateRunning(instance, 'short', -1);
      this.slots.updateRunning(instance, 'long', 1);
    }
    return { ...work, length: 'long' };
  }

  override handleTick(now: Millis): readonly AdmissionDecision[] {
    const expired = [...this.queues.values()].flatMap((queue) => queue.listExpired(now));
    expired.forEach((work) => this.remove(work));
    this.queues.forEach((queue, key) => {
      // Keys contain contract names, which change while a daemon runs.
      if (queue.countQueued() === 0) this.queues.delete(key);
    });
    this.callerTimes.forEach((turn, caller) => {
      if (turn <= this.virtualTime && !this.waiting.has(caller)) this.callerTimes.delete(caller);
    });
    return [
      ...expired.map((work) => ({ kind: 'refuse' as const, work, ...EXPIRED })),
      ...this.dispatch(now),
    ];
  }

  private findQueue(work: Work): FairQueue {
    const key = `${work.length}|${work.routeKey ?? ''}`;
    const known = this.queues.get(key);
    if (known) return known;
    const queue = new FairQueue(work.length);
    this.queues.set(key, queue);
    return queue;
  }

  private count(work: Work, change: number): void {
    this.queued += change;
    if (work.length === 'long') this.longQueued += change;
    const waiting = (this.waiting.get(work.caller) ?? 0) + change;
    if (waiting > 0) this.waiting.set(work.caller, waiting);
    else this.waiting.delete(work.caller);
  }

  private findRefusal(work: Work, queue: FairQueue, now: Millis): Refusal | undefined {
    const { maxQueued } = this.options;
    if (work.length === 'long' && this.longQueued >= maxQueued * LONG_QUEUE_SHARE) {
      return { cause: 'queueFull', reason: 'the queue is full of long work' };
    }
    if (this.queued >= maxQueued) {
      const fair = maxQueued / Math.max(1, this.waiting.size);
      const isSurplus = (this.waiting.get(work.caller) ?? 0) >= fair;
      if (isSurplus || queue.countQueued() === 0) {
        return { cause: 'queueFull', reason: 'the queue is full' };
      }
    }
    const wait = queue.findExpectedWait(work.caller, now);
    const isLate = wait !== undefined && wait > EARLY_REFUSAL_FACTOR * (work.deadline - now);
    const reason = 'the expected wait passes the deadline';
    return isLate ? { cause: 'expectedWait', reason } : undefined;
  }

  protected override dispatch(now: Millis): readonly AdmissionDecision[] {
    const started: AdmissionDecision[] = [];
    const missed = new Map<FairQueue, Set<Work>>();
    this.queues.forEach((queue) => {
      if (queue.countQueued() > 0) missed.set(queue, new Set());
    });
    while (missed.size > 0) {
      missed.forEach((_, queue) => {
        // Under peak load most dispatches find all instances at capacity.
        if (!this.hasRoomAnywhere(queue.length)) missed.delete(queue);
      });
      const next = this.chooseNext(missed);
      if (!next) break;
      const { queue, work } = next;
      const decision = this.startNext(queue, work, now);
      if (decision) started.push(decision);
      else {
        // The next dispatch continues with the next caller, so that no caller is starved.
        queue.moveToBack(work.caller);
        missed.get(queue)?.add(work);
      }
      const misses = missed.get(queue)?.size ?? 0;
      if (misses >= Math.min(MAX_MISSES, queue.countCallers())) missed.delete(queue);
    }
    return started;
  }

  /** Chooses among the heads of the queues by priority, then by the caller's virtual time. */
  private chooseNext(
    queues: ReadonlyMap<FairQueue, ReadonlySet<Work>>,
  ): { readonly queue: FairQueue; readonly work: Work } | undefined {
    const heads = [...queues].flatMap(([queue, missed]) =>
      queue
        .listHeads(MAX_MISSES)
        .filter((work) => !missed.has(work))
        .map((work) => ({ queue, work, turn: this.callerTimes.get(work.caller) ?? 0 })),
    );
    const [first, ...rest] = heads;
    const isBefore = (a: (typeof heads)[number], b: (typeof heads)[number]): boolean =>
      ((a.work.priority ?? 0) - (b.work.priority ?? 0) || a.turn - b.turn) < 0;
    return first && rest.reduce((best, next) => (isBefore(next, best) ? next : best), first);
  }

  private startNext(queue: FairQueue, work: Work, now: Millis): AdmissionDecision | undefined {
    const route = this.options.findRoute(work, now);
    if (route.kind === 'wait') return undefined;
    const instance = route.instances.find((id) => this.hasRoom(id, work.length));
    if (instance === undefined) return undefined;
    return this.startWork(queue, work, instance, route.reason, now);
  }

  private startWork(
    queue: FairQueue,
    work: Work,
    instance: string,
    reason: string,
    now: Millis,
  ): AdmissionDecision {
    queue.handleStart(now);
    const turn = this.callerTimes.get(work.caller) ?? this.virtualTime;
    this.virtualTime = Math.max(this.virtualTime, turn);
    this.callerTimes.set(work.caller, turn + 1);
    queue.remove(work);
    queue.moveToBack(work.caller);
    this.count(work, -1);
    this.slots.occupy(instance, work.length);
    return { kind: 'start', work, instance, reason };
  }

  private hasRoomAnywhere(length: WorkLength): boolean {
    return this.slots.listInstances().some((instance) => this.hasRoom(instance, length));
  }

  private hasRoom(instance: string, length: WorkLength): boolean {
    const { slots } = this;
    const capacity = slots.readCapacity(instance);
    const inUse = slots.countConnections(instance);
    if (length === 'short') {
      const isSlotFree = slots.countRunning(instance, 'short') < capacity.concurrency;
      return inUse < capacity.connections && isSlotFree;
    }
    // One connection is reserved for short work, unless there is only one.
    const connections = Math.max(1, capacity.connections - 1);
    const hasConnection = capacity.connections > 0 && inUse < connections;
    return hasConnection && slots.countRunning(instance, 'long') < capacity.longPermits;
  }
}
