import {
  type Clock,
  type ExpiredInstance,
  formatPosition,
  type Millis,
  type RegisteredInstance,
} from '@shallotpick/core';
import type { InstanceConnector } from './connection.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import { InstancePool, Member } from './member.js';
import { InstanceProbe, type ProbeOptions, type ProbeResult } from './probe.js';
import type { Suspicion } from './suspicion.js';

/** A leaving leader gets no new work in this last part of its drain time. */
const LEAVING_MARGIN_MS: Millis = 2_000;

/** Services of a group's members and callbacks to the group. */
export interface GroupMembersOptions {
  /** Name of the group. */
  readonly group: string;
  readonly clock: Clock;
  /** Clock that includes suspensions of the VM. */
  readonly ageClock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly connector: InstanceConnector;
  readonly suspicion: Suspicion;
  /** How long a leaving instance may still receive work. */
  readonly drainMs: Millis;
  /** True while a takeover is in progress. */
  readonly isChangingLeader: () => boolean;
  /** Number of VMs that probe the instances. */
  readonly countVms: () => number;
  readonly onProbeResult: ProbeOptions['onResult'];
  readonly onRemove: (instance: string) => void;
  /** Receives every reply of an instance; see `ProbeOptions`. */
  readonly onReply: (instance: string, ...reply: Parameters<ProbeOptions['onReply']>) => void;
}

/** The members of one group: adds, changes and removes them, and tracks which are leaving. */
export class GroupMembers {
  private readonly members = new Map<string, Member>();

  private readonly leavingSince = new Map<string, Millis>();

  /** Instances that were leaving already when this VM first saw them. */
  private readonly leftBefore = new Set<string>();

  constructor(private readonly options: GroupMembersOptions) {}

  list(): readonly Member[] {
    return [...this.members.values()];
  }

  find(id: string): Member | undefined {
    return this.members.get(id);
  }

  /** Returns the member whose last probe proved that it leads. */
  findLeading(): Member | undefined {
    return this.list().find(({ probe }) => probe.leads);
  }

  /** True when the drain time of a leaving member is about to end. */
  isDrainEnding(id: string, now: Millis): boolean {
    const since = this.leavingSince.get(id);
    return since !== undefined && now - since >= this.options.drainMs - LEAVING_MARGIN_MS;
  }

  /** Earliest time at which a leaving instance may end; undefined while that is not known. */
  findEarliestEnd(instance: string): Millis | undefined {
    const since = this.leavingSince.get(instance);
    if (since === undefined || this.leftBefore.has(instance)) return undefined;
    return since + this.options.drainMs;
  }

  /**
   * Updates the group's instances: adds, changes and removes members. One whose registration has
   * expired stays a member while it answers.
   */
  updateInstances(
    instances: readonly RegisteredInstance[],
    expired: readonly ExpiredInstance[],
  ): void {
    const ids = new Set(instances.map(({ id }) => id));
    const expirations = new Map(expired.map((one) => [one.instance.id, one]));
    this.members.forEach((member, id) => {
      if (!ids.has(id)) this.expireMember(member, expirations.get(id));
    });
    instances.forEach((instance) => this.updateMember(instance));
  }

  remove(member: Member): void {
    const { startedAt } = member.instance;
    this.options.log.info('instance removed', {
      ...{ instance: member.id, group: this.options.group, startedAt },
      ...(member.probe.position ? { position: formatPosition(member.probe.position) } : {}),
    });
    member.probe.stop();
    member.probe.clearLeadership();
    member.pool.drain();
    this.members.delete(member.id);
    this.leavingSince.delete(member.id);
    this.leftBefore.delete(member.id);
    this.options.onRemove(member.id);
  }

  private updateMember(instance: RegisteredInstance): void {
    const { clock, log, group } = this.options;
    const known = this.members.get(instance.id);
    const isRestarted = known && known.instance.startedAt !== instance.startedAt;
    if (known && !isRestarted) {
      known.instance = instance;
      known.renew();
    } else {
      if (known) this.remove(known);
      this.add(instance);
    }
    if (!instance.leaving) {
      this.leavingSince.delete(instance.id);
      this.leftBefore.delete(instance.id);
    } else if (!this.leavingSince.has(instance.id)) {
      this.leavingSince.set(instance.id, clock.readNow());
      if (!known) this.leftBefore.add(instance.id);
      log.info('instance leaving', { instance: instance.id, group });
    }
    const member = this.members.get(instance.id);
    member?.pool.updateLeaving(instance.leaving === true && !member.probe.leads);
  }

  /** Keeps a member without registration while it answers; no new work is sent to it. */
  private expireMember(member: Member, expired: ExpiredInstance | undefined): void {
    if (member.isExpired && member.probe.isAlive()) return;
    const isSame = expired?.instance.startedAt === member.instance.startedAt;
    if (!expired || !isSame || !member.probe.isAlive()) {
      this.remove(member);
      return;
    }
    member.expire();
    if (!this.leavingSince.has(member.id)) this.leavingSince.set(member.id, expired.missingSince);
    member.pool.updateLeaving(!member.probe.leads);
    this.options.log.warn('registration expired, the instance still answers', {
      ...{ instance: member.id, group: this.options.group, startedAt: member.instance.startedAt },
    });
  }

  private handleProbeResult(id: string, result: ProbeResult): void {
    const { clock, onProbeResult } = this.options;
    const { tookMs } = result;
    if (tookMs !== undefined) this.members.get(id)?.recordRoundTrip(tookMs, clock.readNow());
    onProbeResult(result);
  }

  private add(instance: RegisteredInstance): void {
    const { group, connector, clock, ageClock, log, suspicion } = this.options;
    const { isChangingLeader, countVms } = this.options;
    const { id, zone, startedAt, host, port, role } = instance;
    const address = `${host}:${port}`;
    log.info('instance added', { instance: id, group, zone, startedAt, address, role });
    const pool = new InstancePool(connector, instance, clock, (owner) =>
      this.options.metrics.connectionsOpened.inc({ owner }),
    );
    const probe = new InstanceProbe({
      ...{ instance, pool, clock, ageClock, log, suspicion },
      ...{ isChangingLeader, countVms },
      onResult: (result) => this.handleProbeResult(id, result),
      hasLeader: () => this.findLeading() !== undefined,
      onReply: (...reply) => this.options.onReply(id, ...reply),
    });
    pool.observer = probe;
    this.members.set(id, new Member(instance, { pool, probe }));
  }
}
