import type { Millis } from '../clock.js';

/** Number of times that each change is sent, in addition to the logarithm of the fleet's size. */
const EXTRA_SENDS = 3;

/** Limits the rate of an event but allows bursts. */
export class TokenBucket {
  private tokens: number;

  private filledAt: Millis = 0;

  constructor(
    private readonly burst: number,
    private readonly perSecond: number,
  ) {
    this.tokens = burst;
  }

  /** Takes up to `wanted` tokens and returns the number taken. */
  request(wanted: number, now: Millis): number {
    const gained = (Math.max(0, now - this.filledAt) / 1_000) * this.perSecond;
    this.filledAt = Math.max(now, this.filledAt);
    this.tokens = Math.min(this.burst, this.tokens + gained);
    const granted = Math.min(wanted, Math.floor(this.tokens));
    this.tokens -= granted;
    return granted;
  }
}

/** Queue of changes that are piggybacked on messages until each was sent a number of times. */
export class GossipQueue {
  private readonly remaining = new Map<string, number>();

  /** Adds a change of `id`, to be sent a number of times that grows with the log of `fleet`. */
  add(id: string, fleet: number): void {
    this.remaining.set(id, EXTRA_SENDS + Math.ceil(Math.log2(fleet + 1)));
  }

  /** Number of queued changes. */
  get size(): number {
    return this.remaining.size;
  }

  /** Takes up to `limit` ids, those with the most sends left first. */
  send(limit: number): readonly string[] {
    if (this.remaining.size === 0 || limit <= 0) return [];
    const chosen = [...this.remaining].sort((a, b) => b[1] - a[1]).slice(0, limit);
    chosen.forEach(([id, left]) => {
      if (left > 1) this.remaining.set(id, left - 1);
      else this.remaining.delete(id);
    });
    return chosen.map(([id]) => id);
  }
}
