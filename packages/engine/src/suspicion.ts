import type { Millis } from '@shallotpick/core';

/**
 * Shared by the probes of a proxy: an instance that leaves a probe without answer may be the first
 * sign of a zone that is cut off, so the others are probed at once.
 */
export class Suspicion {
  private raisedAt: Millis = Number.NEGATIVE_INFINITY;

  raise(now: Millis): void {
    this.raisedAt = now;
  }

  /** True when suspicion was raised after the given time. */
  isRaisedSince(time: Millis): boolean {
    return this.raisedAt > time;
  }
}
