import type { Millis } from './clock.js';

/** Weight of a new sample in the moving average. */
const SAMPLE_WEIGHT = 0.15;
/** A sample counts at most this much, so that one lost answer doesn't decide. */
const MAX_RATIO = 20;
/** Old measurements decay towards the usual pace, so that a slow instance is tried again. */
const HALF_LIFE_MS: Millis = 2_000;
/** An instance that takes up to this multiple of the usual time is not slow. */
const SLOW_RATIO = 2;

/** How long an instance takes for its work, as a multiple of what such work takes elsewhere. */
export class InstancePace {
  private ratio = 1;

  private measuredAt: Millis = 0;

  add(tookMs: Millis, usualMs: Millis, now: Millis): void {
    const sample = Math.min(MAX_RATIO, tookMs / Math.max(1, usualMs));
    this.ratio = this.readRatio(now);
    this.ratio += SAMPLE_WEIGHT * (sample - this.ratio);
    this.measuredAt = now;
  }

  readRatio(now: Millis): number {
    const weight = 0.5 ** ((now - this.measuredAt) / HALF_LIFE_MS);
    return 1 + (this.ratio - 1) * weight;
  }

  /** Reduces the concurrency of a slow instance, to no less than one. */
  limitConcurrency(concurrency: number, now: Millis): number {
    const ratio = this.readRatio(now);
    if (ratio <= SLOW_RATIO) return concurrency;
    return Math.max(1, Math.round((concurrency * SLOW_RATIO) / ratio));
  }
}
