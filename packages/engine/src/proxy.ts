import { type Clock, InstanceRoster, type Millis, RetryBudgets } from '@shallotpick/core';
import type { IdleCloseReason } from './closereporter.js';
import type { ConfigurationHolder, ServiceConfiguration } from './configuration.js';
import type { ConfigurationVerifier, ProofDescription } from './configurationverifier.js';
import type { GroupAccess } from './access.js';
import type { GroupDirectory } from './directory.js';
import type { Fleet } from './fleet.js';
import type { Forwarding, HomeStatus } from './forwarding.js';
import { CallerIdentity } from './identity.js';
import { findLostZones, IsolationMonitor } from './isolation.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import type { Placement } from './placement.js';
import type { OperationQuota } from './operationquota.js';
import { Session } from './session.js';
import { SHUTTING_DOWN, type ShutdownSchedule } from './shutdown.js';
import { wait } from './timing.js';

const TICK_MS: Millis = 25;
/** In a large fleet each VM has less work per tick, so it ticks less often. */
const LARGE_FLEET = 16;
const LARGE_FLEET_TICK_MS: Millis = 50;
const SESSION_TICK_MS: Millis = 250;
/** Retries add at most `ratio` to the load; `capacity` covers the burst of a failover. */
const RETRY_BUDGETS = {
  total: { ratio: 0.3, capacity: 200 },
  /** No organisation uses up the retries of the others. */
  organisation: { ratio: 0.3, capacity: 50 },
};
/** Time until the load balancer notices that this VM isn't ready and sends no new callers. */
const BALANCER_DELAY_MS: Millis = 2_300;
/** A VM that doesn't reach most instances for this long reports that it isn't ready. */
const ISOLATION_LIMIT_MS: Millis = 150;
const DRAIN_POLL_MS: Millis = 20;

/** Protocol-independent view of a caller's connection. */
export interface CallerHandle {
  readonly session: Session;
  /** True when no request is in progress and none has arrived for a short while. */
  isQuiescent(): boolean;
  close(reason: IdleCloseReason): void;
}

/** Services of a proxy. */
export interface ProxyOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly configuration: ConfigurationHolder;
  readonly fleet: Fleet;
  readonly placement: Placement;
  readonly groups: GroupDirectory;
  readonly quota: OperationQuota;
  readonly verifier: ConfigurationVerifier;
  /** Absent when this VM serves every group itself. */
  readonly forwarding: Forwarding | undefined;
  readonly shutdown: ShutdownSchedule;
  /** True while the registry of instances is reachable. */
  readonly isRegistryReachable: () => boolean;
}

/** One proxy process: its callers' connections and database groups. */
export class Proxy {
  readonly roster: InstanceRoster;

  private readonly callers = new Set<CallerHandle>();

  private nextCaller = 1;

  private readonly retries = new RetryBudgets(RETRY_BUDGETS);

  private tickTimer: NodeJS.Timeout | undefined;

  private sessionTimer: NodeJS.Timeout | undefined;

  private isRosterChanged = false;

  private readonly isolation: IsolationMonitor;

  /** Zones without an answering instance; their VMs are probably partitioned as well. */
  private lostZones: ReadonlySet<string> = new Set();

  constructor(private readonly options: ProxyOptions) {
    this.roster = new InstanceRoster(() => {
      this.isRosterChanged = true;
    });
    const { clock, log, groups } = options;
    this.isolation = new IsolationMonitor({
      ...{ clock, log, groups },
      areKeysUsable: () => this.areKeysUsable(),
    });
    options.configuration.addListener((next) => this.handleConfiguration(next));
  }

  async start(): Promise<void> {
    await this.options.forwarding?.start();
    this.sessionTimer = setInterval(() => this.handleSessionTick(), SESSION_TICK_MS);
    this.scheduleTick();
  }

  /** True when the load balancer may send new callers to this VM. */
  isReady(): boolean {
    if (this.isDraining() || !this.options.configuration.read()) return false;
    return !this.isolation.hasLasted(ISOLATION_LIMIT_MS);
  }

  isDraining(): boolean {
    return this.options.shutdown.hasStarted();
  }

  /**
   * Why callers are asked to close their connections between two operations, so that they come back
   * at another VM; undefined while they aren't. The load balancer sends no new ones by then.
   */
  findCloseReason(): IdleCloseReason | undefined {
    if (this.isDraining()) return 'drain';
    const isCut = this.isolation.hasLasted(ISOLATION_LIMIT_MS + BALANCER_DELAY_MS);
    return isCut ? 'isolation' : undefined;
  }

  findGroup(name: string): GroupAccess | undefined {
    return this.options.groups.find(name);
  }

  /** True when this VM serves the group itself. */
  isHomeOf(group: string): boolean {
    return this.options.groups.findLocal(group) !== undefined;
  }

  /** Whether this VM can serve work that other VMs pass on to it. */
  readHomeStatus(): HomeStatus {
    return { isIsolated: this.isolation.isHomeIsolated, isDraining: this.isDraining() };
  }

  /** Creates the session of a caller; `key` is what the caller gave to identify itself. */
  createSession(database: string, key: string): Session {
    const { clock, log, metrics, configuration, quota, shutdown } = this.options;
    const caller = this.nameCaller(key);
    const identity = this.identify(key);
    return new Session({
      ...{ database, caller, identity, clock, log, metrics, configuration, quota },
      describeProof: () => this.describeProof(),
      requestProof: () => this.options.verifier.requestProof(),
      shutdown,
      findGroup: (name) => this.findGroup(name),
      retries: this.retries,
    });
  }

  /** The version of the configuration in force and its proof, for the log. */
  describeProof(): ProofDescription {
    return this.options.verifier.describeProof();
  }

  /** Waits for a proof by which callers may be refused; false when there is none in time. */
  async proveConfiguration(limitMs: Millis): Promise<boolean> {
    return this.options.verifier.prove(limitMs);
  }

  /** Identifies a caller by the key that it gave. */
  identify(key: string): CallerIdentity {
    const { configuration, verifier } = this.options;
    return new CallerIdentity(key, configuration, () => verifier.areKeysInForce());
  }

  addCaller(caller: CallerHandle): void {
    this.callers.add(caller);
    this.options.metrics.callers.set(this.callers.size);
  }

  removeCaller(caller: CallerHandle): void {
    this.callers.delete(caller);
    this.options.metrics.callers.set(this.callers.size);
  }

  /**
   * Shuts the proxy down gracefully within `graceMs`: reports not ready at once, answers requests
   * in flight, and closes sessions when they become idle. What the sessions still run is their
   * decision, by the same schedule.
   */
  async drain(graceMs: Millis): Promise<void> {
    const { log, shutdown } = this.options;
    shutdown.start(graceMs);
    log.info('draining', { callers: this.callers.size, graceMs });
    for (;;) {
      this.callers.forEach((caller) => this.drainCaller(caller));
      const held = this.options.forwarding?.countLeases() ?? 0;
      const isDone = this.callers.size + held === 0 && this.hasBalancerNoticed();
      if (isDone || shutdown.isOver()) break;
      await wait(DRAIN_POLL_MS);
    }
    this.stop();
  }

  /** Ends what runs, each request with an answer; sessions run nothing more. */
  stop(): void {
    this.options.shutdown.stop();
    clearTimeout(this.tickTimer);
    clearInterval(this.sessionTimer);
    this.options.fleet.stop();
    this.callers.forEach((caller) => {
      caller.session.stop();
      caller.close('stop');
    });
    this.options.forwarding?.stop();
    this.options.groups.end();
    this.options.log.info('stopped', { callers: this.callers.size });
  }

  /**
   * Closes an idle caller once the load balancer sends no new ones, and aborts a transaction whose
   * time to end is over. A caller that doesn't pause is met by its session and by the protocol
   * adapter, which closes the connection right after an answer, when no request can be in flight.
   */
  private drainCaller(caller: CallerHandle): void {
    if (!caller.isQuiescent()) return;
    if (!caller.session.isIdle()) {
      if (this.options.shutdown.areTransactionsOver()) caller.session.abort(SHUTTING_DOWN);
    } else if (this.hasBalancerNoticed()) caller.close('drain');
  }

  /** True once the load balancer sends no new callers to a VM that shuts down. */
  private hasBalancerNoticed(): boolean {
    return this.options.shutdown.measureElapsed() >= BALANCER_DELAY_MS;
  }

  /** The name that a caller gave, or one of this VM's own where that is a secret key. */
  private nameCaller(key: string): string {
    if (!this.options.configuration.read()?.organisations) return key;
    const caller = `caller-${this.nextCaller}`;
    this.nextCaller += 1;
    return caller;
  }

  private handleConfiguration(next: ServiceConfiguration): void {
    const { metrics, groups } = this.options;
    metrics.configurationVersion.set(next.version);
    groups.updateConfiguration(next);
    this.isRosterChanged = true;
  }

  private scheduleTick(): void {
    const isLarge = (this.options.fleet.countLiveVms() ?? 0) >= LARGE_FLEET;
    this.tickTimer = setTimeout(
      () => {
        this.scheduleTick();
        this.handleTick();
      },
      isLarge ? LARGE_FLEET_TICK_MS : TICK_MS,
    );
  }

  private handleTick(): void {
    const { clock, placement, groups, forwarding, isRegistryReachable, verifier } = this.options;
    verifier.handleTick();
    if (groups.handleTick()) this.isRosterChanged = true;
    this.roster.handleTick(clock.readNow(), isRegistryReachable());
    this.applyRoster();
    this.isolation.handleTick();
    const local = groups.listLocal();
    this.lostZones = findLostZones(local.flatMap((group) => group.listEligible()));
    local.forEach((group) => {
      group.takeover.updateRank(placement.findRank(group.name, this.lostZones));
      group.handleTick();
    });
    forwarding?.handleTick();
  }

  /** Applies changes of the registered instances to the groups. */
  applyRoster(): void {
    if (!this.isRosterChanged) return;
    this.isRosterChanged = false;
    const { roster } = this;
    this.options.groups.listLocal().forEach((group) => {
      group.updateInstances(roster.listGroup(group.name), roster.listExpired(group.name));
    });
  }

  private areKeysUsable(): boolean {
    const { configuration, verifier } = this.options;
    return !configuration.read()?.organisations || verifier.areKeysInForce();
  }

  private handleSessionTick(): void {
    const now = this.options.clock.readNow();
    if (this.findCloseReason() === 'isolation') {
      this.callers.forEach((caller) => {
        if (caller.isQuiescent() && caller.session.isIdle()) caller.close('isolation');
      });
    }
    this.callers.forEach((caller) => caller.session.handleTick(now));
  }
}
