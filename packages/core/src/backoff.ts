import type { Millis } from './clock.js';

const BASE_DELAY_MS: Millis = 100;
/** Bounds the time that a pending step waits after the platform has come back. */
const MAX_DELAY_MS: Millis = 2_000;

/** Spaces the attempts of one VM: the delay doubles up to a limit and is spread at random. */
export class Backoff {
  private attempts = 0;

  private nextAt: Millis = 0;

  /** `random` gives numbers from 0 up to 1. */
  constructor(private readonly random: () => number) {}

  isDue(now: Millis): boolean {
    return now >= this.nextAt;
  }

  /** Counts an attempt made now. The spread keeps VMs that failed together from returning at once. */
  schedule(now: Millis): void {
    const delay = Math.min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** this.attempts);
    this.attempts += 1;
    this.nextAt = now + delay * (0.5 + this.random() / 2);
  }

  /** Time until the next attempt is due. */
  computeDelay(now: Millis): Millis {
    return Math.max(0, this.nextAt - now);
  }

  /** Forgets the failed attempts after a success. */
  reset(): void {
    this.attempts = 0;
    this.nextAt = 0;
  }
}
