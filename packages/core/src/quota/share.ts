/** Amounts of an instance's capacity, by kind. */
export interface Shares {
  readonly connections: number;
  readonly concurrency: number;
  readonly longPermits: number;
}

/** The name of a kind of capacity. */
export type ShareName = keyof Shares;

/** The names of all kinds of capacity. */
export const SHARE_NAMES: readonly ShareName[] = ['connections', 'concurrency', 'longPermits'];

/** A share of nothing. */
export const EMPTY_SHARES: Shares = { connections: 0, concurrency: 0, longPermits: 0 };

/** Computes each kind of share on its own. */
export function mapShares(compute: (name: ShareName) => number): Shares {
  return {
    connections: compute('connections'),
    concurrency: compute('concurrency'),
    longPermits: compute('longPermits'),
  };
}

/** One VM's part in a division; the order of demands decides who gets a remainder. */
export interface ShareDemand {
  readonly vm: string;
  /** Reserved regardless of `wanted`. */
  readonly base: number;
  readonly wanted: number;
}

/**
 * Divides `total` by max-min fairness: after the bases, every demand that wants more gets one more
 * in each round. `equal` leaves the remainder of the last round undivided, so that equal demands
 * get equal shares.
 */
export function divideShares(
  total: number,
  claims: readonly ShareDemand[],
  equal: boolean,
): ReadonlyMap<string, number> {
  const shares = new Map(claims.map(({ vm, base }) => [vm, base]));
  let left = total - claims.reduce((sum, { base }) => sum + base, 0);
  while (left > 0) {
    const open = claims.filter(({ vm, wanted }) => wanted > (shares.get(vm) ?? 0));
    if (open.length === 0 || (equal && open.length > left)) break;
    // The smallest shares are increased first, so that a large base does not grow further.
    const least = Math.min(...open.map(({ vm }) => shares.get(vm) ?? 0));
    const next = open.filter(({ vm }) => shares.get(vm) === least).slice(0, left);
    next.forEach(({ vm }) => shares.set(vm, least + 1));
    left -= next.length;
  }
  return shares;
}
