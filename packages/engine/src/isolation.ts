import type { Clock, Millis } from '@shallotpick/core';
import type { GroupDirectory } from './directory.js';
import type { GroupService } from './group.js';
import type { Log } from './log.js';
import type { Member } from './member.js';

/** Services of an isolation monitor. */
export interface IsolationMonitorOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly groups: GroupDirectory;
  /** False while this VM may serve no keyed work. */
  readonly areKeysUsable: () => boolean;
}

/** Finds the zones of the members in which no instance answers. */
export function findLostZones(members: readonly Member[]): ReadonlySet<string> {
  const zones = new Set(members.map(({ instance }) => instance.zone));
  members.forEach(({ instance, probe }) => probe.isAnswering() && zones.delete(instance.zone));
  return zones;
}

/** True when at most half of the groups are served here or reached through other VMs. */
function isMostUnreachable(
  local: readonly GroupService[],
  forwarded: { readonly total: number; readonly reachable: number },
  isHomeIsolated: boolean,
): boolean {
  if (forwarded.total === 0) return isHomeIsolated;
  const reachable = forwarded.reachable + (isHomeIsolated ? 0 : local.length);
  return reachable * 2 <= forwarded.total + local.length;
}

/** Finds out whether this VM is cut off from what its callers need. */
export class IsolationMonitor {
  /** Since when at least half of the instances haven't answered; other VMs may reach them. */
  private isolatedSince: Millis | undefined = Number.NEGATIVE_INFINITY;

  /** True while at least half of the instances of the groups served here don't answer. */
  isHomeIsolated = true;

  constructor(private readonly options: IsolationMonitorOptions) {}

  /** True when this VM has been isolated for `durationMs`. */
  hasLasted(durationMs: Millis): boolean {
    const { isolatedSince } = this;
    if (isolatedSince === undefined) return false;
    return this.options.clock.readNow() - isolatedSince >= durationMs;
  }

  handleTick(): void {
    const { clock, log, groups, areKeysUsable } = this.options;
    const local = groups.listLocal();
    const total = local.reduce((sum, group) => sum + group.listEligible().length, 0);
    const answering = local.reduce((sum, group) => sum + group.countAnswering(), 0);
    this.isHomeIsolated = answering * 2 <= total;
    const forwarded = groups.countForwarded();
    // A VM that may serve no keyed work is as good as one that reaches no instance.
    const isIsolated = isMostUnreachable(local, forwarded, this.isHomeIsolated) || !areKeysUsable();
    const wasIsolated = this.isolatedSince !== undefined;
    if (isIsolated === wasIsolated) return;
    const message = isIsolated ? 'most instances unreachable' : 'most instances reachable';
    log.info(message, { total, answering, forwarded });
    this.isolatedSince = isIsolated ? clock.readNow() : undefined;
  }
}
