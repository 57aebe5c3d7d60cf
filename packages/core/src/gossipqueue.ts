import type { Millis } from './clock.js';

/** Sends of each change beyond the logarithm of the fleet's size. */
const EXTRA_SENDS = 3;

/** Limits how often something happens, with room for a burst. */
export class TokenBucket {
  private tokens: number;

  private filledAt: Millis = 0;

  constructor(
    private readonly burst: number,
    private readonly perSecond: number,
  ) {
    this.tokens = burst;
  }

  /** Takes up to `wanted` tokens and returns how many there were. */
  request(wanted: number, now: Millis): number {
    const gained = (Math.max(0, now - this.filledAt) / 1_000) * this.perSecond;
    this.filledAt = Math.max(now, this.filledAt);
    this.tokens = Math.min(this.burst, this.tokens + gained);
    const granted = Math.min(wanted, Math.floor(this.tokens));
    this.tokens -= granted;
    return granted;
  }
}

/** Changes that ride on messages until each has been sent a number of times. */
export class GossipQueue {
  private readonly remaining = new Map<string, number>();

  /** Adds a change of `id`; it goes out a number of times that grows with the fleet's logarithm. */
  add(id: string, fleet: number): void {
    this.remaining.set(id, EXTRA_SENDS + Math.ceil(Math.log2(fleet + 1)));
  }

  /** Number of changes that wait to be sent. */
  get size(): number {
    return this.remaining.size;
  }

  /** Takes up to `limit` ids, those that were sent least first. */
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
