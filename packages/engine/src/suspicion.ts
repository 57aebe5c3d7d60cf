import type { Millis } from '@shallotpick/core';

/**
 * Failure suspicion shared by the probes of a proxy: an instance that doesn't answer a probe may
 * be the first sign of a partitioned zone, so all other instances are probed at once.
 */
export class Suspicion {
  private raisedAt: Millis = Number.NEGATIVE_INFINITY;

  raise(now: Millis): void {
    this.raisedAt = now;
  }

  /** True when a suspicion was raised after the given time. */
  isRaisedSince(time: Millis): boolean {
    return this.raisedAt > time;
  }
}
