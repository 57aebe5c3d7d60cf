/** Greatest term; terms rise by one with each claim, so a greater one is not genuine. */
export const MAX_TERM = 2 ** 32 - 1;

/**
 * A position in a group's replicated log. Within one term there is a single primary and hence a
 * single history, so offsets may be compared directly only within a term.
 */
export interface LogPosition {
  /** Term of the entry at `offset`; never a fence term. */
  readonly term: number;
  /** Bytes or entries from the start of the log. */
  readonly offset: number;
}

/** The position before the first log entry. */
export const LOG_START: LogPosition = { term: 0, offset: 0 };

/** Orders positions by term, then by offset. Negative when `a` comes first. */
export function comparePositions(a: LogPosition, b: LogPosition): number {
  return a.term - b.term || a.offset - b.offset;
}

/** True when a log that ends at `held` contains everything acknowledged up to `wanted`. */
export function hasPosition(held: LogPosition, wanted: LogPosition): boolean {
  return comparePositions(held, wanted) >= 0;
}

/** Returns the later of two positions. */
export function chooseLater(a: LogPosition, b: LogPosition): LogPosition {
  return comparePositions(a, b) >= 0 ? a : b;
}

/** Writes a position as `term/offset`. */
export function formatPosition(position: LogPosition): string {
  return `${position.term}/${position.offset}`;
}

/** Reads `term/offset`; undefined when the text is not a position. */
export function parsePosition(text: string): LogPosition | undefined {
  const match = /^(\d{1,15})\/(\d{1,15})$/.exec(text);
  if (!match) return undefined;
  return { term: Number(match[1]), offset: Number(match[2]) };
}
