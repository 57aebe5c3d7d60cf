import type { Millis } from './clock.js';
import { FairQueue, type Work } from './fairqueue.js';
import type { Route } from './router.js';

/** Heads of a lane that are tried in one dispatch before the lane counts as blocked. */
const MAX_MISSES = 8;
/** Part of the queue that long work may fill. */
const LONG_QUEUE_SHARE = 0.25;
/** Work is refused early only when the estimate passes its deadline by this factor. */
const REFUSE_MARGIN = 1.5;

/** How much of an instance this proxy may use now. */
export interface Capacity {
  /** Works that hold a connection at the same time. */
  readonly connections: number;
  /** Short statements at the same time. */
  readonly concurrency: number;
  /** Long statements at the same time. */
  readonly longPermits: number;
}

export type AdmissionDecision =
  | {
      readonly kind: 'start';
      readonly work: Work;
      readonly instance: string;
      readonly reason: string;
    }
  | { readonly kind: 'refuse'; readonly work: Work; readonly reason: string };

/** Running statements by length, and connections held, idle transactions included. */
interface Load {
  short: number;
  long: number;
  connections: number;
}

export interface AdmissionOptions {
  /** Work beyond this is refused at once. */
  readonly maxQueued: number;
  /** Asked again on each dispatch, since replicas and the primary change while work waits. */
  readonly findRoute: (work: Work, now: Millis) => Route;
}

const NO_CAPACITY: Capacity = { connections: 0, concurrency: 0, longPermits: 0 };

/** The bounded queue before the instances of one group, fair between callers. */
export class AdmissionQueue {
  private readonly lanes = new Map<string, FairQueue>();

  private readonly capacities = new Map<string, Capacity>();

  private readonly loads = new Map<string, Load>();

  /** Virtual time up to which each caller has had its turns. */
  private readonly turns = new Map<string, number>();

  private readonly waiting = new Map<string, number>();

  private turn = 0;

  private queued = 0;

  private longQueued = 0;

  constructor(private readonly options: AdmissionOptions) {}

  /** Number of works that wait. */
  countQueued(length?: Work['length']): number {
    if (length === undefined) return this.queued;
    return length === 'long' ? this.longQueued : this.queued - this.longQueued;
  }

  /** Number of statements that run on the instance. */
  countRunning(instance: string, length?: Work['length']): number {
    const load = this.loads.get(instance);
    if (!load) return 0;
    return length ? load[length] : load.short + load.long;
  }

  /** Number of connections that work holds on the instance. */
  countConnections(instance: string): number {
    return this.loads.get(instance)?.connections ?? 0;
  }

  /** True when short work could start on the instance now. */
  hasShortSlot(instance: string): boolean {
    return this.hasRoom(instance, 'short');
  }

  updateCapacity(instance: string, capacity: Capacity, now: Millis): readonly AdmissionDecision[] {
    const before = this.capacities.get(instance);
    this.capacities.set(instance, capacity);
    const isSame =
      before?.connections === capacity.connections &&
      before.concurrency === capacity.concurrency &&
      before.longPermits === capacity.longPermits;
    return isSame ? [] : this.dispatch(now);
  }

  add(work: Work, now: Millis): readonly AdmissionDecision[] {
    const lane = this.findLane(work);
    const refusal = this.findRefusal(work, lane, now);
    if (refusal) return [{ kind: 'refuse', work, reason: refusal }];
    const evicted = this.queued >= this.options.maxQueued ? lane.findEvictable() : undefined;
    if (evicted) this.remove(evicted);
    this.turns.set(work.caller, Math.max(this.turn, this.turns.get(work.caller) ?? 0));
    lane.add(work);
    this.count(work, 1);
    const reason = 'the queue is full and the caller has most in it';
    const refused = evicted ? [{ kind: 'refuse' as const, work: evicted, reason }] : [];
    return [...refused, ...this.dispatch(now)];
  }

  /** Withdraws work that still waits; true when it had not started. */
  remove(work: Work): boolean {
    const isRemoved = this.findLane(work).remove(work);
    if (isRemoved) this.count(work, -1);
    return isRemoved;
  }

  /** The work gives up its connection. `isIdle` tells that its statement had ended before. */
  handleDone(
    instance: string,
    work: Work,
    now: Millis,
    isIdle = false,
  ): readonly AdmissionDecision[] {
    const load = this.loads.get(instance);
    if (load) {
      load.connections -= 1;
      if (!isIdle) load[work.length] -= 1;
    }
    return this.dispatch(now);
  }

  /** A transaction keeps its connection and leaves its slot between statements. */
  handleIdle(instance: string, work: Work, now: Millis): readonly AdmissionDecision[] {
    const load = this.loads.get(instance);
    if (load) load[work.length] -= 1;
    return this.dispatch(now);
  }

  /** The next statement of a transaction runs at once, since others may wait for its locks. */
  handleBusy(instance: string, work: Work): void {
    const load = this.loads.get(instance);
    if (load) load[work.length] += 1;
  }

  /** Short work that turns out long while it runs no longer counts against short work. */
  updateLength(instance: string, work: Work): Work {
    const load = this.loads.get(instance);
    if (load && work.length === 'short') {
      load.short -= 1;
      load.long += 1;
    }
    return { ...work, length: 'long' };
  }

  handleTick(now: Millis): readonly AdmissionDecision[] {
    const expired = [...this.lanes.values()].flatMap((lane) => lane.listExpired(now));
    expired.forEach((work) => this.remove(work));
    this.lanes.forEach((lane, key) => {
      // Lanes carry contract names, which change over the life of a daemon.
      if (lane.countQueued() === 0) this.lanes.delete(key);
    });
    this.turns.forEach((turn, caller) => {
      if (turn <= this.turn && !this.waiting.has(caller)) this.turns.delete(caller);
    });
    const reason = 'the deadline passed in the queue';
    return [
      ...expired.map((work) => ({ kind: 'refuse' as const, work, reason })),
      ...this.dispatch(now),
    ];
  }

  private findLane(work: Work): FairQueue {
    const key = `${work.length}|${work.routeKey ?? ''}`;
    const known = this.lanes.get(key);
    if (known) return known;
    const lane = new FairQueue(work.length);
    this.lanes.set(key, lane);
    return lane;
  }

  private count(work: Work, change: number): void {
    this.queued += change;
    if (work.length === 'long') this.longQueued += change;
    const waiting = (this.waiting.get(work.caller) ?? 0) + change;
    if (waiting > 0) this.waiting.set(work.caller, waiting);
    else this.waiting.delete(work.caller);
  }

  private findRefusal(work: Work, lane: FairQueue, now: Millis): string | undefined {
    const { maxQueued } = this.options;
    if (work.length === 'long' && this.longQueued >= maxQueued * LONG_QUEUE_SHARE) {
      return 'the queue is full of long work';
    }
    if (this.queued >= maxQueued) {
      const fair = maxQueued / Math.max(1, this.waiting.size);
      const isSurplus = (this.waiting.get(work.caller) ?? 0) >= fair;
      if (isSurplus || lane.countQueued() === 0) return 'the queue is full';
    }
    const wait = lane.findExpectedWait(work.caller, now);
    const isLate = wait !== undefined && wait > REFUSE_MARGIN * (work.deadline - now);
    return isLate ? 'the expected wait passes the deadline' : undefined;
  }

  private dispatch(now: Millis): readonly AdmissionDecision[] {
    const started: AdmissionDecision[] = [];
    const missed = new Map<FairQueue, Set<Work>>();
    this.lanes.forEach((lane) => {
      if (lane.countQueued() > 0) missed.set(lane, new Set());
    });
    while (missed.size > 0) {
      missed.forEach((_, lane) => {
        // At the crest most events find every instance taken.
        if (!this.hasRoomAnywhere(lane.length)) missed.delete(lane);
      });
      const next = this.chooseNext(missed);
      if (!next) break;
      const { lane, work } = next;
      const decision = this.startNext(lane, work, now);
      if (decision) started.push(decision);
      else {
        // The lane goes on with the next caller at the next dispatch, so that none is passed over.
        lane.moveToBack(work.caller);
        missed.get(lane)?.add(work);
      }
      const misses = missed.get(lane)?.size ?? 0;
      if (misses >= Math.min(MAX_MISSES, lane.countCallers())) missed.delete(lane);
    }
    return started;
  }

  /** By priority, then the caller that has had the fewest turns, among the first of each lane. */
  private chooseNext(
    lanes: ReadonlyMap<FairQueue, ReadonlySet<Work>>,
  ): { readonly lane: FairQueue; readonly work: Work } | undefined {
    const heads = [...lanes].flatMap(([lane, missed]) =>
      lane
        .listHeads(MAX_MISSES)
        .filter((work) => !missed.has(work))
        .map((work) => ({ lane, work, turn: this.turns.get(work.caller) ?? 0 })),
    );
    const [first, ...rest] = heads;
    const isBefore = (a: (typeof heads)[number], b: (typeof heads)[number]): boolean =>
      ((a.work.priority ?? 0) - (b.work.priority ?? 0) || a.turn - b.turn) < 0;
    return first && rest.reduce((best, next) => (isBefore(next, best) ? next : best), first);
  }

  private startNext(lane: FairQueue, work: Work, now: Millis): AdmissionDecision | undefined {
    const route = this.options.findRoute(work, now);
    if (route.kind === 'wait') return undefined;
    const instance = route.instances.find((id) => this.hasRoom(id, work.length));
    if (instance === undefined) return undefined;
    return this.startWork(lane, work, instance, route.reason, now);
  }

  private startWork(
    lane: FairQueue,
    work: Work,
    instance: string,
    reason: string,
    now: Millis,
  ): AdmissionDecision {
    lane.handleStart(now);
    const turn = this.turns.get(work.caller) ?? this.turn;
    this.turn = Math.max(this.turn, turn);
    this.turns.set(work.caller, turn + 1);
    lane.remove(work);
    lane.moveToBack(work.caller);
    this.count(work, -1);
    const load = this.loads.get(instance) ?? { short: 0, long: 0, connections: 0 };
    load[work.length] += 1;
    load.connections += 1;
    this.loads.set(instance, load);
    return { kind: 'start', work, instance, reason };
  }

  private hasRoomAnywhere(length: Work['length']): boolean {
    return [...this.capacities.keys()].some((instance) => this.hasRoom(instance, length));
  }

  private hasRoom(instance: string, length: Work['length']): boolean {
    const capacity = this.capacities.get(instance) ?? NO_CAPACITY;
    const load = this.loads.get(instance) ?? { short: 0, long: 0, connections: 0 };
    if (length === 'short') {
      return load.connections < capacity.connections && load.short < capacity.concurrency;
    }
    // Long work leaves one connection to short work, unless there is only one.
    const connections = Math.max(1, capacity.connections - 1);
    const hasConnection = capacity.connections > 0 && load.connections < connections;
    return hasConnection && load.long < capacity.longPermits;
  }
}
