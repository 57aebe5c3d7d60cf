import type { MemberUpdate } from './peer.js';
import { computeHash } from './rendezvous.js';

/** Two rings in independent orders keep the number of hops between any two VMs small. */
const RINGS = 2;

/** A VM with its rendezvous weight for a ring. */
interface RankedVm {
  readonly id: string;
  readonly weight: number;
}

const compareRanked = (a: RankedVm, b: RankedVm): number =>
  b.weight - a.weight || Number(a.id > b.id) - Number(a.id < b.id);

/** VMs arranged in a ring by one rendezvous ranking. Each change computes one hash. */
export class PingRing {
  private readonly entries: RankedVm[] = [];

  constructor(private readonly duty: string) {}

  add(id: string): void {
    const entry = this.rank(id);
    const index = this.findIndex(entry);
    if (this.entries[index]?.id !== id) this.entries.splice(index, 0, entry);
  }

  remove(id: string): void {
    const index = this.findIndex(this.rank(id));
    if (this.entries[index]?.id === id) this.entries.splice(index, 1);
  }

  /** Lists the successors of `id`, up to and including the first that can ping others itself. */
  listAfter(id: string, canPing: (other: string) => boolean): readonly string[] {
    const from = this.findIndex(this.rank(id));
    const found: string[] = [];
    for (let step = 1; step < this.entries.length; step++) {
      const next = this.entries[(from + step) % this.entries.length]?.id ?? '';
      found.push(next);
      if (canPing(next)) break;
    }
    return found;
  }

  private rank(id: string): RankedVm {
    return { id, weight: computeHash(`${this.duty}|${id}`) };
  }

  /** Index of the first entry that does not come before `entry`. */
  private findIndex(entry: RankedVm): number {
    let low = 0;
    let high = this.entries.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const at = this.entries[middle];
      if (at && compareRanked(at, entry) < 0) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

/**
 * Determines which VMs one VM pings: all others in a small fleet, else its successor in each ring,
 * so that every VM pings two others and is pinged by two.
 */
export class PingTargets {
  private readonly rings = Array.from(
    { length: RINGS },
    (_, index) => new PingRing(`ping/${index}`),
  );

  private readonly others = new Set<string>();

  private readonly suspects = new Set<string>();

  private cached: ReadonlySet<string> | undefined;

  constructor(
    private readonly self: string,
    private readonly smallFleet: number,
  ) {
    this.rings.forEach((ring) => ring.add(self));
  }

  /** A dead VM is not pinged; a suspect is pinged but not relied on to ping others. */
  handleChange({ vm: { id }, state }: MemberUpdate): void {
    this.cached = undefined;
    if (state === 'suspect') this.suspects.add(id);
    else this.suspects.delete(id);
    if (state === 'dead') {
      this.others.delete(id);
      this.rings.forEach((ring) => ring.remove(id));
    } else {
      this.others.add(id);
      this.rings.forEach((ring) => ring.add(id));
    }
  }

  isSmall(): boolean {
    return this.others.size <= this.smallFleet;
  }

  list(): ReadonlySet<string> {
    this.cached ??= new Set(this.isSmall() ? this.others : this.listSuccessors());
    return this.cached;
  }

  private listSuccessors(): readonly string[] {
    return this.rings.flatMap((ring) => ring.listAfter(this.self, (id) => !this.suspects.has(id)));
  }
}
