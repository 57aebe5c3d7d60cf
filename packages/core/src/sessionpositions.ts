import { chooseLater, formatPosition, type LogPosition, parsePosition } from './position.js';

/**
 * The positions that a session must see, by group. A floor only rises, since an older
 * acknowledged write stays part of what the session has seen.
 */
export class SessionPositions {
  private readonly floors = new Map<string, LogPosition>();

  /** Floor of the session in the group; undefined until one is known. */
  findPosition(group: string): LogPosition | undefined {
    return this.floors.get(group);
  }

  /** Raises the floor to an acknowledged position and returns the floor in force. */
  update(group: string, position: LogPosition): LogPosition {
    const known = this.floors.get(group);
    const floor = known ? chooseLater(known, position) : position;
    this.floors.set(group, floor);
    return floor;
  }

  /** Takes a token that the caller brought; false when it is malformed. */
  applyToken(group: string, token: string): boolean {
    const position = parsePosition(token);
    if (position) this.update(group, position);
    return position !== undefined;
  }

  /** The token with which the caller may go on elsewhere. */
  formatToken(group: string): string | undefined {
    const floor = this.floors.get(group);
    return floor && formatPosition(floor);
  }
}
