/**
 * One run of an instance, from a start to its end. An instance may start again under the same id;
 * it then holds and knows nothing of its former run.
 */
export interface Incarnation {
  readonly id: string;
  /** Start time in Unix milliseconds. */
  readonly startedAt: number;
  /** `HOST:PORT` */
  readonly address: string;
}

/** Writes an incarnation as `ID@START`, which also identifies it. */
export function formatIncarnation({ id, startedAt }: Omit<Incarnation, 'address'>): string {
  return `${id}@${startedAt}`;
}

/** True when both name the same run of the same instance. */
export function isSameIncarnation(a: Incarnation | undefined, b: Incarnation | undefined): boolean {
  return a !== undefined && a.id === b?.id && a.startedAt === b.startedAt;
}

/** True when one has the id or the address of the other, so that it may hold the same log. */
export function isSamePlace(a: Incarnation, b: Incarnation): boolean {
  return a.id === b.id || a.address === b.address;
}
