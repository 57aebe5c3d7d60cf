import { computeHash } from './rendezvous.js';
import type { Vm } from './vm.js';

/** A VM that may become a home. */
interface HomeVm extends Pick<Vm, 'id' | 'zone'> {
  /** VMs of a higher class become homes first; 0 by default. */
  readonly powerClass?: number;
}

/** A group; it has homes in the zones of its instances. */
export interface PlacedGroup {
  readonly name: string;
  readonly instances: readonly { readonly zone: string }[];
}

/** Limits of a `HomeTable`. */
export interface HomeTableOptions {
  readonly homesPerZone: number;
  /** Up to this fleet size every VM is a home of every group, so that no caller is forwarded. */
  readonly allHomeVms: number;
}

/** Homes of a group in each zone that has an instance of it; the second is the standby. */
export const HOMES_PER_ZONE = 2;
/** Default of {@link HomeTableOptions.allHomeVms}. */
export const ALL_HOME_VMS = 8;

/** A VM with its rendezvous weight for a group. */
interface Candidate {
  readonly vm: string;
  readonly powerClass: number;
  readonly weight: number;
}

function createCandidate(group: string, { id, powerClass = 0 }: HomeVm): Candidate {
  return { vm: id, powerClass, weight: computeHash(`home/${group}|${id}`) };
}

function isSameVm(a: HomeVm | undefined, b: HomeVm): boolean {
  return a?.zone === b.zone && a.powerClass === b.powerClass;
}

function compareCandidates(a: Candidate, b: Candidate): number {
  return b.powerClass - a.powerClass || b.weight - a.weight || a.vm.localeCompare(b.vm);
}

/**
 * Assigns groups to the VMs that serve them, their homes. Homes are chosen by rendezvous hashing
 * within each zone that has an instance of the group, so that a partitioned zone has homes of its
 * own. When a VM joins or leaves, only the groups in which it ranks among the first are recomputed.
 */
export class HomeTable {
  private readonly groups = new Map<string, readonly string[]>();

  private readonly vms = new Map<string, HomeVm>();

  /** Best candidates by `zone|group`. */
  private readonly homes = new Map<string, readonly Candidate[]>();

  constructor(
    private readonly options: HomeTableOptions = {
      homesPerZone: HOMES_PER_ZONE,
      allHomeVms: ALL_HOME_VMS,
    },
  ) {}

  /** Sets the groups of the configuration in force. */
  updateGroups(groups: readonly PlacedGroup[]): void {
    this.groups.clear();
    const kept = new Set<string>();
    groups.forEach(({ name, instances }) => {
      const zones = [...new Set(instances.map(({ zone }) => zone))];
      this.groups.set(name, zones);
      zones.forEach((zone) => kept.add(`${zone}|${name}`));
    });
    [...this.homes.keys()].filter((key) => !kept.has(key)).forEach((key) => this.homes.delete(key));
    this.groups.forEach((zones, name) => {
      zones.forEach((zone) => {
        if (!this.homes.has(`${zone}|${name}`)) this.computeHomes(zone, name);
      });
    });
  }

  /** Sets the live VMs. */
  updateVms(vms: readonly HomeVm[]): void {
    const live = new Map(vms.map((vm) => [vm.id, vm]));
    const departed = [...this.vms.values()].filter((vm) => !isSameVm(live.get(vm.id), vm));
    const joined = vms.filter((vm) => !isSameVm(this.vms.get(vm.id), vm));
    this.vms.clear();
    live.forEach((vm, id) => this.vms.set(id, vm));
    departed.forEach((vm) => this.removeVm(vm));
    joined.forEach((vm) => this.addVm(vm));
  }

  /** Returns the VMs that serve the group, nearest first for callers in `zone`. */
  findHomes(group: string, zone: string): readonly string[] {
    if (this.vms.size <= this.options.allHomeVms) return this.rankAll(group, zone);
    const zones = this.groups.get(group) ?? [];
    const ordered = [...zones].sort((a, b) => Number(b === zone) - Number(a === zone));
    const homes = ordered.flatMap((one) => this.homes.get(`${one}|${group}`) ?? []);
    // A group whose zones have no VM at all is served from anywhere.
    return homes.length > 0 ? homes.map(({ vm }) => vm) : this.rankAll(group, zone).slice(0, 2);
  }

  isHome(group: string, vm: string): boolean {
    return this.findHomes(group, this.vms.get(vm)?.zone ?? '').includes(vm);
  }

  /** Lists the groups that the VM serves. */
  listGroups(vm: string): readonly string[] {
    return [...this.groups.keys()].filter((group) => this.isHome(group, vm));
  }

  private rankAll(group: string, zone: string): readonly string[] {
    return [...this.vms.values()]
      .map((vm) => ({ ...createCandidate(group, vm), near: vm.zone === zone }))
      .sort((a, b) => Number(b.near) - Number(a.near) || compareCandidates(a, b))
      .map(({ vm }) => vm);
  }

  private computeHomes(zone: string, group: string): void {
    const candidates = [...this.vms.values()]
      .filter((vm) => vm.zone === zone)
      .map((vm) => createCandidate(group, vm));
    this.homes.set(`${zone}|${group}`, this.chooseBest(candidates));
  }

  private removeVm({ id, zone }: HomeVm): void {
    this.listZone(zone).forEach((group) => {
      const homes = this.homes.get(`${zone}|${group}`) ?? [];
      if (homes.some(({ vm }) => vm === id)) this.computeHomes(zone, group);
    });
  }

  private addVm(added: HomeVm): void {
    const { id, zone } = added;
    this.listZone(zone).forEach((group) => {
      const key = `${zone}|${group}`;
      const others = (this.homes.get(key) ?? []).filter(({ vm }) => vm !== id);
      this.homes.set(key, this.chooseBest([...others, createCandidate(group, added)]));
    });
  }

  private chooseBest(candidates: readonly Candidate[]): readonly Candidate[] {
    return [...candidates].sort(compareCandidates).slice(0, this.options.homesPerZone);
  }

  private listZone(zone: string): readonly string[] {
    return [...this.groups].filter(([, zones]) => zones.includes(zone)).map(([group]) => group);
  }
}
