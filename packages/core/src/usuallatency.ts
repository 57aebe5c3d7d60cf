import type { Millis } from './clock.js';

/** The usual latency rises by at most this share a second, so that a crowded time doesn't count. */
const RISE_PER_SECOND = 0.02;
const MS_PER_SECOND = 1_000;

/** Latency of one kind of work without a wait: the least of its medians, which is slowly given up. */
export class UsualLatency {
  private usualMs: Millis | undefined;

  private updatedAt: Millis = 0;

  /** Records the present median, and returns the usual latency. */
  update(medianMs: Millis, now: Millis): Millis {
    const seconds = (now - this.updatedAt) / MS_PER_SECOND;
    const risen = (this.usualMs ?? medianMs) * (1 + RISE_PER_SECOND * seconds);
    this.usualMs = Math.min(risen, medianMs);
    this.updatedAt = now;
    return this.usualMs;
  }
}
