import type { Millis } from '@shallotpick/core';

const TICK_MS: Millis = 20;
/** Lateness of a timer that is usual without load. */
const USUAL_LATENESS_MS: Millis = 10;

/** A time for which the soak's process didn't run. */
interface Stall {
  readonly endedAt: Millis;
  readonly durationMs: Millis;
}

/**
 * Measures how long the soak's own process, which holds the callers, the instances and all proxies,
 * was not scheduled; VMs are cut off from everything then. Times are of `performance.now`.
 */
export class StallWatch {
  private readonly stalls: Stall[] = [];

  private timer: NodeJS.Timeout | undefined;

  private tickedAt: Millis = performance.now();

  start(): void {
    this.tickedAt = performance.now();
    this.timer = setInterval(() => this.handleTick(), TICK_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Sums up the stalls that ended since `from`, without those that began later than `to`. */
  readStalledMs(from: Millis, to: Millis): Millis {
    this.handleTick();
    const overlapping = this.stalls.filter(
      ({ endedAt, durationMs }) => endedAt > from && endedAt - durationMs < to,
    );
    return overlapping.reduce((sum, { durationMs }) => sum + durationMs, 0);
  }

  private handleTick(): void {
    const now = performance.now();
    const lateMs = now - this.tickedAt - TICK_MS;
    this.tickedAt = now;
    if (lateMs > USUAL_LATENESS_MS) this.stalls.push({ endedAt: now, durationMs: lateMs });
  }
}
