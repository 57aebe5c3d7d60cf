import type { Millis } from '../clock.js';

const SECOND_MS: Millis = 1_000;
/** Unused budget that is kept for a short peak. */
const BURST_SECONDS = 2;
/** Weight of a new sample in the moving average of bytes. */
const SIZE_WEIGHT = 0.1;
const INITIAL_READ_BYTES = 500;

/** Token bucket of the bytes that one VM may exchange with instances of other zones by choice. */
export class ZoneBudget {
  private available: number;

  private refilledAt: Millis | undefined;

  private readBytes = INITIAL_READ_BYTES;

  constructor(private readonly bytesPerSecond: number) {
    this.available = bytesPerSecond * BURST_SECONDS;
  }

  /** Expected bytes of a read, its statement and its rows. */
  estimateReadBytes(): number {
    return this.readBytes;
  }

  /** Notes the bytes of a read that was answered. */
  handleRead(bytes: number): void {
    this.readBytes += SIZE_WEIGHT * (bytes - this.readBytes);
  }

  /** True when the budget covers another read. */
  hasRoom(now: Millis): boolean {
    this.refill(now);
    return this.available >= this.readBytes;
  }

  /** Takes the expected bytes of a read that starts in another zone. */
  take(now: Millis): void {
    this.refill(now);
    this.available = Math.max(0, this.available - this.readBytes);
  }

  private refill(now: Millis): void {
    const elapsed = Math.max(0, now - (this.refilledAt ?? now));
    this.refilledAt = now;
    const limit = this.bytesPerSecond * BURST_SECONDS;
    this.available = Math.min(limit, this.available + (elapsed / SECOND_MS) * this.bytesPerSecond);
  }
}
