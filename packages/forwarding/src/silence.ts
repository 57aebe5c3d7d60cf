import type { Socket } from 'node:net';
import type { Millis } from '@shallotpick/core';

/** More time than this between two ticks means that this process itself stood still. */
const MAX_TICK_MS: Millis = 100;

/**
 * Measures how long a peer has been silent while this process ran. After a stall of this process a
 * late timer fires before what arrived meanwhile is read, so a tick counts for a bounded time.
 */
export class SilenceMeter {
  private tickedAt: Millis;

  private silentMs: Millis = 0;

  constructor(now: Millis) {
    this.tickedAt = now;
  }

  /** Adds the time since the last tick. */
  handleTick(now: Millis): void {
    this.silentMs += Math.min(now - this.tickedAt, MAX_TICK_MS);
    this.tickedAt = now;
  }

  /** Notes a sign of life. */
  reset(): void {
    this.silentMs = 0;
  }

  measure(): Millis {
    return this.silentMs;
  }
}

/** Finds signs that the peer of a socket is alive, whatever its messages say. */
export class PeerActivity {
  private bytesRead = 0;

  /** Bytes that waited for the peer to read them at the last check. */
  private bytesWaiting = 0;

  constructor(private readonly socket: Pick<Socket, 'bytesRead' | 'writableLength'>) {}

  /** True when the peer has sent or read something since the last check. */
  checkProgress(): boolean {
    const { bytesRead, writableLength } = this.socket;
    const hasProgress = bytesRead > this.bytesRead || writableLength < this.bytesWaiting;
    this.bytesRead = bytesRead;
    this.bytesWaiting = writableLength;
    return hasProgress;
  }
}
