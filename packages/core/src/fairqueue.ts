import type { Millis } from './clock.js';

const GAP_WEIGHT = 0.1;
/** Without a start for this long the rate of a lane is unknown and nothing is refused early. */
const RATE_KNOWN_FOR_MS: Millis = 250;

/** A piece of work that waits for a slot of an instance. */
export interface Work {
  readonly id: number;
  /** Work of different callers is admitted in turn. */
  readonly caller: string;
  readonly length: 'short' | 'long';
  readonly deadline: Millis;
  /** Work of a lower number starts first; 0 without. */
  readonly priority?: number;
  /** Works with the same lane are routed alike but for their floors. */
  readonly routeKey?: string;
}

/**
 * Queued work of one kind, by caller in turn and in order of arrival within a caller. Works of a
 * lane are routed alike, so that when its first ones cannot start, the rest need not be tried.
 */
export class FairQueue {
  // Both iterate in insertion order and remove in constant time.
  private readonly callers = new Map<string, Set<Work>>();

  private queued = 0;

  /** Mean time between starts while work was waiting. */
  private gapMs: Millis | undefined;

  private startedAt: Millis | undefined;

  constructor(readonly length: Work['length']) {}

  countQueued(): number {
    return this.queued;
  }

  countCallers(): number {
    return this.callers.size;
  }

  /** Number of works of the caller that wait here. */
  countQueuedBy(caller: string): number {
    return this.callers.get(caller)?.size ?? 0;
  }

  add(work: Work): void {
    const works = this.callers.get(work.caller);
    if (works) works.add(work);
    else this.callers.set(work.caller, new Set([work]));
    this.queued += 1;
  }

  remove(work: Work): boolean {
    const works = this.callers.get(work.caller);
    if (!works?.delete(work)) return false;
    if (works.size === 0) this.callers.delete(work.caller);
    this.queued -= 1;
    return true;
  }

  /** The first works of the callers whose turn comes next. */
  listHeads(count: number): readonly Work[] {
    const first: Work[] = [];
    const callers = this.callers.values();
    for (let next = callers.next(); !next.done && first.length < count; next = callers.next()) {
      const [work] = next.value;
      if (work) first.push(work);
    }
    return first;
  }

  /** Works ahead, callers in turn, times the mean gap between starts; undefined when unknown. */
  findExpectedWait(caller: string, now: Millis): Millis | undefined {
    const { gapMs, startedAt } = this;
    if (gapMs === undefined || startedAt === undefined) return undefined;
    if (now - startedAt > Math.max(RATE_KNOWN_FOR_MS, 4 * gapMs)) return undefined;
    const rounds = (this.countQueuedBy(caller) + 1) * this.countCallers();
    return Math.min(this.queued, rounds) * gapMs;
  }

  /** A pause, as during a failover, says nothing of the rate, and neither does an empty lane. */
  handleStart(now: Millis): void {
    const { gapMs, startedAt } = this;
    const gap = now - (startedAt ?? now);
    if (startedAt !== undefined && gap <= Math.max(RATE_KNOWN_FOR_MS, 4 * (gapMs ?? 0))) {
      this.gapMs = (gapMs ?? gap) + GAP_WEIGHT * (gap - (gapMs ?? gap));
    }
    this.startedAt = this.queued > 1 ? now : undefined;
  }

  /** Moves a caller behind the others. */
  moveToBack(caller: string): void {
    const works = this.callers.get(caller);
    if (!works) return;
    this.callers.delete(caller);
    this.callers.set(caller, works);
  }

  /** The newest work of the caller that has most here. */
  findEvictable(): Work | undefined {
    let most: ReadonlySet<Work> | undefined;
    this.callers.forEach((works) => {
      if (!most || works.size > most.size) most = works;
    });
    return most && [...most].at(-1);
  }

  listExpired(now: Millis): readonly Work[] {
    return [...this.callers.values()].flatMap((works) =>
      [...works].filter(({ deadline }) => deadline <= now),
    );
  }
}
