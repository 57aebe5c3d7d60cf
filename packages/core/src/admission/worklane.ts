import type { Millis } from '../clock.js';
import type { Work } from './fairqueue.js';
import { ServiceRate } from './servicerate.js';

/** Work with what decides about its rank. */
export interface RankedWork extends Work {
  readonly priority: number;
  readonly routeKey: string;
  /** Time by which the caller hopes for the answer. */
  readonly objective: Millis;
  /** Time that it is expected to occupy a slot; undefined while that is not known. */
  readonly costMs: Millis | undefined;
}

/** Stands for an unknown cost where callers are served in turn. */
const DEFAULT_COST_MS: Millis = 10;

/** Returns the latest time at which the work can start and still make its objective. */
export function findLatestStart({ objective, costMs }: RankedWork): Millis {
  return objective - (costMs ?? 0);
}

function readCost({ costMs }: RankedWork): Millis {
  return costMs ?? DEFAULT_COST_MS;
}

/** Work of one caller, that with the earliest latest start first. */
class CallerQueue {
  readonly items: RankedWork[] = [];

  /** Time in slots that the caller may take in this round; negative after it has taken more. */
  creditMs: Millis = 0;

  backlogMs: Millis = 0;

  add(work: RankedWork): void {
    const latestStart = findLatestStart(work);
    const index = this.items.findLastIndex((item) => findLatestStart(item) <= latestStart);
    this.items.splice(index + 1, 0, work);
    this.backlogMs += readCost(work);
  }

  remove(work: RankedWork): boolean {
    const index = this.items.indexOf(work);
    if (index < 0) return false;
    this.items.splice(index, 1);
    this.backlogMs -= readCost(work);
    return true;
  }
}

/**
 * Work of one rank and length that may run on the same instances. Callers are served in turn by the
 * time that their work takes (deficit round robin).
 */
export class WorkLane {
  // A Map iterates in insertion order: the first caller is the next in turn.
  private readonly callers = new Map<string, CallerQueue>();

  private queued = 0;

  private backlogMs: Millis = 0;

  /** Time that one round gives each caller: the largest cost seen, so that one round suffices. */
  private quantumMs: Millis = DEFAULT_COST_MS;

  private passedOver = 0;

  private readonly rate = new ServiceRate();

  constructor(
    readonly routeKey: string,
    readonly length: RankedWork['length'],
    readonly priority: number,
    /** True for work that can no longer make its objective. */
    readonly isLate: boolean,
  ) {}

  countQueued(): number {
    return this.queued;
  }

  /** Measures the rate of service anew. */
  restartRate(now: Millis): void {
    this.rate.start(now);
  }

  /** Returns the starts of work of a higher rank since this lane had its last one. */
  countPassedOver(): number {
    return this.passedOver;
  }

  /** Handles the start of work of a higher rank while this lane waits. */
  handlePassedOver(): void {
    this.passedOver += 1;
  }

  add(work: RankedWork, now: Millis): void {
    if (this.queued === 0) this.rate.start(now);
    const known = this.callers.get(work.caller);
    const caller = known ?? new CallerQueue();
    if (!known) this.callers.set(work.caller, caller);
    caller.add(work);
    this.queued += 1;
    this.backlogMs += readCost(work);
    this.quantumMs = Math.max(this.quantumMs, readCost(work));
  }

  remove(work: RankedWork): boolean {
    const caller = this.callers.get(work.caller);
    if (!caller?.remove(work)) return false;
    this.queued -= 1;
    this.backlogMs = this.queued === 0 ? 0 : this.backlogMs - readCost(work);
    if (this.queued === 0) this.passedOver = 0;
    if (caller.items.length === 0) this.callers.delete(work.caller);
    return true;
  }

  /** Returns the next work of the caller in turn, apart from what was tried in vain. */
  findNext(tried: ReadonlySet<RankedWork>): RankedWork | undefined {
    // A caller without credit gets some at its first visit, and is served at the second.
    for (let visits = 2 * this.callers.size; visits > 0; visits -= 1) {
      const [first] = this.callers;
      if (!first) return undefined;
      const [name, caller] = first;
      const next = caller.items.find((item) => !tried.has(item));
      if (next && caller.creditMs > 0) return next;
      if (caller.creditMs <= 0) caller.creditMs += this.quantumMs;
      this.moveToBack(name);
    }
    return undefined;
  }

  /** Returns the latest start of the next work in turn. */
  findNextStart(): Millis {
    const next = this.findNext(new Set());
    return next ? findLatestStart(next) : Number.POSITIVE_INFINITY;
  }

  /** Removes work that starts, and charges its caller. */
  take(work: RankedWork, now: Millis): void {
    this.rate.add(readCost(work), now);
    const caller = this.callers.get(work.caller);
    if (caller) caller.creditMs -= readCost(work);
    this.remove(work);
    this.passedOver = 0;
  }

  /** Moves a caller behind the others. */
  moveToBack(name: string): void {
    const caller = this.callers.get(name);
    if (!caller) return;
    this.callers.delete(name);
    this.callers.set(name, caller);
  }

  /** Time in slots that is served before new work of the caller, if every slot is in use. */
  findBacklogBefore(caller: string, costMs: Millis): Millis {
    const own = (this.callers.get(caller)?.backlogMs ?? 0) + costMs;
    let sum = 0;
    this.callers.forEach(({ backlogMs }, name) => {
      sum += name === caller ? backlogMs : Math.min(backlogMs, own);
    });
    return sum;
  }

  /** Time in slots of everything that is queued. */
  readBacklog(): Millis {
    return this.backlogMs;
  }

  /**
   * Estimates the wait of new work of the caller from the rate at which this lane was served lately;
   * undefined while that isn't known.
   */
  estimateWait(caller: string, costMs: Millis, now: Millis): Millis | undefined {
    if (this.queued === 0) return undefined;
    const aheadMs = this.findBacklogBefore(caller, costMs);
    return this.rate.estimateTime(aheadMs, costMs, now);
  }
}
