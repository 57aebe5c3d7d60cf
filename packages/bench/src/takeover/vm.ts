import {
  type CommitGate,
  encodeStoreVersion,
  formatSettledClaim,
  type ConnectionTrace,
  type InstanceView,
  type PromotionGate,
  type PromotionOrders,
  type PromotionRecord,
  type PromotionRecordView,
  type Settlement,
  type StoreVersion,
  type SuccessorSelector,
  type TakeoverAction,
  TakeoverCoordinator,
} from '@shallotpick/core';
import { match, P } from 'ts-pattern';
import type { ActingVm } from './acceptedorder.js';
import type { CallerConnection } from './acknowledgements.js';
import { HeldCommits } from './heldcommits.js';
import type { SyncGroup } from './group.js';
import type { SyncInstance } from './syncinstance.js';
import { type Member, MemberList } from './memberlist.js';
import { INSTANCE_CALL_MS, type SimulatedPlatform } from './platform.js';
import { InstanceProber } from './prober.js';
import type { VirtualClock } from './clock.js';

const RECORD_LAG_MS = 20;
/** A watch of the record returns by then, with or without a change. */
const WATCH_MS = 12_000;
/** Longer than RECORD_LAG_MS, so that a VM may act on a newer record with an outdated list. */
const LIST_INTERVAL_MS = 1_000;
/** Time until the store answers a listing. */
export const LIST_DELAY_MS = 40;
/** Gap between two decisions of a VM. */
export const VM_TICK_MS = 30;

/** What a simulated VM works with. */
export interface SimulatedVmOptions {
  readonly id: string;
  readonly rank: number;
  readonly clock: VirtualClock;
  readonly group: SyncGroup;
  readonly platform: SimulatedPlatform;
  /** Whether the VM notices at once when the process of an instance that it reaches ends. */
  readonly showsCrashes: boolean;
  readonly createAttempt: () => string;
  /** Called with the instance that an order to promote names, before the platform receives it. */
  readonly notifyOrder: (instance: string) => void;
  /** Called when this VM claims the record, before the store receives it. */
  readonly notifyClaim: (vm: SimulatedVm) => void;
  readonly createSelector: () => SuccessorSelector;
  readonly createView: () => PromotionRecordView;
  readonly createGate: (selector: SuccessorSelector) => PromotionGate;
  readonly createCommitGate: () => CommitGate;
  readonly createSettlement: (promotions: PromotionOrders) => Settlement;
}

/** Simulates a VM with a TakeoverCoordinator, which learns of the group by probes and the store. */
export class SimulatedVm {
  isPaused = false;

  isCutFromStore = false;

  /** How late the answers of the store reach this VM. */
  storeDelayMs = 0;

  /** How old the periodic listings are that the store answers with. */
  staleMs = 0;

  /** Ids of the instances that this VM does not reach. */
  readonly unreachable = new Set<string>();

  private coordinator: TakeoverCoordinator;

  private heldCommits: HeldCommits;

  /** When the present watch of the record was sent. */
  private watchedAt = 0;

  private readonly prober: InstanceProber;

  private readonly members = new MemberList();

  private seenVersion = -1;

  private listedAt = Number.NEGATIVE_INFINITY;

  private epoch = 0;

  /** How often the connections to an instance were closed, by its id. */
  private readonly closes = new Map<string, number>();

  private readonly queuedDeliveries: (() => void)[] = [];

  constructor(private readonly options: SimulatedVmOptions) {
    const { group, showsCrashes } = options;
    this.prober = new InstanceProber(group, this.unreachable, showsCrashes);
    this.coordinator = this.createCoordinator();
    this.heldCommits = this.createHeldCommits();
  }

  /** Replaces the process by a new one without any state. */
  restart(): void {
    this.epoch += 1;
    this.seenVersion = -1;
    this.prober.clear();
    this.members.clear();
    this.listedAt = Number.NEGATIVE_INFINITY;
    this.queuedDeliveries.length = 0;
    this.coordinator = this.createCoordinator();
    this.heldCommits = this.createHeldCommits();
  }

  /** Opens a connection for writes; undefined if the instance isn't reached or is being replaced. */
  openConnection(instance: SyncInstance): CallerConnection | undefined {
    if (this.isPaused || this.unreachable.has(instance.id)) return undefined;
    if (this.coordinator.isBeingReplaced(instance)) return undefined;
    const trace = this.findTrace(instance);
    return {
      isOpen: trace.isUsable,
      acknowledge: (position, confirm) =>
        this.deliver(() => {
          const { now } = this.options.clock;
          this.heldCommits.add(instance.id, trace, position, now, confirm);
        })(),
    };
  }

  resume(): void {
    this.isPaused = false;
    this.queuedDeliveries.splice(0).forEach((run) => run());
  }

  handleTick(now: number): void {
    if (this.isPaused) return;
    this.watchRecord(now);
    this.refreshInstances();
    const views = this.listMembers(now).map((member) => this.probe(member, now));
    this.runActions(this.coordinator.handleTick(views, now));
    const ids = views.map(({ id }) => id).filter((id) => this.coordinator.isEligible(id));
    this.heldCommits.handleTick(ids, now);
  }

  private probe(member: Member, now: number): InstanceView {
    const { instance } = member;
    const view = this.prober.probe(member, now);
    if (view.positionAt === now && view.health === 'answering') {
      this.heldCommits.handleProbe(instance.id, this.findTrace(instance), view, now);
    }
    return view;
  }

  private findTrace(instance: SyncInstance): ConnectionTrace {
    const describe = (): string => this.describeConnection(instance);
    return this.heldCommits.findTrace(instance.id, describe, this.options.clock.now);
  }

  private createHeldCommits(): HeldCommits {
    return new HeldCommits(this.options.createCommitGate(), {
      askStatus: (instance) => this.askWitness(instance),
      readRecord: () => this.readForCommits(),
    });
  }

  /** Reads whether a claim is open, for the commits that wait. */
  private readForCommits(): void {
    if (this.isCutFromStore) return;
    const sentAt = this.options.clock.now;
    this.options.platform.read((record, { era }) =>
      this.answerLate(() => {
        const claim = record?.era === era ? formatSettledClaim(record) : undefined;
        if (claim === undefined) return;
        this.heldCommits.handleSettledRecord(claim, sentAt, this.options.clock.now);
      }),
    );
  }

  /** Asks an instance whether it holds the commits that wait. */
  private askWitness(id: string): void {
    if (this.unreachable.has(id)) return;
    const { group, clock } = this.options;
    const instance = group.instances.find((one) => one.id === id);
    if (!instance) return;
    const trace = this.findTrace(instance);
    const sentAt = clock.now;
    clock.schedule(INSTANCE_CALL_MS, () => {
      const report = trace.isUsable() ? group.handleOrder('status', id, 0) : undefined;
      if (!report) return;
      const handle = (): void =>
        this.heldCommits.handleReport(id, trace, report, sentAt, clock.now);
      clock.schedule(INSTANCE_CALL_MS, this.deliver(handle));
    });
  }

  /** Describes what this VM could act on now; undefined if it can't order, or calls may be lost. */
  describeActing(now: number): ActingVm | undefined {
    const { platform, id } = this.options;
    const isCut = this.isPaused || this.isCutFromStore;
    if (isCut || !platform.isCalm() || platform.isTurn(id, now)) return undefined;
    return {
      process: `${id}/${this.epoch}`,
      reaches: (instance) => !this.unreachable.has(instance.id),
    };
  }

  /** Lists the instances that this VM takes for members of the group. */
  private listMembers(now: number): readonly Member[] {
    return this.members.list(now, (id) => this.prober.isAnswering(id));
  }

  private createCoordinator(): TakeoverCoordinator {
    const { id: vm, rank, createAttempt, createView, createGate } = this.options;
    const { createSelector, createSettlement } = this.options;
    const selector = createSelector();
    const coordinator = new TakeoverCoordinator(
      { group: 'group', vm, createAttempt },
      selector,
      createView(),
      createGate(selector),
      createSettlement,
    );
    coordinator.updateRank(rank);
    return coordinator;
  }

  /** Describes the present connection to an instance; the end of either process breaks it. */
  private describeConnection({ id, processNumber }: SyncInstance): string {
    return `${this.epoch}/${this.closes.get(id) ?? 0}/${processNumber}`;
  }

  /** Handles the record, and closes the connections to a leader that is being replaced. */
  private handleRecord(
    record: PromotionRecord | undefined,
    version: StoreVersion,
    readAt: number,
  ): void {
    const { now } = this.options.clock;
    this.runActions(this.coordinator.handleRecord(record, version, now));
    const claim = this.coordinator.findSettledClaim();
    if (claim !== undefined) this.heldCommits.handleSettledRecord(claim, readAt, now);
    this.listMembers(now).forEach(({ instance }) => {
      const { id } = instance;
      if (!this.coordinator.isBeingReplaced(instance)) return;
      this.closes.set(id, (this.closes.get(id) ?? 0) + 1);
    });
  }

  /** Wraps a callback of the current process: delayed while paused, dropped after a restart. */
  private deliver(run: () => void): () => void {
    const { epoch } = this;
    return () => {
      if (epoch !== this.epoch) return;
      if (this.isPaused) this.queuedDeliveries.push(run);
      else run();
    };
  }

  private watchRecord(now: number): void {
    const { platform, clock } = this.options;
    const { record } = platform;
    const version = platform.readVersion();
    const encoded = encodeStoreVersion(version);
    const isDue = encoded !== this.seenVersion || now - this.watchedAt >= WATCH_MS;
    if (this.isCutFromStore || platform.isDown || !isDue) return;
    const { watchedAt } = this;
    this.seenVersion = encoded;
    this.watchedAt = now;
    const run = this.deliver(() => this.handleRecord(record, version, watchedAt));
    if (now >= 0) clock.schedule(RECORD_LAG_MS + this.storeDelayMs, run);
  }

  private refreshInstances(): void {
    const { platform, clock } = this.options;
    const { now } = clock;
    if (this.isCutFromStore || platform.isDown || now - this.listedAt < LIST_INTERVAL_MS) return;
    this.listedAt = now;
    this.list(this.staleMs, () => undefined);
  }

  /** Lists the registered instances; the answer holds the state of `staleMs` before the call. */
  private list(staleMs: number, answer: () => void): void {
    const { platform, group, clock } = this.options;
    if (this.isCutFromStore || platform.isDown) return;
    const listing = group.registry.list(clock.now, staleMs);
    clock.schedule(
      LIST_DELAY_MS,
      this.deliver(() => {
        this.members.update(listing, clock.now);
        answer();
      }),
    );
  }

  private runActions(actions: readonly TakeoverAction[]): void {
    actions.forEach((action) => this.runAction(action));
  }

  private runAction(action: TakeoverAction): void {
    const { platform, id: vm } = this.options;
    match(action)
      .with({ kind: 'read' }, () => this.read())
      .with({ kind: 'refresh' }, ({ attempt }) =>
        this.list(0, () => this.coordinator.handleRefreshed(attempt)),
      )
      .with({ kind: 'write' }, ({ record, expectedVersion }) => {
        if (this.isCutFromStore) return;
        const sentAt = this.options.clock.now;
        if (record.phase === 'open') this.options.notifyClaim(this);
        platform.write(record, expectedVersion, (outcome, version) =>
          this.answerLate(() => {
            if (outcome === 'written') this.handleRecord(record, version, sentAt);
            else this.runActions(this.coordinator.handleWriteFailure());
          }),
        );
      })
      .with({ kind: 'promote' }, ({ instance, token }) => {
        if (this.isCutFromStore) return;
        this.options.notifyOrder(instance);
        platform.promote(vm, instance, token, (answer) =>
          this.deliver(() =>
            this.coordinator.handlePromotion(token, answer, this.options.clock.now),
          )(),
        );
      })
      .with({ kind: P.union('pause', 'stepDown') }, ({ kind, instance, term }) =>
        this.sendOrder(kind, instance, term),
      )
      .with({ kind: P.union('status', 'resume') }, ({ kind, instance }) =>
        this.sendOrder(kind, instance, 0),
      )
      .exhaustive();
  }

  private read(): void {
    const { platform } = this.options;
    if (this.isCutFromStore) return;
    const sentAt = this.options.clock.now;
    platform.read((record, version) =>
      this.answerLate(() => this.handleRecord(record, version, sentAt)),
    );
  }

  /** Delivers an answer of the store, as late as a fault has it. */
  private answerLate(run: () => void): void {
    const deliver = this.deliver(run);
    if (this.storeDelayMs === 0) deliver();
    else this.options.clock.schedule(this.storeDelayMs, deliver);
  }

  private sendOrder(kind: string, instance: string, term: number): void {
    if (this.unreachable.has(instance)) return;
    const { group, platform } = this.options;
    const startedAt = this.members.findStart(instance);
    const askedAt = this.options.clock.now;
    if (startedAt === undefined) return;
    let report: ReturnType<SyncGroup['handleOrder']>;
    platform.sendOrder(
      () => {
        report = group.handleOrder(kind, instance, term);
      },
      this.deliver(() => {
        if (!report) return;
        if (kind === 'resume') this.coordinator.handleResumed(instance);
        else this.coordinator.handleReport(instance, startedAt, report, askedAt);
      }),
    );
  }
}
