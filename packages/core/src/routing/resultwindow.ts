import type { Millis } from '../clock.js';

/** Time in which the weight of a result halves. */
const HALF_LIFE_MS: Millis = 2_000;
/** Weight of results below which nothing is decided. */
const MIN_RESULTS = 5;

/** What a piece of work on an instance came to. */
export interface WorkResult {
  /** True when the instance failed the work, or gave no answer. */
  readonly isFailed: boolean;
  readonly tookMs: Millis;
}

/** Decayed results of one instance. */
export class ResultWindow {
  private total = 0;

  private failed = 0;

  private tookMs = 0;

  private updatedAt: Millis = 0;

  add({ isFailed, tookMs }: WorkResult, now: Millis): void {
    this.decay(now);
    this.total += 1;
    this.failed += Number(isFailed);
    this.tookMs += tookMs;
  }

  clear(): void {
    this.total = 0;
    this.failed = 0;
    this.tookMs = 0;
  }

  hasEvidence(now: Millis): boolean {
    this.decay(now);
    return this.total >= MIN_RESULTS;
  }

  computeFailureRate(): number {
    return this.total > 0 ? this.failed / this.total : 0;
  }

  computeLatency(): Millis {
    return this.total > 0 ? this.tookMs / this.total : 0;
  }

  private decay(now: Millis): void {
    const weight = 0.5 ** (Math.max(0, now - this.updatedAt) / HALF_LIFE_MS);
    this.updatedAt = now;
    this.total *= weight;
    this.failed *= weight;
    this.tookMs *= weight;
  }
}
