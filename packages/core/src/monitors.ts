import type { MemberUpdate } from './peer.js';
import { computeHash } from './placement.js';

interface Ranked {
  readonly id: string;
  readonly weight: number;
}

const compareRanked = (a: Ranked, b: Ranked): number =>
  b.weight - a.weight || (a.id < b.id ? -1 : 1);

/**
 * Which VMs ping which: the first `count` of each target's rendezvous ranking. A change of one VM
 * costs one hash for each target, not a ranking of the fleet for each.
 */
export class MonitorTable {
  private readonly monitors = new Set<string>();

  private readonly ranked = new Map<string, readonly Ranked[]>();

  constructor(private readonly count: number) {}

  addTarget(target: string): void {
    if (!this.ranked.has(target)) this.ranked.set(target, this.rankAll(target));
  }

  removeTarget(target: string): void {
    this.ranked.delete(target);
  }

  addMonitor(id: string): void {
    if (this.monitors.has(id)) return;
    this.monitors.add(id);
    this.ranked.forEach((list, target) => {
      if (target === id) return;
      const entry = { id, weight: this.computeWeight(target, id) };
      const last = list.at(-1);
      if (list.length >= this.count && last && compareRanked(last, entry) < 0) return;
      this.ranked.set(target, [...list, entry].sort(compareRanked).slice(0, this.count));
    });
  }

  removeMonitor(id: string): void {
    if (!this.monitors.delete(id)) return;
    this.ranked.forEach((list, target) => {
      if (list.some((entry) => entry.id === id)) this.ranked.set(target, this.rankAll(target));
    });
  }

  /** The targets that `monitor` pings. */
  listTargets(monitor: string): readonly string[] {
    return [...this.ranked]
      .filter(([, list]) => list.some(({ id }) => id === monitor))
      .map(([target]) => target);
  }

  private rankAll(target: string): readonly Ranked[] {
    return [...this.monitors]
      .filter((id) => id !== target)
      .map((id) => ({ id, weight: this.computeWeight(target, id) }))
      .sort(compareRanked)
      .slice(0, this.count);
  }

  private computeWeight(target: string, id: string): number {
    return computeHash(`ping/${target}|${id}`);
  }
}

const MONITORS_PER_VM = 2;

/** The VMs that one VM pings: all others in a small fleet, else a few by rank. */
export class PingTargets {
  private readonly table = new MonitorTable(MONITORS_PER_VM);

  private readonly others = new Set<string>();

  private cached: ReadonlySet<string> | undefined;

  constructor(
    private readonly self: string,
    private readonly smallFleet: number,
  ) {
    this.table.addMonitor(self);
  }

  /** A dead VM is not pinged; a suspect is pinged but not relied on to ping others. */
  handleChange({ vm: { id }, state }: MemberUpdate): void {
    this.cached = undefined;
    if (state === 'dead') {
      this.others.delete(id);
      this.table.removeTarget(id);
    } else {
      this.others.add(id);
      this.table.addTarget(id);
    }
    if (state === 'live' || state === 'leaving') this.table.addMonitor(id);
    else this.table.removeMonitor(id);
  }

  isSmall(): boolean {
    return this.others.size <= this.smallFleet;
  }

  list(): ReadonlySet<string> {
    this.cached ??= this.isSmall()
      ? new Set(this.others)
      : new Set(this.table.listTargets(this.self));
    return this.cached;
  }
}
