import type { Millis } from '../clock.js';
import { ExpiryBuckets } from './expirybuckets.js';
import type { Route } from '../routing/router.js';
import { type ExpectedWait, type QueueDecision, SlotQueue } from './slotqueue.js';
import type { SlotTable } from './slottable.js';
import { findLatestStart, type RankedWork, WorkLane } from './worklane.js';

export type { RankedWork } from './worklane.js';

/** Items of one lane that a dispatch tries before it considers the lane blocked. */
const MAX_MISSES = 3;
/**
 * Work is refused for the rate at which its lane was served only when it would miss its deadline by
 * this factor, so that the queue doesn't run empty when the load falls.
 */
const RATE_MARGIN = 1.5;
/** A lane is served after this many starts of a higher rank, so that none starves. */
const MAX_PASSED_OVER = 32;
/** Urgent work, and a lane that is owed a turn, may exceed the concurrency of an instance by this. */
const EXTRA_CONCURRENCY = 1;
/** Bounds the memory while costs are unknown; with known costs the deadlines bound the queue. */
const MAX_QUEUED = 10_000;

/** Options of a `WorkQueue`. */
export interface WorkQueueOptions {
  /** Called on each dispatch, since replicas and the primary can change while work waits. */
  readonly findRoute: (work: RankedWork, now: Millis) => Route;
  /** Priority of the work that may exceed the concurrency, so as not to wait for other work. */
  readonly urgentPriority?: number;
}

/** True when `lane` goes before `other`. */
function isBefore(lane: WorkLane, other: WorkLane): boolean {
  if (lane.isLate !== other.isLate) return other.isLate;
  if (lane.priority !== other.priority) return lane.priority < other.priority;
  return lane.length === 'short' && other.length === 'long';
}

/** True when the lane has been passed over so often that it is served next. */
function isOwed(lane: WorkLane): boolean {
  return lane.countPassedOver() >= MAX_PASSED_OVER;
}

/**
 * Queue by rank: work that can still make its objective goes before work that can't, and within
 * both a lower priority number goes first, then the shorter kind of work. Callers of one rank are
 * served in turn, and a caller's work in the order of its latest start. Work that isn't expected to
 * make its deadline is refused.
 */
export class WorkQueue extends SlotQueue<RankedWork> {
  /** Highest rank first. */
  private readonly lanes: WorkLane[] = [];

  private readonly laneOf = new Map<RankedWork, WorkLane>();

  private readonly expiry = new ExpiryBuckets<RankedWork>();

  constructor(
    private readonly options: WorkQueueOptions,
    slots?: SlotTable,
  ) {
    super(slots);
  }

  /** Returns the number of queued items, of one route key if given. */
  override countQueued(routeKey?: string): number {
    if (routeKey === undefined) return this.laneOf.size;
    const lanes = this.lanes.filter((lane) => lane.routeKey === routeKey);
    return lanes.reduce((sum, lane) => sum + lane.countQueued(), 0);
  }

  override add(work: RankedWork, now: Millis): readonly QueueDecision[] {
    const lane = this.findLane(work, findLatestStart(work) < now);
    const refusal = this.findRefusal(work, lane, now);
    if (refusal) return [refusal];
    this.insert(work, lane, now);
    this.expiry.add(work);
    return this.dispatch(now);
  }

  override remove(work: RankedWork): boolean {
    const isRemoved = this.laneOf.get(work)?.remove(work) ?? false;
    this.forget(work);
    return isRemoved;
  }

  override handleTick(now: Millis): readonly QueueDecision[] {
    const expired = this.expiry.takeExpired(now).map((work): QueueDecision => {
      this.remove(work);
      const reason = `the deadline passed in the queue with priority ${work.priority}`;
      return { kind: 'refuse', work, reason, cause: 'deadlinePassed' };
    });
    return [...expired, ...this.dispatch(now)];
  }

  protected override dispatch(now: Millis): readonly QueueDecision[] {
    const decisions: QueueDecision[] = [];
    const blocked = new Set<WorkLane>();
    while (this.laneOf.size > 0 && this.hasFreeSlot()) {
      const lane = this.chooseLane(blocked);
      if (!lane) break;
      const isStarted = this.startNext(lane, now, decisions);
      if (!isStarted) blocked.add(lane);
    }
    return decisions;
  }

  private insert(work: RankedWork, lane: WorkLane, now: Millis): void {
    lane.add(work, now);
    this.laneOf.set(work, lane);
  }

  private forget(work: RankedWork): void {
    this.laneOf.delete(work);
    this.expiry.remove(work);
  }

  private findLane({ routeKey, length, priority }: RankedWork, isLate: boolean): WorkLane {
    const known = this.lanes.find(
      (lane) =>
        lane.routeKey === routeKey &&
        lane.length === length &&
        lane.priority === priority &&
        lane.isLate === isLate,
    );
    if (known) return known;
    const created = new WorkLane(routeKey, length, priority, isLate);
    const index = this.lanes.findIndex((lane) => isBefore(created, lane));
    this.lanes.splice(index < 0 ? this.lanes.length : index, 0, created);
    return created;
  }

  /**
   * Chooses the lane of the highest rank, or one that has been passed over too often. Of two lanes of
   * one rank, which run on different instances, that goes first whose next work has less time left.
   */
  private chooseLane(blocked: ReadonlySet<WorkLane>): WorkLane | undefined {
    const ready = this.lanes.filter((lane) => lane.countQueued() > 0 && !blocked.has(lane));
    const owed = ready.find(isOwed);
    const [first, ...rest] = ready;
    if (owed || !first) return owed;
    return rest
      .filter((lane) => !isBefore(first, lane))
      .reduce((best, lane) => (lane.findNextStart() < best.findNextStart() ? lane : best), first);
  }

  /** Starts the next work of the lane that can start; false when none can. */
  private startNext(lane: WorkLane, now: Millis, decisions: QueueDecision[]): boolean {
    const tried = new Set<RankedWork>();
    while (tried.size < MAX_MISSES) {
      const work = lane.findNext(tried);
      if (!work) return false;
      if (!lane.isLate && findLatestStart(work) < now) {
        const refusal = this.handleLate(work, lane, now);
        if (refusal) decisions.push(refusal);
      } else {
        const started = this.start(work, lane, now);
        if (started) {
          decisions.push(started);
          return true;
        }
        tried.add(work);
        // The next dispatch continues with the next caller, so that no caller is starved.
        lane.moveToBack(work.caller);
      }
    }
    return false;
  }

  /** Moves work behind that which can make its objective, unless it can't make its deadline. */
  private handleLate(work: RankedWork, lane: WorkLane, now: Millis): QueueDecision | undefined {
    lane.remove(work);
    // It doesn't count against itself when the queue is full.
    this.laneOf.delete(work);
    const late = this.findLane(work, true);
    const refusal = this.findRefusal(work, late, now);
    if (refusal) this.expiry.remove(work);
    else this.insert(work, late, now);
    return refusal;
  }

  private start(work: RankedWork, lane: WorkLane, now: Millis): QueueDecision | undefined {
    const route = this.findRoute(work, lane, now);
    if (route.kind === 'wait') return undefined;
    const instance = route.instances.find((id) => this.hasSlot(id, work, this.mayExceed(lane)));
    if (instance === undefined) return undefined;
    lane.take(work, now);
    this.forget(work);
    this.countPassedOver(lane);
    this.slots.occupy(instance, work.length);
    return { kind: 'start', work, instance, reason: route.reason };
  }

  /** Time in which no instance may serve a lane, as in a failover, doesn't count in its rate. */
  private findRoute(work: RankedWork, lane: WorkLane, now: Millis): Route {
    const route = this.options.findRoute(work, now);
    if (route.kind === 'wait') lane.restartRate(now);
    return route;
  }

  private countPassedOver(started: WorkLane): void {
    this.lanes.forEach((lane) => {
      const isSame = lane.routeKey === started.routeKey;
      if (isSame && lane.countQueued() > 0 && isBefore(started, lane)) lane.handlePassedOver();
    });
  }

  /** Urgent work may keep an instance above its limit, so a lane that is owed a turn may join it. */
  private mayExceed(lane: WorkLane): boolean {
    const { urgentPriority } = this.options;
    if (urgentPriority === undefined) return false;
    return isOwed(lane) || (!lane.isLate && lane.priority === urgentPriority);
  }

  private hasFreeSlot(): boolean {
    const mayExceed = this.lanes.some((lane) => lane.countQueued() > 0 && this.mayExceed(lane));
    return this.slots.listInstances().some((id) => this.isBelowLimit(id, mayExceed));
  }

  private isBelowLimit(instance: string, mayExceed: boolean): boolean {
    const { concurrency } = this.slots.readCapacity(instance);
    const limit = concurrency === 0 ? 0 : concurrency + (mayExceed ? EXTRA_CONCURRENCY : 0);
    return this.slots.countRunning(instance) < limit;
  }

  private hasSlot(instance: string, { length }: RankedWork, mayExceed: boolean): boolean {
    const { slots } = this;
    const { connections, longPermits } = slots.readCapacity(instance);
    const isFree =
      slots.countConnections(instance) < connections && this.isBelowLimit(instance, mayExceed);
    if (length === 'short') return isFree;
    return isFree && slots.countRunning(instance, 'long') < longPermits;
  }

  private findRefusal(work: RankedWork, lane: WorkLane, now: Millis): QueueDecision | undefined {
    if (this.laneOf.size >= MAX_QUEUED) {
      return { kind: 'refuse', work, reason: 'the queue is full', cause: 'queueFull' };
    }
    const expected = this.estimateWait(work, lane, now);
    if (!expected || expected.waitMs <= expected.limitMs) return undefined;
    const [waitMs, limitMs] = [expected.waitMs, expected.limitMs].map(Math.round);
    const rank = `priority ${work.priority}${lane.isLate ? ', late for its objective' : ''}`;
    const reason = `the expected wait of ${waitMs} ms (${rank}) passes the limit of ${limitMs} ms`;
    return { kind: 'refuse', work, reason, cause: 'expectedWait', expected };
  }

  /** Estimates the wait behind work of equal or higher rank; undefined when it isn't known. */
  private estimateWait(work: RankedWork, lane: WorkLane, now: Millis): ExpectedWait | undefined {
    const { costMs, caller, deadline } = work;
    const ahead = this.lanes.filter(
      (other) => other.routeKey === lane.routeKey && !isBefore(lane, other),
    );
    const backlogMs = ahead.reduce((sum, other) => sum + other.readBacklog(), 0);
    if (costMs === undefined || backlogMs === 0) return undefined;
    const route = this.findRoute(work, lane, now);
    if (route.kind === 'wait') return undefined;
    const slots = this.countSlots(route.instances);
    if (slots === 0) return undefined;
    const limitMs = deadline - now - costMs;
    // Work of higher rank that is yet to come goes before as well, which the rate accounts for.
    const byRateMs = (lane.estimateWait(caller, costMs, now) ?? 0) / RATE_MARGIN;
    if (Math.max(backlogMs / slots, byRateMs) <= limitMs) return undefined;
    // Other callers are served in turn, so only the shorter part of their work goes before.
    const ownMs = lane.findBacklogBefore(caller, costMs);
    const higherMs = backlogMs - lane.readBacklog();
    return { waitMs: Math.max((higherMs + ownMs) / slots, byRateMs), limitMs };
  }

  private countSlots(instances: readonly string[]): number {
    return instances.reduce((sum, id) => sum + this.slots.readCapacity(id).concurrency, 0);
  }
}
