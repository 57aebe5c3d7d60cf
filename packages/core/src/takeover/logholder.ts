import type { Millis } from '../clock.js';
import type { Incarnation } from './incarnation.js';
import { chooseLater, comparePositions, type LogPosition } from '../position.js';

/**
 * How long a group without a leader waits for a log that may hold the only copy of an acknowledged
 * commit. It is longer than an instance takes to restart, or a partition usually lasts.
 */
export const LOST_LOG_TIMEOUT_MS: Millis = 30_000;

/** An incarnation whose log may hold an acknowledged commit that no other replica holds. */
export class LogHolder {
  /** Furthest end of its log that it told this VM. */
  position: LogPosition | undefined;

  /** When it may end, as far as it is known to be leaving; undefined for one that stays. */
  mayEndAt: Millis | undefined;

  /** The incarnation of another id that runs at its address, with its log. */
  replacement: Incarnation | undefined;

  /** When this VM learnt that it had ended; undefined while it may run. */
  endedAt: Millis | undefined;

  /** Since when it neither is registered nor answers; undefined while it is or does. */
  missingSince: Millis | undefined;

  /** True when its log is known to be gone, since it started again without it. */
  private isLogGone = false;

  /**
   * @param isLaterStart whether a later start runs than the one that the incarnation names, whose
   *   registration has not arrived yet
   */
  constructor(
    readonly incarnation: Incarnation,
    readonly isLaterStart = false,
  ) {}

  updatePosition(position: LogPosition): void {
    this.position = chooseLater(this.position ?? position, position);
  }

  /**
   * True unless a report is behind what this incarnation has told. In a newer term its log may have
   * been cut back to that of a new leader, but not to an empty one.
   */
  mayReport(term: number, received: LogPosition): boolean {
    const { position } = this;
    if (!position) return true;
    if (term > position.term) return received.offset > 0 || position.offset === 0;
    return term === position.term && comparePositions(received, position) >= 0;
  }

  /** True while its log may still come back, under its id or with another one at its address. */
  mayReturn(): boolean {
    return !this.isLogGone && !this.isLaterStart && this.replacement === undefined;
  }

  /** True once its id has started again, without its log. */
  hasLostLog(): boolean {
    return this.isLogGone;
  }

  /** Notes that it is registered or answers. */
  markPresent(): void {
    this.missingSince = undefined;
  }

  /** Notes that it answers under its own start, whatever was concluded before. */
  markAlive(): void {
    if (this.isLogGone) return;
    this.endedAt = undefined;
    this.replacement = undefined;
  }

  /**
   * Notes that it neither is registered nor answers. That is no proof of its end, also when it was
   * leaving: it may have crashed, and come back with its log.
   */
  markMissing(now: Millis): void {
    this.missingSince ??= now;
  }

  /** Notes that its id runs again, without its log. */
  markRestarted(now: Millis): void {
    this.endedAt ??= now;
    this.isLogGone = true;
  }

  /** Notes that another id runs at its address, with its log unless that is known to be gone. */
  markReplaced(replacement: Incarnation, now: Millis): void {
    if (this.isLogGone) return;
    this.endedAt ??= now;
    this.replacement ??= replacement;
  }

  /**
   * True when it acknowledged nothing after a time: it had ended, had left when it was due to, or had
   * been missing for as long as a takeover waits. Its log may still come back.
   */
  isGoneAt(at: Millis): boolean {
    if (this.endedAt !== undefined) return this.endedAt <= at;
    return this.hasLeftAt(at) || this.isMissingAt(at);
  }

  private hasLeftAt(at: Millis): boolean {
    const { mayEndAt, missingSince } = this;
    if (mayEndAt === undefined || missingSince === undefined) return false;
    return Math.max(mayEndAt, missingSince) <= at;
  }

  /** True when it has neither been registered nor answered for as long as a takeover waits. */
  isMissingAt(at: Millis): boolean {
    return this.missingSince !== undefined && this.missingSince + LOST_LOG_TIMEOUT_MS <= at;
  }
}
