import type { Millis } from '@shallotpick/core';

/** More time than this between two ticks means that this process itself stood still. */
const MAX_TICK_MS: Millis = 100;

/**
 * Measures how long a peer has been silent while this process ran. After a stall of this process a
 * late timer fires before what arrived meanwhile is read, so a tick counts for a bounded time.
 */
export class SilenceMeter {
  private tickedAt: Millis;

  private silentMs: Millis = 0;

  constructor(now: Millis) {
    this.tickedAt = now;
  }

  /** Adds the time since the last tick. */
  handleTick(now: Millis): void {
    this.silentMs += Math.min(now - this.tickedAt, MAX_TICK_MS);
    this.tickedAt = now;
  }

  /** Notes a sign of life. */
  reset(): void {
    this.silentMs = 0;
  }

  measure(): Millis {
    return this.silentMs;
  }
}
