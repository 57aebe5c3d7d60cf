import type { Millis } from '../clock.js';

/** Weight of a new sample in the moving average. */
const SAMPLE_WEIGHT = 0.1;
/** A sample counts at most this much, so that one lost answer doesn't decide. */
const MAX_RATIO = 20;
/** Latencies of less than this multiple of the usual show that there is room for more work. */
const ROOM_RATIO = 1.6;
/** Latencies of more than this multiple of the usual show that work waits at the instance. */
const CROWDED_RATIO = 2;
const REDUCTION = 0.8;
/** Without new samples the limit rises after this time, so that a slow instance is tried again. */
const RETRY_MS: Millis = 500;

/** The least and the largest concurrency that a limit may take. */
export interface LimitRange {
  readonly least: number;
  readonly most: number;
}

/**
 * Concurrency of one instance, which follows its latency: it falls while work takes much longer than
 * usual, because it waits there or the instance is slow, and rises while there is room. Work then
 * waits in the queue, where it has an order.
 */
export class ConcurrencyLimit {
  private limit = Number.POSITIVE_INFINITY;

  private ratio = 1;

  private hasSamples = false;

  private updatedAt: Millis = 0;

  /** Records a latency and the usual latency of such work without a wait. */
  add(tookMs: Millis, usualMs: Millis): void {
    const sample = Math.min(MAX_RATIO, tookMs / Math.max(1, usualMs));
    this.ratio += SAMPLE_WEIGHT * (sample - this.ratio);
    this.hasSamples = true;
  }

  /** Takes the latencies since the last call into account, and returns the limit. */
  update({ least, most }: LimitRange, now: Millis): number {
    const isRetry = !this.hasSamples && now - this.updatedAt >= RETRY_MS;
    if (this.hasSamples || isRetry) this.updatedAt = now;
    if (this.hasSamples && this.ratio > CROWDED_RATIO) this.limit *= REDUCTION;
    else if (isRetry || (this.hasSamples && this.ratio < ROOM_RATIO)) this.limit += 1;
    this.hasSamples = false;
    this.limit = Math.min(most, Math.max(least, this.limit));
    return Math.max(1, Math.floor(this.limit));
  }
}
