import type { Millis } from '../clock.js';
import {
  chooseLater,
  comparePositions,
  formatPosition,
  type LogPosition,
  parsePosition,
} from '../position.js';

/** Groups whose positions a session holds; each is one that its database was moved to. */
const MAX_GROUPS = 32;

/** A log position that a session's reads must see, and when the session was told of it. */
export interface SessionCommit {
  readonly position: LogPosition;
  readonly acknowledgedAt: Millis;
}

/**
 * The least log position that a session's reads must see, for each group, since positions of two
 * logs can't be compared. A log is named by its group: a route that comes back to a group finds the
 * log that the session has committed to.
 */
export class SessionPositions {
  /** The group that was updated least recently comes first. */
  private readonly commits = new Map<string, SessionCommit>();

  /** True once a position was dropped for lack of room. */
  private isIncomplete = false;

  /** Returns the session's position in the group; undefined until one is known. */
  findPosition(group: string): LogPosition | undefined {
    return this.commits.get(group)?.position;
  }

  /** Returns the session's position in the group with its age; undefined until one is known. */
  findCommit(group: string): SessionCommit | undefined {
    return this.commits.get(group);
  }

  /** False when the session may have had a position in the group that was dropped for lack of room. */
  isComplete(group: string): boolean {
    return !this.isIncomplete || this.commits.has(group);
  }

  /** Advances the position to one that the session was told of; returns the position now in force. */
  update(group: string, position: LogPosition): LogPosition {
    const known = this.findPosition(group);
    const latest = known ? chooseLater(known, position) : position;
    this.put(group, { position: latest, acknowledgedAt: Number.NEGATIVE_INFINITY });
    return latest;
  }

  /**
   * Records the session's own commit. It includes all that the session has seen of this log; an
   * earlier position beyond it belongs to a log of this group that is no more.
   */
  handleCommit(group: string, position: LogPosition, now: Millis): void {
    this.put(group, { position, acknowledgedAt: now });
  }

  /**
   * Notes the end of the log of a proved leader, which holds every acknowledged commit. A position
   * beyond it belongs to a log of this group that is no more, and is replaced.
   */
  handleLeaderPosition(group: string, position: LogPosition, now: Millis): void {
    const known = this.findPosition(group);
    if (!known || comparePositions(known, position) <= 0) return;
    this.put(group, { position, acknowledgedAt: now });
  }

  /** Applies a token presented by the caller; false when it is malformed. */
  applyToken(group: string, token: string): boolean {
    const position = parsePosition(token);
    if (position) this.update(group, position);
    return position !== undefined;
  }

  /** Returns the token with which the caller can continue its session on another connection. */
  formatToken(group: string): string | undefined {
    const position = this.findPosition(group);
    return position && formatPosition(position);
  }

  private put(group: string, commit: SessionCommit): void {
    this.commits.delete(group);
    this.commits.set(group, commit);
    if (this.commits.size <= MAX_GROUPS) return;
    const [oldest = group] = this.commits.keys();
    this.commits.delete(oldest);
    this.isIncomplete = true;
  }
}
