import type { Millis } from '../clock.js';

const GAP_WEIGHT = 0.1;
/** Without a start for this long the rate of a queue is unknown and nothing is refused early. */
const RATE_TTL_MS: Millis = 250;

/** A unit of work that needs a connection and a slot of an instance. */
export interface Work {
  readonly id: number;
  /** Callers are served in turn. */
  readonly caller: string;
  readonly length: 'short' | 'long';
  readonly deadline: Millis;
  /** Work with a lower number starts first; 0 by default. */
  readonly priority?: number;
  /** Work with equal keys is routed alike, except for its minimum positions. */
  readonly routeKey?: string;
}

/**
 * Queue of work with the same length and route key, served round-robin by caller and first in,
 * first out within a caller. Its items are routed alike, so that when the first ones cannot start,
 * the others need not be tried.
 */
export class FairQueue {
  // Map and Set iterate in insertion order and remove in constant time.
  private readonly callers = new Map<string, Set<Work>>();

  private queued = 0;

  /** Moving average of the time between two starts while work was waiting. */
  private gapMs: Millis | undefined;

  private startedAt: Millis | undefined;

  constructor(readonly length: Work['length']) {}

  countQueued(): number {
    return this.queued;
  }

  countCallers(): number {
    return this.callers.size;
  }

  /** Returns the number of queued items of the caller. */
  countQueuedBy(caller: string): number {
    return this.callers.get(caller)?.size ?? 0;
  }

  add(work: Work): void {
    const items = this.callers.get(work.caller);
    if (items) items.add(work);
    else this.callers.set(work.caller, new Set([work]));
    this.queued += 1;
  }

  remove(work: Work): boolean {
    const items = this.callers.get(work.caller);
    if (!items?.delete(work)) return false;
    if (items.size === 0) this.callers.delete(work.caller);
    this.queued -= 1;
    return true;
  }

  /** Lists the first item of each of the next `count` callers. */
  listHeads(count: number): readonly Work[] {
    const first: Work[] = [];
    const callers = this.callers.values();
    for (let next = callers.next(); !next.done && first.length < count; next = callers.next()) {
      const [work] = next.value;
      if (work) first.push(work);
    }
    return first;
  }

  /** Estimates the wait: items ahead times the mean time between starts; undefined if unknown. */
  findExpectedWait(caller: string, now: Millis): Millis | undefined {
    const { gapMs, startedAt } = this;
    if (gapMs === undefined || startedAt === undefined) return undefined;
    if (now - startedAt > Math.max(RATE_TTL_MS, 4 * gapMs)) return undefined;
    const rounds = (this.countQueuedBy(caller) + 1) * this.countCallers();
    return Math.min(this.queued, rounds) * gapMs;
  }

  /** Updates the rate. Gaps from pauses, as in a failover, or from an empty queue don't count. */
  handleStart(now: Millis): void {
    const { gapMs, startedAt } = this;
    const gap = now - (startedAt ?? now);
    if (startedAt !== undefined && gap <= Math.max(RATE_TTL_MS, 4 * (gapMs ?? 0))) {
      this.gapMs = (gapMs ?? gap) + GAP_WEIGHT * (gap - (gapMs ?? gap));
    }
    this.startedAt = this.queued > 1 ? now : undefined;
  }

  /** Moves a caller behind the others. */
  moveToBack(caller: string): void {
    const items = this.callers.get(caller);
    if (!items) return;
    this.callers.delete(caller);
    this.callers.set(caller, items);
  }

  /** Finds the newest item of the caller with the most queued items. */
  findEvictable(): Work | undefined {
    let most: ReadonlySet<Work> | undefined;
    this.callers.forEach((items) => {
      if (!most || items.size > most.size) most = items;
    });
    return most && [...most].at(-1);
  }

  listExpired(now: Millis): readonly Work[] {
    return [...this.callers.values()].flatMap((items) =>
      [...items].filter(({ deadline }) => deadline <= now),
    );
  }
}
