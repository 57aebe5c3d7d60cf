import { classifyPower, HomeTable, rankVms } from '@shallotpick/core';
import type { ServiceConfiguration } from './configuration.js';
import type { Fleet } from './fleet.js';
import type { VmAddress } from './heartbeat.js';

/** The second home of a zone serves while the first one restarts. */
const MAX_HOMES_PER_ZONE = 2;
/** A VM with fewer connections to an instance could not serve transactions beside reads. */
const MIN_CONNECTIONS = 2;
/**
 * Connections of an instance that are left unused for each VM. An instance counts the connections
 * of a VM that lost power for seconds; the next process needs one at once.
 */
const RESTART_CONNECTIONS = 1;
/** Fraction of additional homes for which connections are left while a group's homes change. */
const RESERVE_FRACTION = 0.25;
/**
 * Groups for which a VM of the home pool is a home. A pool keeps the number of VMs small that watch
 * the instances in the store and keep connections to them.
 */
const GROUPS_PER_HOME_VM = 6;
const MIN_POOL_PER_ZONE = 3;
const POOL_DUTY = 'home-pool';
const READER_DUTY = 'configuration-reader';

/** What a placement needs to know of the fleet. */
export type FleetView = Pick<Fleet, 'listLiveVms' | 'countLiveVms' | 'findRank'>;

/**
 * Computes how many of an instance's connections one VM may open.
 *
 * @param vms number of VMs that share them
 * @param isReserved leaves connections for homes that another view of the fleet chose
 */
export function computeConnectionShare(limit: number, vms: number, isReserved: boolean): number {
  const sharers = Math.max(1, vms);
  const reserved = isReserved ? Math.max(1, Math.ceil(vms * RESERVE_FRACTION)) : 0;
  const share = Math.floor(limit / (sharers + reserved));
  return Math.max(1, isReserved ? share : share - RESTART_CONNECTIONS);
}

function countHomesPerZone(limit: number, zones: number): number {
  const connections = limit / (1 + RESERVE_FRACTION) / MIN_CONNECTIONS;
  return Math.max(1, Math.min(MAX_HOMES_PER_ZONE, Math.floor(connections / zones)));
}

/** A VM that may become a home, with the class of its power. */
interface PoolVm extends VmAddress {
  readonly powerClass: number;
}

/** Adds the class of each VM's power, relative to the smallest VM of the fleet. */
function addPowerClasses(vms: readonly VmAddress[]): readonly PoolVm[] {
  const classes = classifyPower(vms);
  return vms.map((vm) => ({ ...vm, powerClass: classes.get(vm.id) ?? 0 }));
}

/** Chooses the VMs of one zone that may become homes, those of the highest class first. */
function choosePool(vms: readonly PoolVm[], size: number): readonly PoolVm[] {
  const ranked = rankVms(
    POOL_DUTY,
    vms.map(({ id }) => id),
  );
  return [...vms]
    .sort((a, b) => b.powerClass - a.powerClass || ranked.indexOf(a.id) - ranked.indexOf(b.id))
    .slice(0, Math.max(MIN_POOL_PER_ZONE, size));
}

/**
 * Decides which VMs are homes of a group: all of them while the connections of an instance suffice
 * for that, otherwise some in each zone.
 */
export class Placement {
  private table = new HomeTable();

  private configuration: ServiceConfiguration | undefined;

  private pool: ReadonlyMap<string, VmAddress> = new Map();

  /** Rises with each change of the homes. */
  version = 0;

  private isForwarding = false;

  constructor(
    private readonly vm: string,
    private readonly fleet: FleetView,
  ) {}

  updateConfiguration(configuration: ServiceConfiguration): void {
    this.configuration = configuration;
    this.update();
  }

  /** Computes the homes anew; call it after each change of the live VMs. */
  update(): void {
    const { configuration, fleet } = this;
    if (!configuration) return;
    const vms = fleet.listLiveVms();
    const limits = [...configuration.groups.values()].map((group) => group.connectionLimit);
    const limit = Math.min(...limits);
    const reachable = vms.filter(({ port }) => port !== undefined);
    // VMs of a build that doesn't forward keep connections to every instance.
    const needed = vms.length * (MIN_CONNECTIONS + RESTART_CONNECTIONS);
    this.isForwarding = reachable.length === vms.length && needed > limit;
    this.version += 1;
    if (!this.isForwarding) return;
    const zones = [...new Set(vms.map(({ zone }) => zone))];
    const names = [...configuration.groups.keys()];
    const homesPerZone = countHomesPerZone(limit, zones.length);
    const size = Math.ceil((names.length * homesPerZone) / GROUPS_PER_HOME_VM);
    const classified = addPowerClasses(vms);
    const pool = zones.flatMap((zone) =>
      choosePool(
        classified.filter((one) => one.zone === zone),
        size,
      ),
    );
    this.pool = new Map(pool.map((one) => [one.id, one]));
    this.table = new HomeTable({ homesPerZone, allHomeVms: 0 });
    // VMs of a zone without instances share their homes, too, and don't cross a zone to reach them.
    const instances = zones.map((zone) => ({ zone }));
    this.table.updateGroups(names.map((name) => ({ name, instances })));
    this.table.updateVms([...this.pool.values()]);
  }

  /** True when some VMs are no home of some group. */
  mustForward(): boolean {
    return this.isForwarding;
  }

  isHome(group: string): boolean {
    return !this.isForwarding || this.table.isHome(group, this.vm);
  }

  /** True when this VM serves at least one group. */
  isAnyHome(): boolean {
    return !this.isForwarding || this.pool.has(this.vm);
  }

  /** Number of VMs that serve at least one group. */
  countPool(): number {
    return this.isForwarding ? this.pool.size : (this.fleet.countLiveVms() ?? 1);
  }

  /** Lists the homes of a group, nearest first, without this VM. */
  findHomes(group: string, zone: string): readonly VmAddress[] {
    return this.table
      .findHomes(group, zone)
      .filter((id) => id !== this.vm)
      .flatMap((id) => this.pool.get(id) ?? []);
  }

  listNearHomes(zone: string): readonly VmAddress[] {
    return [...this.pool.values()].filter((one) => one.zone === zone && one.id !== this.vm);
  }

  /**
   * This VM's rank among those of the zone that read what others need: those of the home pool, or
   * all of them.
   */
  findReaderRank(zone: string): number {
    const vms = this.isForwarding ? [...this.pool.values()] : this.fleet.listLiveVms();
    const ids = vms.filter((one) => one.zone === zone).map(({ id }) => id);
    const rank = rankVms(READER_DUTY, ids).indexOf(this.vm);
    return rank < 0 ? ids.length : rank;
  }

  /** Number of VMs that keep connections to the group's instances; undefined while unknown. */
  countHomes(group: string): number | undefined {
    if (!this.isForwarding) return this.fleet.countLiveVms();
    return this.table.findHomes(group, '').length;
  }

  /** This VM's rank for a duty of the group among its homes in reachable zones. */
  findRank(group: string, lostZones: ReadonlySet<string>): number {
    if (!this.isForwarding) return this.fleet.findRank(group, lostZones);
    const homes = this.table
      .findHomes(group, '')
      .filter((id) => id === this.vm || !lostZones.has(this.pool.get(id)?.zone ?? ''));
    return rankVms(group, homes).indexOf(this.vm);
  }
}
