import {
  type Capacity,
  type Clock,
  type ExpiredInstance,
  type Millis,
  PositionSamples,
  type RegisteredInstance,
  type ZoneBudget,
} from '@shallotpick/core';
import { GroupAccess } from './access.js';
import { CommitConfirmation } from './commitconfirmation.js';
import type { GroupSettings } from './configuration.js';
import type { InstanceConnector } from './connection.js';
import { Dispatcher, type DispatcherOptions, type WorkRequest } from './dispatcher.js';
import { NotRunError } from './errors.js';
import type { Lease } from './lease.js';
import { LeaseOpener } from './leaseopener.js';
import type { Log } from './log.js';
import { type Member, WARM_CONNECTIONS } from './member.js';
import { GroupMembers } from './members.js';
import type { Metrics } from './metrics.js';
import { computeConnectionShare } from './placement.js';
import type { Suspicion } from './suspicion.js';
import type { TakeoverDriver } from './takeover.js';
import { wait } from './timing.js';
import { WorkEvidence } from './workevidence.js';
import { WorkRouter } from './workrouter.js';
import { ZoneRouter } from './zonerouter.js';

/** One statement more than the slots keeps an instance busy during network round trips. */
const EXTRA_CONCURRENCY = 1;
/** Connections to an instance until the number of VMs that share them is known. */
const INITIAL_SHARE = 1;
/**
 * How long a new service keeps to that share. VMs that start together after a loss of power find
 * few free connections, and each of them needs one.
 */
const INITIAL_SHARE_MS: Millis = 500;
const RECONNECT_DELAY_MS: Millis = 20;

/** Properties and services of a group. */
export interface GroupOptions {
  readonly name: string;
  readonly zone: string;
  readonly clock: Clock;
  /** Clock that includes suspensions of the VM. */
  readonly ageClock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly connector: InstanceConnector;
  readonly suspicion: Suspicion;
  readonly createTakeover: (group: GroupService) => TakeoverDriver;
  /** Number of VMs that share the connections of an instance; undefined while unknown. */
  readonly countVms: () => number | undefined;
  /** True when VMs with different views of the fleet may share the connections for a while. */
  readonly mustReserve: () => boolean;
  /** How long a leaving instance may still receive work. */
  readonly drainMs: Millis;
  /** Budget for reads that leave the zone; undefined when none does so by choice. */
  readonly zoneBudget?: ZoneBudget | undefined;
}

/**
 * Serves one database group: admits work, shares out connections, and drives the group's members,
 * queue and takeovers.
 */
export class GroupService extends GroupAccess {
  readonly samples = new PositionSamples();

  readonly takeover: TakeoverDriver;

  readonly confirmation: CommitConfirmation;

  private readonly members: GroupMembers;

  private readonly dispatcher: Dispatcher;

  private readonly router: WorkRouter;

  private readonly zoneRouter: ZoneRouter | undefined;

  private readonly evidence: WorkEvidence;

  private readonly opener: LeaseOpener;

  private readonly createdAt: Millis;

  private settings: GroupSettings;

  constructor(private readonly options: GroupOptions) {
    super();
    const { name, zone, clock, ageClock, log, metrics, connector, suspicion, drainMs } = options;
    const { samples } = this;
    this.settings = { name, connectionLimit: 1, synchronousReplicas: 0 };
    this.createdAt = clock.readNow();
    this.members = new GroupMembers({
      ...{ group: name, clock, ageClock, log, metrics, connector, suspicion, drainMs },
      isChangingLeader: () => this.takeover.isChangingLeader(clock.readNow()),
      countVms: () => options.countVms() ?? 1,
      onProbeResult: ({ leads, position, sentAt }) => {
        if (leads && position) samples.add({ position, takenAt: sentAt });
        this.dispatcher.handleTick();
      },
      onRemove: (instance) => {
        this.dispatcher.removeInstance(instance);
        this.evidence.remove(instance);
      },
      onReply: (...reply) => this.confirmation.handleReply(...reply),
    });
    this.confirmation = new CommitConfirmation({
      ...{ group: name, clock, log, metrics, connector },
      hasSynchronousReplica: () => this.settings.synchronousReplicas > 0,
      listMembers: () => this.listEligible(),
      readRecord: () => this.takeover.readRecord(),
    });
    this.evidence = new WorkEvidence({ group: name, log, metrics });
    this.zoneRouter =
      options.zoneBudget &&
      new ZoneRouter({ group: name, zone, budget: options.zoneBudget, log, metrics });
    this.router = new WorkRouter(
      {
        ...{ group: name, zone, ageClock, log, metrics, samples },
        listMembers: () => this.listMembers(),
        findLeader: (now) => this.findLeader(now),
        isLeaderNeeded: () => this.dispatcher.isLeaderNeeded(),
        zoneRouter: this.zoneRouter,
        evidence: this.evidence,
      },
      this.createdAt,
    );
    this.dispatcher = new Dispatcher({
      clock,
      findRoute: (request, now) => this.router.route(request, now),
      onStart: (...started) => this.handleStart(...started),
      onRefuse: (refusal) => this.router.logRefusal(refusal),
    });
    this.opener = new LeaseOpener({
      ...{ clock, log, members: this.members, dispatcher: this.dispatcher, router: this.router },
      ...{ confirmation: this.confirmation, evidence: this.evidence },
      zoneRouter: this.zoneRouter,
    });
    this.takeover = options.createTakeover(this);
  }

  get name(): string {
    return this.options.name;
  }

  /** `urgentPriority`: the priority that goes before others, if the group's work differs in rank. */
  updateSettings(settings: GroupSettings, urgentPriority?: number): void {
    this.settings = settings;
    this.dispatcher.updateRanking(urgentPriority);
  }

  listMembers(): readonly Member[] {
    return this.members.list();
  }

  /** Members that count for decisions; an entry that has never answered in time does not. */
  listEligible(): readonly Member[] {
    return this.listMembers().filter(({ id }) => this.takeover.isEligible(id));
  }

  /**
   * Updates the group's instances: adds, changes and removes members. One whose registration has
   * expired stays a member while it answers.
   */
  updateInstances(
    instances: readonly RegisteredInstance[],
    expired: readonly ExpiredInstance[] = [],
  ): void {
    this.members.updateInstances(instances, expired);
  }

  /** Returns the confirmed leader unless its drain time is about to end. */
  findLeader(now: Millis): Member | undefined {
    const leader = this.members.findLeading();
    if (!leader || this.takeover.isBeingReplaced(leader)) return undefined;
    if (this.confirmation.isLeaderDoubted(now)) return undefined;
    return this.members.isDrainEnding(leader.id, now) ? undefined : leader;
  }

  /** Earliest time at which a leaving instance may end; undefined while that is not known. */
  findEarliestEnd(instance: string): Millis | undefined {
    return this.members.findEarliestEnd(instance);
  }

  override async admit(request: WorkRequest): Promise<Lease> {
    const { clock } = this.options;
    for (;;) {
      this.router.checkServable(request, clock.readNow());
      const lease = await this.opener.open(await this.dispatcher.add(request), request);
      if (lease) return lease;
      if (clock.readNow() >= request.deadline) throw new NotRunError('no connection in time');
      await wait(RECONNECT_DELAY_MS);
    }
  }

  handleTick(): void {
    const now = this.options.clock.readNow();
    this.router.handleTick(now);
    this.confirmation.handleTick();
    const share = this.computeShare();
    this.listMembers().forEach((member) => {
      if (member.isExpired && !member.probe.isAlive()) this.members.remove(member);
      else this.updateMember(member, share, now);
    });
    this.takeover.handleTick(now);
    this.dispatcher.handleTick();
  }

  /** Number of instances that answered their last probe. */
  countAnswering(): number {
    return this.listMembers().filter(({ probe }) => probe.isAnswering()).length;
  }

  /** Refuses work that waits and new work; what runs may end. */
  stop(): void {
    this.listMembers().forEach((member) => this.members.remove(member));
    this.dispatcher.stop();
  }

  /** Stops, and ends the waits for the proof of a commit, since the process is about to end. */
  end(): void {
    this.stop();
    this.confirmation.stop();
  }

  private handleStart(...started: Parameters<DispatcherOptions['onStart']>): void {
    const [request, instance] = started;
    const member = this.members.find(instance);
    const isBounded = request.kind === 'read' && request.contract.maxAgeMs > 0;
    const now = this.options.clock.readNow();
    if (member && isBounded) this.zoneRouter?.handleStart(member, now);
    if (member && isBounded) this.evidence.handleStart(member, now);
    this.router.logRoute(...started);
  }

  /** This proxy's share of an instance's connections. */
  private computeShare(): number {
    const vms = this.options.countVms();
    const isNew = this.options.clock.readNow() - this.createdAt < INITIAL_SHARE_MS;
    if (vms === undefined || isNew) return INITIAL_SHARE;
    return computeConnectionShare(this.settings.connectionLimit, vms, this.options.mustReserve());
  }

  /** Starts a due probe of a member and updates its connections and capacity. */
  private updateMember(member: Member, share: number, now: Millis): void {
    member.probe.handleTick(now);
    const limit = member.computeLimit(share, now);
    member.pool.updateLimit(limit);
    if (member.isUsable()) member.pool.warmUp(Math.min(WARM_CONNECTIONS, limit));
    this.dispatcher.updateCapacity(member.id, this.computeCapacity(member, limit));
  }

  /** Each home may always use its share of the slots, so that a slow instance stays in use. */
  private computeCapacity(member: Member, limit: number): Capacity {
    const { slots } = member.instance;
    const least = Math.ceil(slots / Math.max(1, this.options.countVms() ?? 1));
    const most = Math.min(limit, slots + EXTRA_CONCURRENCY);
    const concurrency = this.dispatcher.chooseConcurrency(member.id, { least, most });
    return { connections: limit, concurrency, longPermits: Math.max(1, slots - 1) };
  }
}
