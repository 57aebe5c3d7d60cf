import type { Millis } from './clock.js';
import { COUNT_INTERVAL_MS } from './operationlimit.js';

/** Intervals that are merged when an account is copied. */
const MERGED_INTERVALS = 5;

/** A number of operations and how long ago they were counted, at least. */
export interface AgedCount {
  readonly ageMs: Millis;
  readonly count: number;
}

/** Counts operations over a sliding window. An interval counts until all of it is out of it. */
export class WindowAccount {
  private readonly counts = new Map<number, number>();

  private sum = 0;

  constructor(private readonly spanMs: Millis) {}

  /** Counts operations; returns the interval in which they are counted. */
  add(count: number, at: Millis): number {
    const interval = Math.floor(at / COUNT_INTERVAL_MS);
    this.counts.set(interval, (this.counts.get(interval) ?? 0) + count);
    this.sum += count;
    return interval;
  }

  /** Takes back operations of an interval that surely don't start; at most those counted there. */
  remove(count: number, interval: number): void {
    const known = this.counts.get(interval) ?? 0;
    const removed = Math.min(known, count);
    if (removed === 0) return;
    this.counts.set(interval, known - removed);
    this.sum -= removed;
  }

  readSum(now: Millis): number {
    this.counts.forEach((count, interval) => {
      if ((interval + 1) * COUNT_INTERVAL_MS > now - this.spanMs) return;
      this.counts.delete(interval);
      this.sum -= count;
    });
    return this.sum;
  }

  /** Lists the counts with ages that are never too large, several intervals in one. */
  list(now: Millis): readonly AgedCount[] {
    this.readSum(now);
    const merged = new Map<number, number>();
    this.counts.forEach((count, interval) => {
      const last = (Math.floor(interval / MERGED_INTERVALS) + 1) * MERGED_INTERVALS - 1;
      if (count > 0) merged.set(last, (merged.get(last) ?? 0) + count);
    });
    return [...merged].map(([interval, count]) => ({
      ageMs: Math.max(0, Math.floor(now - interval * COUNT_INTERVAL_MS)),
      count,
    }));
  }
}
