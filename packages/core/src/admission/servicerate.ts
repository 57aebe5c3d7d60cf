import type { Millis } from '../clock.js';

/** No rate is told earlier after the start of a busy time. */
const MIN_TIME_MS: Millis = 200;
/** A longer history is halved, so that the rate follows changes. */
const MAX_TIME_MS: Millis = 1_000;

/** How much work a queue gets done while some of it waits. */
export class ServiceRate {
  private since: Millis = 0;

  private doneMs: Millis = 0;

  /** Starts a busy time: work waits from now on. */
  start(now: Millis): void {
    this.since = now;
    this.doneMs = 0;
  }

  /** Records work that starts, by its cost. */
  add(costMs: Millis, now: Millis): void {
    this.doneMs += costMs;
    if (now - this.since <= MAX_TIME_MS) return;
    this.doneMs /= 2;
    this.since += (now - this.since) / 2;
  }

  /**
   * Computes the time until work of the cost `aheadMs` is done, as if another item of `itemMs` had
   * just been; undefined early in a busy time.
   */
  estimateTime(aheadMs: Millis, itemMs: Millis, now: Millis): Millis | undefined {
    const time = now - this.since;
    if (time < MIN_TIME_MS) return undefined;
    return (aheadMs * time) / Math.max(1, this.doneMs + itemMs);
  }
}
