import type { Millis } from '../clock.js';

/** How long a measurement counts at least. */
const WINDOW_MS: Millis = 5_000;

/** The least of the measurements of the last seconds, kept for two windows of time. */
export class LeastRecent {
  private current: Millis | undefined;

  private previous: Millis | undefined;

  private startedAt: Millis = 0;

  add(value: Millis, now: Millis): void {
    if (now - this.startedAt >= WINDOW_MS) {
      this.startedAt = now;
      this.previous = this.current;
      this.current = undefined;
    }
    this.current = Math.min(value, this.current ?? value);
  }

  /** Returns the least measurement; undefined without any. */
  find(): Millis | undefined {
    if (this.current === undefined) return this.previous;
    return Math.min(this.current, this.previous ?? this.current);
  }
}
