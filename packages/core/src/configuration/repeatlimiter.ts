import type { Millis } from '../clock.js';

/** Minimum interval between two sends of the same request. */
const REPEAT_MS: Millis = 100;

/** Limits how often the same request is repeated until it takes effect. */
export class RepeatLimiter {
  private readonly sentAt = new Map<string, Millis>();

  /** Returns true, and records a send, when `request` may be sent now. */
  isDue(request: string, now: Millis): boolean {
    if (now - (this.sentAt.get(request) ?? -REPEAT_MS) < REPEAT_MS) return false;
    this.sentAt.set(request, now);
    return true;
  }

  reset(): void {
    this.sentAt.clear();
  }
}
