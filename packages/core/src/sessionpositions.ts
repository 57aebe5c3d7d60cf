import { chooseLater, formatPosition, type LogPosition, parsePosition } from './position.js';

/**
 * The least log position that a session's reads must see, for each group. A position only
 * advances, since the session has also seen everything before it.
 */
export class SessionPositions {
  private readonly floors = new Map<string, LogPosition>();

  /** Returns the session's position in the group; undefined until one is known. */
  findPosition(group: string): LogPosition | undefined {
    return this.floors.get(group);
  }

  /** Advances the position to an acknowledged one and returns the position now in force. */
  update(group: string, position: LogPosition): LogPosition {
    const known = this.floors.get(group);
    const floor = known ? chooseLater(known, position) : position;
    this.floors.set(group, floor);
    return floor;
  }

  /** Applies a token presented by the caller; false when it is malformed. */
  applyToken(group: string, token: string): boolean {
    const position = parsePosition(token);
    if (position) this.update(group, position);
    return position !== undefined;
  }

  /** Returns the token with which the caller can continue its session on another connection. */
  formatToken(group: string): string | undefined {
    const floor = this.floors.get(group);
    return floor && formatPosition(floor);
  }
}
