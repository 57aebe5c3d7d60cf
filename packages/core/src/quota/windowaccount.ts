import type { Millis } from '../clock.js';
import { COUNT_INTERVAL_MS } from './operationlimit.js';

/** Length of the intervals of a copy. */
const COPY_INTERVAL_MS: Millis = 1_000;

/** Operations by their age: the one at index `n` counts those that are at least `n` seconds old. */
export type AgedCounts = readonly number[];

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

  /** Lists the counts; ages are rounded down, so that nothing leaves a window too early. */
  listByAge(now: Millis): AgedCounts {
    this.readSum(now);
    const copied: number[] = [];
    this.counts.forEach((count, interval) => {
      const ageMs = Math.max(0, now - (interval + 1) * COUNT_INTERVAL_MS);
      const index = Math.floor(ageMs / COPY_INTERVAL_MS);
      copied[index] = (copied[index] ?? 0) + count;
    });
    return Array.from(copied, (count = 0) => count);
  }

  /** Adds the counts of a copy that was made at `madeAt` or before. */
  load(counts: AgedCounts, madeAt: Millis): void {
    counts.forEach((count, index) => {
      if (count > 0) this.add(count, madeAt - index * COPY_INTERVAL_MS);
    });
  }
}
