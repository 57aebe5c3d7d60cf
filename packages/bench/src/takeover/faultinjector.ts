import { match } from 'ts-pattern';
import type { Random } from '../random.js';
import { ArmedFaults } from './armedfaults.js';
import type { VirtualClock } from './clock.js';
import type { SyncGroup } from './group.js';
import type { InstanceReports } from './instancereports.js';
import { LeavingFaults } from './leavingfaults.js';
import { OutageFaults } from './outagefaults.js';
import type { SimulatedPlatform } from './platform.js';
import { PlatformFaults } from './platformfaults.js';
import { RestartFaults } from './restartfaults.js';
import { MAX_STORE_CUT_MS } from './runsettings.js';
import type { TakeoverFault } from './scenario.js';
import type { SyncInstance } from './syncinstance.js';
import type { SimulatedVm } from './vm.js';
import { VmFaults } from './vmfaults.js';

const STEP_MS = 10;
/** A fault that cuts an instance from the store lasts so many times longer than others. */
const STORE_CUT_FACTOR = 4;
/** Faults of a leader and of a replica that share a kind are told apart by picks below and from. */
const REPLICA_PICK = 3;
/** A VM that stands still at a claim does so after fewer other claims than this. */
const SKIPPED_CLAIMS = 3;

/** What faults affect. */
export interface FaultTargets {
  readonly group: SyncGroup;
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly platform: SimulatedPlatform;
  readonly vms: readonly SimulatedVm[];
  readonly reports: InstanceReports;
  /** As in the settings of the run. */
  readonly hasOutages: boolean;
}

const isReplica = ({ isLeader }: SyncInstance): boolean => !isLeader;
const isStaying = ({ leaving }: SyncInstance): boolean => !leaving;

/** Starts the faults of a scenario, by their kind. */
export class FaultInjector {
  private readonly restarts: RestartFaults;

  private readonly leaving: LeavingFaults;

  private readonly outages: OutageFaults;

  private readonly armed: ArmedFaults;

  private readonly vmFaults: VmFaults;

  private readonly platformFaults: PlatformFaults;

  constructor(private readonly targets: FaultTargets) {
    const { group, clock, random, platform, vms, reports, hasOutages } = targets;
    this.restarts = new RestartFaults(group, clock, reports, vms);
    this.leaving = new LeavingFaults(group, clock, random, this.restarts, hasOutages);
    this.outages = new OutageFaults(group, clock, random, this.restarts);
    this.armed = new ArmedFaults(group, clock, random, this.restarts);
    this.vmFaults = new VmFaults(vms, clock, random);
    this.platformFaults = new PlatformFaults(platform, clock);
  }

  /** Lets the faults that wait for a new leader see the present one. */
  handleStep(now: number): void {
    this.armed.handleStep(now);
  }

  /** Lets the faults that wait for an order to promote see one that is about to be sent. */
  handleOrder(instance: string): void {
    this.armed.handleOrder(instance);
  }

  /** Lets the faults that wait for a claim see one that is about to be sent. */
  handleClaim(vm: SimulatedVm): void {
    this.armed.handleClaim(vm);
  }

  /** Starts a fault. */
  inject({ kind, duration, pick }: TakeoverFault): void {
    const { restarts, leaving, outages, armed, vmFaults, platformFaults } = this;
    const leader = this.targets.group.findLeader();
    match(kind)
      .with('crashLeader', () => leader && this.crash(leader, duration))
      .with('crashReplica', () => this.crash(this.pickReplica(pick), duration))
      .with('cutLeaderFromVms', () => leader && vmFaults.cutFromInstance(leader, pick, duration))
      .with('cutLeaderFromReplicas', () => this.cutFromReplicas(duration))
      .with('markLeaderLeaving', () => leader && leaving.mark(leader, duration))
      .with('replaceLeader', () => leader && leaving.replace(leader, duration))
      .with('replaceReplica', () => leaving.replace(this.pickReplica(pick), duration))
      .with('crashLeaving', () => leaving.crashLeaving(duration, pick))
      .with('deafReplica', () => restarts.deafen(this.pickReplica(pick), duration))
      .with('leaveBesideDeafReplica', () => this.leaveBesideDeafReplica(duration, pick))
      .with('deafReplicas', () =>
        this.listReplicas().forEach((one) => restarts.deafen(one, duration)),
      )
      .with('restartReplicaEmpty', () =>
        restarts.restartEmpty(restarts.pickInstance(pick, isReplica), duration),
      )
      .with('restartLeaderEmpty', () => restarts.restartEmpty(leader, duration))
      .with('restartEmptyLate', () =>
        restarts.restartEmptyAfter(restarts.pickInstance(pick, isStaying), duration),
      )
      .with('restartUnderNewId', () =>
        restarts.restartUnderNewId(restarts.pickInstance(pick, isStaying), duration),
      )
      .with('cutInstanceFromStore', () => this.cutInstanceFromStore(duration, pick))
      .with('loseOnlyHolder', () => restarts.dropHolderLog(duration, pick))
      .with('loseLeaderLog', () => restarts.dropLeaderLog(duration, pick))
      .with('cutOnlyHolder', () => restarts.cutOnlyHolder(duration, pick))
      .with('losePower', () => outages.losePower(duration))
      .with('loseLogsInTakeover', () => outages.loseLogsInTakeover(duration, pick))
      .with('restartCandidate', () => armed.restartCandidate(duration, pick % 2 === 0))
      .with('restartInPromotion', () => armed.restartInPromotion(duration, pick))
      .with('splitVm', () => leader && this.splitVm(leader, duration, pick))
      .with('delayStore', () => vmFaults.delayStore(pick, duration))
      .with('crashNewLeader', () => armed.crashNewLeader(duration, pick % 2 === 0))
      .with('changeLeaderTwice', () => {
        armed.crashNewLeader(duration, pick % 2 === 0);
        if (leader && pick < REPLICA_PICK) this.crash(leader, duration);
        else if (leader) leaving.replace(leader, duration);
      })
      .with('staleLists', () => vmFaults.delayLists(pick, duration))
      .with('freezeClaimant', () => armed.freezeClaimant(duration, pick % SKIPPED_CLAIMS))
      .with('pauseVm', () => vmFaults.pause(pick, duration))
      .with('killVm', () => vmFaults.kill(pick))
      .with('killAllVms', () => vmFaults.killAll())
      .with('cutVmFromStore', () => vmFaults.cutFromStore(pick, duration))
      .with('storeDown', () => platformFaults.set('isDown', duration))
      .with('restoreStore', () => platformFaults.restore(duration, pick))
      .with('loseStoreAnswers', () => platformFaults.set('losesAnswers', duration))
      .with('loseOrders', () => platformFaults.set('losesOrders', duration))
      .with('losePromotions', () => platformFaults.set('losesPromotions', duration))
      .with('delayPromotions', () => platformFaults.set('delaysPromotions', duration))
      .exhaustive();
  }

  private listReplicas(): readonly SyncInstance[] {
    return this.targets.group.instances.filter(isReplica);
  }

  private pickReplica(pick: number): SyncInstance {
    const replicas = this.listReplicas();
    return replicas[pick % replicas.length]!;
  }

  private crash(instance: SyncInstance, duration: number): void {
    const { group, clock, hasOutages } = this.targets;
    if (hasOutages && !instance.isAlive) return;
    group.crash(instance);
    clock.schedule(duration, () => group.restart(instance));
  }

  private cutFromReplicas(duration: number): void {
    const { group, clock } = this.targets;
    group.isLeaderPartitioned = true;
    clock.schedule(duration, () => Object.assign(group, { isLeaderPartitioned: false }));
  }

  /**
   * Cuts a VM from the store and the others from the leader, and restarts an instance while the
   * promotion that follows is in progress.
   */
  private splitVm(leader: SyncInstance, duration: number, pick: number): void {
    this.vmFaults.split(leader, pick, duration);
    this.armed.restartInPromotion(duration, pick);
  }

  private cutInstanceFromStore(duration: number, pick: number): void {
    const instance = this.restarts.pickInstance(pick, () => true);
    const cutMs = Math.min(duration * STORE_CUT_FACTOR, MAX_STORE_CUT_MS);
    if (instance) this.targets.reports.cutFromStore(instance, cutMs);
  }

  private leaveBesideDeafReplica(duration: number, pick: number): void {
    const leader = this.targets.group.findLeader();
    if (leader) this.leaving.replace(leader, duration);
    // The VMs choose a successor within this time after the leader was marked.
    this.targets.clock.schedule(pick * STEP_MS, () =>
      this.restarts.deafen(this.pickReplica(pick), duration),
    );
  }
}
