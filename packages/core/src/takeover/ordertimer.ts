import type { Millis } from '../clock.js';

/** Gap between repeated orders to an instance that has not answered. */
const REPEAT_MS: Millis = 150;

/** Remembers when orders and requests were sent, so that each is repeated only after a gap. */
export class OrderTimer {
  private readonly sentAt = new Map<string, Millis>();

  /** True when the order has not been sent within the gap; it then counts as sent now. */
  isDue(order: string, now: Millis, gap = REPEAT_MS): boolean {
    if (now - (this.sentAt.get(order) ?? Number.NEGATIVE_INFINITY) < gap) return false;
    this.sentAt.set(order, now);
    return true;
  }

  clear(): void {
    this.sentAt.clear();
  }
}
