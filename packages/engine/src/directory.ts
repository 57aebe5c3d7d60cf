import type { Clock, Millis } from '@shallotpick/core';
import type { GroupAccess } from './access.js';
import { findUrgentPriority, type ServiceConfiguration } from './configuration.js';
import type { Forwarding } from './forwarding.js';
import type { GroupService } from './group.js';
import type { Log } from './log.js';
import type { Placement } from './placement.js';

/** How long a new process waits for the list of VMs before it connects to every group. */
const FLEET_WAIT_MS: Millis = 100;
/** The same when all VMs start together; the platform sends no callers yet. */
const FIRST_START_WAIT_MS: Millis = 2_000;

/** Services of a group directory. */
export interface GroupDirectoryOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly placement: Placement;
  /** Absent when this VM serves every group itself. */
  readonly forwarding: Forwarding | undefined;
  readonly createGroup: (name: string) => GroupService;
  /** True once the live VMs are known. */
  readonly isFleetKnown: () => boolean;
  /** True when all VMs start together. */
  readonly isFirstStart: boolean;
}

/** The groups of the configuration: those that this VM is a home of, and access to the others. */
export class GroupDirectory {
  private readonly local = new Map<string, GroupService>();

  private configuration: ServiceConfiguration | undefined;

  private placedVersion = -1;

  private isStopped = false;

  private readonly createdAt: Millis;

  constructor(private readonly options: GroupDirectoryOptions) {
    this.createdAt = options.clock.readNow();
  }

  updateConfiguration(configuration: ServiceConfiguration): void {
    this.configuration = configuration;
    this.options.placement.updateConfiguration(configuration);
    this.place();
  }

  /** Starts and stops groups after a change of the homes; true if any was started or stopped. */
  handleTick(): boolean {
    const isPlaced = this.placedVersion === this.options.placement.version;
    return isPlaced ? false : this.place();
  }

  /** Accesses a group of the configuration; undefined for an unknown one. */
  find(name: string): GroupAccess | undefined {
    const local = this.local.get(name);
    if (local || !this.configuration?.groups.has(name)) return local;
    return this.mustForward() ? this.options.forwarding?.findGroup(name) : undefined;
  }

  findLocal(name: string): GroupService | undefined {
    return this.local.get(name);
  }

  listLocal(): readonly GroupService[] {
    return [...this.local.values()];
  }

  /** Counts the groups that other VMs serve, and those among them that this VM reaches. */
  countForwarded(): { readonly total: number; readonly reachable: number } {
    const { forwarding } = this.options;
    if (!forwarding || !this.mustForward()) return { total: 0, reachable: 0 };
    const names = [...(this.configuration?.groups.keys() ?? [])];
    const forwarded = names.filter((name) => !this.local.has(name));
    const reachable = forwarded.filter((name) => forwarding.isReachable(name));
    return { total: forwarded.length, reachable: reachable.length };
  }

  /** Ends the groups before the process does; none is started any more. */
  end(): void {
    this.isStopped = true;
    this.local.forEach((group) => group.end());
  }

  /** True once the homes are known, or the wait for them has lasted long enough. */
  mayPlace(): boolean {
    const { clock, isFleetKnown, isFirstStart } = this.options;
    const limit = isFirstStart ? FIRST_START_WAIT_MS : FLEET_WAIT_MS;
    return isFleetKnown() || clock.readNow() - this.createdAt >= limit;
  }

  private mustForward(): boolean {
    return this.options.placement.mustForward();
  }

  private place(): boolean {
    const { placement } = this.options;
    if (this.isStopped || !this.configuration || !this.mayPlace()) return false;
    this.placedVersion = placement.version;
    let isChanged = false;
    const { configuration } = this;
    configuration.groups.forEach((settings, name) => {
      if (!placement.isHome(name)) return;
      const known = this.local.get(name);
      const group = known ?? this.startGroup(name);
      group.updateSettings(settings, findUrgentPriority(configuration, name));
      isChanged ||= !known;
    });
    this.local.forEach((group, name) => {
      if (this.configuration?.groups.has(name) && placement.isHome(name)) return;
      this.stopGroup(group);
      isChanged = true;
    });
    return isChanged;
  }

  private startGroup(name: string): GroupService {
    const group = this.options.createGroup(name);
    this.local.set(name, group);
    if (this.mustForward()) this.options.log.info('home of group', { group: name });
    return group;
  }

  private stopGroup(group: GroupService): void {
    this.options.log.info('no longer home of group', { group: group.name });
    group.stop();
    this.local.delete(group.name);
  }
}
