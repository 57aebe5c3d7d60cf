import type { Millis } from '../clock.js';

const BASE_DELAY_MS: Millis = 100;
/** Limits how long a pending step still waits after the platform has recovered. */
const MAX_DELAY_MS: Millis = 2_000;

/** Exponential backoff with jitter for the attempts of one VM. */
export class Backoff {
  private attempts = 0;

  private nextAt: Millis = 0;

  /** `random` returns numbers from 0 up to, not including, 1. */
  constructor(private readonly random: () => number) {}

  isDue(now: Millis): boolean {
    return now >= this.nextAt;
  }

  /** Counts an attempt made now. Jitter keeps VMs that failed together from retrying together. */
  schedule(now: Millis): void {
    const delay = Math.min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** this.attempts);
    this.attempts += 1;
    this.nextAt = now + delay * (0.5 + this.random() / 2);
  }

  /** Returns the time until the next attempt is due. */
  computeDelay(now: Millis): Millis {
    return Math.max(0, this.nextAt - now);
  }

  /** Resets the delay after a success. */
  reset(): void {
    this.attempts = 0;
    this.nextAt = 0;
  }
}
