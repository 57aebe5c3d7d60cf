import { chooseLater, formatPosition, type LogPosition, parsePosition } from '../position.js';

/**
 * The least log position that a session's reads must see, for each group. A position only
 * advances, since the session has also seen everything before it.
 */
export class SessionPositions {
  private readonly positions = new Map<string, LogPosition>();

  /** Returns the session's position in the group; undefined until one is known. */
  findPosition(group: string): LogPosition | undefined {
    return this.positions.get(group);
  }

  /** Advances the position to an acknowledged one and returns the position now in force. */
  update(group: string, position: LogPosition): LogPosition {
    const known = this.positions.get(group);
    const latest = known ? chooseLater(known, position) : position;
    this.positions.set(group, latest);
    return latest;
  }

  /** Applies a token presented by the caller; false when it is malformed. */
  applyToken(group: string, token: string): boolean {
    const position = parsePosition(token);
    if (position) this.update(group, position);
    return position !== undefined;
  }

  /** Returns the token with which the caller can continue its session on another connection. */
  formatToken(group: string): string | undefined {
    const position = this.positions.get(group);
    return position && formatPosition(position);
  }
}
