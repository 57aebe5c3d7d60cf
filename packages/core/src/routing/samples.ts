import type { Millis } from '../clock.js';
import { comparePositions, hasPosition, type LogPosition } from '../position.js';

/** Samples older than this are dropped, since no read needs them. */
const KEEP_MS: Millis = 10_000;
/** Bounds memory when samples arrive faster than expected. */
const MAX_SAMPLES = 256;

/** A position of a group's log that covers every commit acknowledged before `takenAt`. */
export interface PositionSample {
  readonly position: LogPosition;
  readonly takenAt: Millis;
}

/**
 * Positions that the leader of a group has reported over time, each with proof of leadership. The
 * data of a log that holds a sample's position is at most as old as the sample.
 */
export class PositionSamples {
  private samples: PositionSample[] = [];

  /** Returns the newest sample. */
  readLatest(): PositionSample | undefined {
    return this.samples.at(-1);
  }

  /** Adds a sample; one that was taken before the newest is ignored. */
  add(sample: PositionSample): void {
    const latest = this.readLatest();
    if (latest && sample.takenAt <= latest.takenAt) return;
    const oldest = sample.takenAt - KEEP_MS;
    this.samples = [...this.samples.filter(({ takenAt }) => takenAt >= oldest), sample].slice(
      -MAX_SAMPLES,
    );
  }

  /**
   * Returns the oldest sample that satisfies reads of data from `since` on. The older the sample,
   * the more replicas hold its position.
   */
  findSince(since: Millis): PositionSample | undefined {
    return this.samples.find(({ takenAt }) => takenAt >= since);
  }

  /** Returns how far a log that ends at `position` is behind the leader; undefined if unknown. */
  findLag(position: LogPosition, now: Millis): Millis | undefined {
    const latest = this.readLatest();
    if (!latest) return undefined;
    if (hasPosition(position, latest.position)) return 0;
    const held = this.samples.findLast(
      (sample) => comparePositions(sample.position, position) <= 0,
    );
    return now - (held?.takenAt ?? latest.takenAt - KEEP_MS);
  }
}
