import {
  type AdmissionDecision,
  AdmissionQueue,
  chooseLater,
  type Clock,
  formatPosition,
  type LogPosition,
  type Millis,
  PositionSamples,
  type RegisteredInstance,
  type Route,
  Router,
  type RouteRequest,
  type Work,
} from '@shallotpick/core';
import type { GroupSettings } from './configuration.js';
import type { InstanceConnection, InstanceConnector } from './connection.js';
import { NotRunError } from './errors.js';
import type { Log } from './log.js';
import { InstancePool, Member, WARM_CONNECTIONS } from './member.js';
import type { Metrics } from './metrics.js';
import { InstanceProbe } from './probe.js';
import type { TakeoverDriver } from './takeover.js';
import { wait } from './timing.js';
import { type SessionFloor, VerifiedView } from './view.js';

const MAX_QUEUED = 2_000;
/** Statements beyond the slots keep an instance busy while replies travel. */
const EXTRA_CONCURRENCY = 1;
/** Part of the allowed age that is left to the time a read waits and travels. */
const AGE_MARGIN = 0.15;
/** Connections to an instance until it is known how many VMs share them. */
const FIRST_SHARE = 2;
/** Part above the own share that may be used while the instance has room. */
const LENT_PART = 0.5;
const RECONNECT_DELAY_MS: Millis = 20;
/** Usual time from the loss of a leader until the next one takes writes. */
const FAILOVER_MS: Millis = 1_500;
/** Usual time from the start of a process until it reaches the instances. */
const START_MS: Millis = 600;
/** A leaving leader is asked for nothing new in the last part of its time. */
const LEAVING_MARGIN_MS: Millis = 2_000;

/** What a piece of work needs. */
export interface WorkRequest extends Omit<RouteRequest, 'floor'> {
  readonly requestId: string;
  readonly caller: string;
  readonly deadline: Millis;
  readonly priority: number;
  /** The session's last commit, when the work must see it. */
  readonly sessionFloor: SessionFloor | undefined;
  /** Instances that have just refused this work. */
  readonly excluded: ReadonlySet<string>;
}

/** A connection that is bound to one request or transaction. */
export interface Lease {
  readonly instance: string;
  readonly connection: InstanceConnection;
  readonly isLeader: boolean;
  /** Position that the instance must prove with a read; undefined: the lead must be proven. */
  readonly after: LogPosition | undefined;
  /** Expected time of one statement. */
  readonly latencyMs: Millis;
  /** Tells that a statement starts or has ended, while the lease is kept. */
  update(isBusy: boolean): void;
  /** May be called more than once. */
  release(): void;
}

export interface GroupOptions {
  readonly name: string;
  readonly zone: string;
  readonly clock: Clock;
  /** Counts suspensions of the VM. */
  readonly ageClock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly connector: InstanceConnector;
  readonly createTakeover: (group: GroupService) => TakeoverDriver;
  /** VMs that share the connections of an instance. */
  readonly countVms: () => number | undefined;
  /** How long a leaving instance may be sent work. */
  readonly drainMs: Millis;
}

interface Pending {
  readonly request: WorkRequest;
  readonly addedAt: Millis;
  readonly resolve: (instance: string) => void;
  readonly reject: (error: Error) => void;
}

/** Serves one database group: its instances, queue, connections and changes of the leader. */
export class GroupService {
  readonly samples = new PositionSamples();

  readonly takeover: TakeoverDriver;

  private readonly members = new Map<string, Member>();

  private readonly queue: AdmissionQueue;

  private readonly pending = new Map<number, Pending>();

  private readonly router: Router;

  private readonly leavingSince = new Map<string, Millis>();

  private nextWork = 1;

  private leaderLostAt: Millis;

  private settings: GroupSettings;

  constructor(private readonly options: GroupOptions) {
    const { name, zone, clock } = options;
    this.settings = { name, connectionLimit: 1, synchronousReplicas: 0 };
    this.router = new Router(zone);
    this.leaderLostAt = clock.readNow() - FAILOVER_MS + START_MS;
    this.queue = new AdmissionQueue({
      maxQueued: MAX_QUEUED,
      findRoute: (work, now) => this.findRoute(work, now),
    });
    this.takeover = options.createTakeover(this);
  }

  get name(): string {
    return this.options.name;
  }

  updateSettings(settings: GroupSettings): void {
    this.settings = settings;
  }

  listMembers(): readonly Member[] {
    return [...this.members.values()];
  }

  /** Replaces the instances of the group. */
  updateInstances(instances: readonly RegisteredInstance[]): void {
    const ids = new Set(instances.map(({ id }) => id));
    this.members.forEach((member, id) => {
      if (!ids.has(id)) this.removeMember(member);
    });
    instances.forEach((instance) => this.updateMember(instance));
  }

  /** The instance that proves its lead and may take new work. */
  findLeader(now: Millis): Member | undefined {
    const leader = this.listMembers().find(({ probe }) => probe.leads);
    if (!leader) return undefined;
    const since = this.leavingSince.get(leader.id);
    const isOver = since !== undefined && now - since >= this.options.drainMs - LEAVING_MARGIN_MS;
    return isOver ? undefined : leader;
  }

  /** A statement was refused because the instance no longer leads. */
  handleLeadLost(instance: string): void {
    this.members.get(instance)?.probe.removeLead();
  }

  addLatency(instance: string, tookMs: Millis): void {
    this.members.get(instance)?.addLatency(tookMs, this.options.clock.readNow());
  }

  /**
   * Waits for a slot and a connection.
   *
   * @throws NotRunError when none comes in time; nothing ran.
   */
  async admit(request: WorkRequest): Promise<Lease> {
    const { clock } = this.options;
    for (;;) {
      const now = clock.readNow();
      this.checkProspect(request, now);
      const work = this.createWork(request);
      const instance = await new Promise<string>((resolve, reject) => {
        this.pending.set(work.id, { request, addedAt: now, resolve, reject });
        this.runDecisions(this.queue.add(work, now));
      });
      const lease = await this.openLease(work, request, instance);
      if (lease) return lease;
      if (clock.readNow() >= request.deadline) throw new NotRunError('no connection in time');
      await wait(RECONNECT_DELAY_MS);
    }
  }

  handleTick(): void {
    const now = this.options.clock.readNow();
    if (this.findLeader(now)) this.leaderLostAt = now;
    const share = this.findShare();
    this.members.forEach((member) => {
      const limit = member.findLimit(share, now);
      member.pool.updateLimit(limit);
      if (member.isUsable()) member.pool.openAhead(Math.min(WARM_CONNECTIONS, limit));
      const concurrency = Math.min(limit, member.instance.slots + EXTRA_CONCURRENCY);
      const capacity = { connections: limit, concurrency, longPermits: 0 };
      this.runDecisions(this.queue.updateCapacity(member.id, capacity, now));
    });
    this.takeover.handleTick(now);
    this.runDecisions(this.queue.handleTick(now));
  }

  /** True when instances of the group answer this VM. */
  countAnswering(): number {
    return this.listMembers().filter(({ probe }) => probe.health === 'answering').length;
  }

  stop(): void {
    this.members.forEach((member) => this.removeMember(member));
    this.pending.forEach(({ reject }) => reject(new NotRunError('the proxy stops')));
    this.pending.clear();
  }

  /** This proxy's part of an instance's connections, and some that others leave unused. */
  private findShare(): number {
    const vms = this.options.countVms();
    if (vms === undefined) return FIRST_SHARE;
    const share = Math.max(1, Math.floor(this.settings.connectionLimit / vms));
    return share + Math.max(1, Math.floor(share * LENT_PART));
  }

  /** Refuses at once what no instance is expected to serve in time. */
  private checkProspect(request: WorkRequest, now: Millis): void {
    if (this.createRoute(request, now).kind === 'instances') return;
    const remaining = Math.max(0, this.leaderLostAt + FAILOVER_MS - now);
    const isHopeless = now + remaining >= request.deadline || now - this.leaderLostAt > FAILOVER_MS;
    if (isHopeless) throw new NotRunError('no instance can serve this now');
  }

  private createWork(request: WorkRequest): Work {
    const { kind, contract, caller, deadline, priority } = request;
    const lane = kind === 'write' || contract.maxAgeMs <= 0 ? 'leader' : 'any';
    const id = this.nextWork;
    this.nextWork += 1;
    return { id, caller, length: 'short', deadline, lane, priority };
  }

  private findRoute(work: Work, now: Millis): Route {
    const request = this.pending.get(work.id)?.request;
    return request ? this.createRoute(request, now) : { kind: 'wait', reason: 'withdrawn' };
  }

  private createRoute(request: WorkRequest, now: Millis): Route {
    const { after, aged } = this.findPositions(request);
    const { sessionFloor, excluded } = request;
    const leader = this.findLeader(now);
    const members = this.listMembers();
    const view = new VerifiedView({ members, leader, after, aged, sessionFloor, excluded, now });
    const floor = after ?? { term: 0, offset: 0 };
    return this.router.route({ ...request, floor }, view, now);
  }

  /** The position that makes data young enough, and the one that the session needs as well. */
  private findPositions({ kind, contract, sessionFloor }: WorkRequest): {
    readonly aged: LogPosition | undefined;
    readonly after: LogPosition | undefined;
  } {
    if (kind === 'write' || contract.maxAgeMs <= 0) return { aged: undefined, after: undefined };
    const since = this.options.ageClock.readNow() - contract.maxAgeMs * (1 - AGE_MARGIN);
    const aged = this.samples.findSince(since)?.position;
    if (!aged) return { aged: undefined, after: undefined };
    return { aged, after: sessionFloor ? chooseLater(aged, sessionFloor.position) : aged };
  }

  private updateMember(instance: RegisteredInstance): void {
    const { clock, log } = this.options;
    const known = this.members.get(instance.id);
    const isRestarted = known && known.instance.startedAt !== instance.startedAt;
    if (known && !isRestarted) {
      known.instance = instance;
    } else {
      if (known) this.removeMember(known);
      this.addMember(instance);
    }
    if (!instance.leaving) {
      this.leavingSince.delete(instance.id);
    } else if (!this.leavingSince.has(instance.id)) {
      this.leavingSince.set(instance.id, clock.readNow());
      log.info('instance leaving', { instance: instance.id, group: this.name });
    }
    const member = this.members.get(instance.id);
    member?.pool.updateLeaving(instance.leaving === true && !member.probe.leads);
  }

  private addMember(instance: RegisteredInstance): void {
    const { connector, clock, ageClock, log } = this.options;
    log.info('instance added', { instance: instance.id, group: this.name, zone: instance.zone });
    const pool = new InstancePool(connector, instance, clock);
    const probe = new InstanceProbe({
      ...{ instance, pool, clock, ageClock, log },
      isUrgent: () => this.takeover.isChanging(clock.readNow()),
      onResult: ({ leads, position, sentAt }) => {
        if (leads && position) this.samples.add({ position, takenAt: sentAt });
        this.runDecisions(this.queue.handleTick(clock.readNow()));
      },
    });
    this.members.set(instance.id, new Member(instance, { pool, probe }));
    probe.start();
  }

  private removeMember(member: Member): void {
    this.options.log.info('instance removed', { instance: member.id, group: this.name });
    member.probe.stop();
    member.probe.removeLead();
    member.pool.drain();
    this.members.delete(member.id);
    this.leavingSince.delete(member.id);
    const none = { connections: 0, concurrency: 0, longPermits: 0 };
    this.runDecisions(this.queue.updateCapacity(member.id, none, this.options.clock.readNow()));
  }

  private async openLease(
    work: Work,
    request: WorkRequest,
    instance: string,
  ): Promise<Lease | undefined> {
    const member = this.members.get(instance);
    const { clock, log } = this.options;
    if (!member) {
      this.runDecisions(this.queue.handleDone(instance, work, clock.readNow()));
      return undefined;
    }
    member.running += 1;
    try {
      const connection = member.pool.takeIdle() ?? (await member.pool.connect());
      return this.createLease(work, request, member, connection);
    } catch (error) {
      member.running -= 1;
      member.handleConnectFailure(error, clock.readNow());
      log.info('connect failed', { request: request.requestId, instance, error: String(error) });
      this.runDecisions(this.queue.handleDone(instance, work, clock.readNow()));
      return undefined;
    }
  }

  private createLease(
    work: Work,
    request: WorkRequest,
    member: Member,
    connection: InstanceConnection,
  ): Lease {
    const { clock } = this.options;
    const current = member;
    let state: 'running' | 'idle' | 'released' = 'running';
    const { after } = this.findPositions(request);
    return {
      instance: member.id,
      connection,
      isLeader: member.probe.leads,
      after,
      latencyMs: member.readLatency(clock.readNow()),
      update: (isBusy) => {
        const next = isBusy ? 'running' : 'idle';
        if (state === 'released' || state === next) return;
        state = next;
        current.running += isBusy ? 1 : -1;
        if (isBusy) this.queue.handleBusy(member.id, work);
        else this.runDecisions(this.queue.handleIdle(member.id, work, clock.readNow()));
      },
      release: () => {
        if (state === 'released') return;
        const isIdle = state === 'idle';
        state = 'released';
        if (!isIdle) current.running -= 1;
        member.pool.release(connection);
        this.runDecisions(this.queue.handleDone(member.id, work, clock.readNow(), isIdle));
      },
    };
  }

  private runDecisions(decisions: readonly AdmissionDecision[]): void {
    decisions.forEach((decision) => {
      const { work, reason } = decision;
      const pending = this.pending.get(work.id);
      this.pending.delete(work.id);
      if (decision.kind === 'refuse') {
        pending?.reject(new NotRunError(reason));
        return;
      }
      if (!pending) {
        this.runDecisions(
          this.queue.handleDone(decision.instance, work, this.options.clock.readNow()),
        );
        return;
      }
      this.logRoute(pending, decision.instance, reason);
      pending.resolve(decision.instance);
    });
  }

  /** Logs a routing decision with what decided it and how old that was. */
  private logRoute({ request, addedAt }: Pending, instance: string, reason: string): void {
    const { log, metrics, clock, ageClock } = this.options;
    const { requestId, kind, contract } = request;
    metrics.statements.inc({ target: reason.startsWith('replica') ? 'replica' : 'leader' });
    const { after } = this.findPositions(request);
    const newest = this.samples.readLatest();
    log.info('route', {
      ...{ request: requestId, group: this.name, kind, maxAgeMs: contract.maxAgeMs },
      ...{ instance, reason, waitedMs: Math.round(clock.readNow() - addedAt) },
      ...(after ? { after: formatPosition(after) } : {}),
      ...(newest ? { leaderSeenMsAgo: Math.round(ageClock.readNow() - newest.takenAt) } : {}),
    });
  }
}
