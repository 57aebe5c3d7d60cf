/** What one proxy may use of an instance, by kind. */
export interface Shares {
  readonly connections: number;
  readonly concurrency: number;
  readonly longPermits: number;
}

export type ShareName = keyof Shares;

export const SHARE_NAMES: readonly ShareName[] = ['connections', 'concurrency', 'longPermits'];

export const EMPTY_SHARES: Shares = { connections: 0, concurrency: 0, longPermits: 0 };

/** Computes each kind of share on its own. */
export function mapShares(compute: (name: ShareName) => number): Shares {
  return {
    connections: compute('connections'),
    concurrency: compute('concurrency'),
    longPermits: compute('longPermits'),
  };
}

/** One party to a division, in the order in which a remainder is given out. */
export interface ShareDemand {
  readonly vm: string;
  /** Reserved whether wanted or not. */
  readonly base: number;
  readonly wanted: number;
}

/**
 * Divides `total` max-min fairly: after the bases, every claim that wants more gets one more in
 * each round. `equal` leaves the remainder of the last round undivided, so that claims that want
 * the same get the same.
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
    // A smaller share is raised first, so that a large base does not grow further.
    const least = Math.min(...open.map(({ vm }) => shares.get(vm) ?? 0));
    const next = open.filter(({ vm }) => shares.get(vm) === least).slice(0, left);
    next.forEach(({ vm }) => shares.set(vm, least + 1));
    left -= next.length;
  }
  return shares;
}
