import type { Millis } from './clock.js';

/** Gap between repeated requests for the same thing. */
const REPEAT_MS: Millis = 100;

/** Limits how often the same request is sent while it has no effect. */
export class RepeatLimiter {
  private readonly sentAt = new Map<string, Millis>();

  /** True when `request` may be sent now, which then counts as sent. */
  isDue(request: string, now: Millis): boolean {
    if (now - (this.sentAt.get(request) ?? -REPEAT_MS) < REPEAT_MS) return false;
    this.sentAt.set(request, now);
    return true;
  }

  reset(): void {
    this.sentAt.clear();
  }
}
