import {
  type SuccessorSelector,
  type InstanceView,
  type TakeoverAction,
  TakeoverCoordinator,
} from '@shallotpick/core';
import { match, P } from 'ts-pattern';
import type { SyncGroup, SyncInstance } from './group.js';
import type { SimulatedPlatform } from './platform.js';
import type { VirtualClock } from './clock.js';

const PROBE_MS = 150;
const SILENCE_MS = 500;
const RECORD_LAG_MS = 20;
/** The list of instances is followed with this delay at most, longer than a record is read. */
const LIST_MS = 1_000;
const ANSWER_MS = 40;

interface Probed {
  readonly answeredAt: number;
  readonly since: number;
  readonly health: InstanceView['health'];
  readonly leads: boolean;
  readonly position: InstanceView['position'];
}

export interface SimulatedVmOptions {
  readonly id: string;
  readonly rank: number;
  readonly clock: VirtualClock;
  readonly group: SyncGroup;
  readonly platform: SimulatedPlatform;
  readonly createAttempt: () => string;
  readonly createLedger: () => SuccessorSelector;
}

/** One VM with its coordinator; it sees the world through probes, a watch and answers. */
export class SimulatedVm {
  isPaused = false;

  isCutFromStore = false;

  /** Instances that do not answer this VM. */
  readonly unreachable = new Set<string>();

  private coordinator: TakeoverCoordinator;

  private readonly probed = new Map<string, Probed>();

  private seenVersion = -1;

  /** The instances that the store has last told of. */
  private roster: readonly SyncInstance[] = [];

  private listedAt = Number.NEGATIVE_INFINITY;

  private epoch = 0;

  private readonly held: (() => void)[] = [];

  constructor(private readonly options: SimulatedVmOptions) {
    this.coordinator = this.createCoordinator();
  }

  /** A new process, which knows nothing. */
  restart(): void {
    this.epoch += 1;
    this.seenVersion = -1;
    this.probed.clear();
    this.roster = [];
    this.listedAt = Number.NEGATIVE_INFINITY;
    this.held.length = 0;
    this.coordinator = this.createCoordinator();
  }

  /** True when the VM can send an instance writes. */
  canReach(instance: string): boolean {
    return !this.isPaused && !this.unreachable.has(instance);
  }

  resume(): void {
    this.isPaused = false;
    this.held.splice(0).forEach((run) => run());
  }

  handleTick(now: number): void {
    if (this.isPaused) return;
    this.watchRecord(now);
    this.watchRegistry();
    const views = this.roster.map((one) => this.probe(one, now));
    this.runActions(this.coordinator.handleTick(views, now));
  }

  private createCoordinator(): TakeoverCoordinator {
    const { id: vm, rank, createAttempt, createLedger } = this.options;
    const coordinator = new TakeoverCoordinator(
      { group: 'group', vm, createAttempt },
      createLedger(),
    );
    coordinator.updateRank(rank);
    return coordinator;
  }

  /** Delivers to the process of now: later when it is frozen, never when it has restarted. */
  private deliver(run: () => void): () => void {
    const { epoch } = this;
    return () => {
      if (epoch !== this.epoch) return;
      if (this.isPaused) this.held.push(run);
      else run();
    };
  }

  private watchRecord(now: number): void {
    const { platform, clock: timeline } = this.options;
    const { version, record } = platform;
    if (this.isCutFromStore || platform.isDown || version === this.seenVersion) return;
    this.seenVersion = version;
    const run = this.deliver(() =>
      this.runActions(this.coordinator.handleRecord(record, version, timeline.now)),
    );
    if (now >= 0) timeline.schedule(RECORD_LAG_MS, run);
  }

  private watchRegistry(): void {
    const { platform, clock: timeline } = this.options;
    const { now } = timeline;
    if (this.isCutFromStore || platform.isDown || now - this.listedAt < LIST_MS) return;
    this.listedAt = now;
    this.list(() => undefined);
  }

  /** Lists the instances as they are when the store handles the call. */
  private list(answer: () => void): void {
    const { platform, group, clock: timeline } = this.options;
    if (this.isCutFromStore || platform.isDown) return;
    const listed = group.instances.filter(({ isRegistered }) => isRegistered);
    timeline.schedule(
      ANSWER_MS,
      this.deliver(() => {
        this.roster = listed;
        answer();
      }),
    );
  }

  private probe(instance: SyncInstance, now: number): InstanceView {
    const { id, leaving, isLeader, isAlive } = instance;
    const isReachable = !this.unreachable.has(id);
    const known = this.probed.get(id);
    const isDue = known === undefined || now - known.answeredAt >= PROBE_MS;
    if (isReachable && isDue) {
      const health = isAlive ? 'answering' : 'refusing';
      const since = known?.health === health ? known.since : now;
      const position = isAlive ? instance.readPosition() : known?.position;
      this.probed.set(id, {
        ...{ answeredAt: now, since, health, position },
        leads: isAlive && isLeader,
      });
    }
    const current = this.probed.get(id);
    const isSilent = current !== undefined && now - current.answeredAt >= SILENCE_MS;
    if (current && isSilent && current.health !== 'silent') {
      this.probed.set(id, { ...current, health: 'silent', since: now, leads: false });
    }
    const view = this.probed.get(id);
    return {
      ...{ id, leaving, reportsPrimary: isLeader, lagMs: this.findLag(instance) },
      ...{ health: view?.health ?? 'unknown', since: view?.since ?? 0 },
      ...{ leads: view?.leads ?? false, position: view?.position },
    };
  }

  private findLag(instance: SyncInstance): number {
    const leader = this.options.group.findLeader();
    return leader ? (leader.log.length - instance.log.length) * 10 : 0;
  }

  private runActions(actions: readonly TakeoverAction[]): void {
    actions.forEach((action) => this.runAction(action));
  }

  private runAction(action: TakeoverAction): void {
    const { platform, clock: timeline, id: vm } = this.options;
    match(action)
      .with({ kind: 'read' }, () => this.read())
      .with({ kind: 'refresh' }, ({ attempt }) =>
        this.list(() => this.coordinator.handleRefreshed(attempt)),
      )
      .with({ kind: 'write' }, ({ record, expectedVersion }) => {
        if (this.isCutFromStore) return;
        platform.write(record, expectedVersion, (outcome, version) =>
          this.deliver(() => {
            const { coordinator } = this;
            this.runActions(
              outcome === 'written'
                ? coordinator.handleRecord(record, version, timeline.now)
                : coordinator.handleWriteFailure(),
            );
          })(),
        );
      })
      .with({ kind: 'promote' }, ({ instance, generation }) => {
        if (this.isCutFromStore) return;
        platform.promote(vm, instance, generation, (answer) =>
          this.deliver(() => this.coordinator.handlePromotion(generation, answer))(),
        );
      })
      .with({ kind: P.union('pause', 'stepDown') }, ({ kind, instance, term }) =>
        this.order(kind, instance, term),
      )
      .with({ kind: P.union('status', 'resume') }, ({ kind, instance }) =>
        this.order(kind, instance, 0),
      )
      .exhaustive();
  }

  private read(): void {
    const { platform, clock: timeline } = this.options;
    if (this.isCutFromStore) return;
    platform.read((record, version) =>
      this.deliver(() =>
        this.runActions(this.coordinator.handleRecord(record, version, timeline.now)),
      )(),
    );
  }

  private order(kind: string, instance: string, term: number): void {
    if (this.unreachable.has(instance)) return;
    const { group, platform } = this.options;
    let report: ReturnType<SyncGroup['handleOrder']>;
    platform.sendOrder(
      () => {
        report = group.handleOrder(kind, instance, term);
      },
      this.deliver(() => {
        if (!report) return;
        if (kind === 'resume') this.coordinator.handleResumed(instance);
        else this.coordinator.handleReport(instance, report);
      }),
    );
  }
}
