import {
  type DatabaseGroup,
  type FailoverAction,
  FailoverCoordinator,
  type GroupRecord,
  type GroupView,
  type InstanceStatus,
  type LogPosition,
  type MajorityDecision,
  type MajorityTracker,
  type Route,
  Router,
  type RouteRequest,
  StatusView,
  UNREACHABLE_AFTER_MS,
} from '@shallotpick/core';
import { match } from 'ts-pattern';
import type { FakeInstance } from './instance.js';
import type { FakePlatform } from './platform.js';
import type { SimulationRules } from './rules.js';
import type { Endpoint, SimulatedNetwork } from './network.js';

const TICK_MS = 20;
const PROBE_MS = 50;
const URGENT_MS = 4;
const EXCHANGE_MS = 100;
const WATCH_MS = 60;
const WAIT_LIMIT_MS = 3_000;

export interface DaemonOptions {
  readonly world: SimulatedNetwork;
  readonly platform: FakePlatform;
  readonly instances: readonly FakeInstance[];
  readonly group: DatabaseGroup;
  readonly rules: SimulationRules;
}

export type PositionCallback = (position: LogPosition | undefined) => void;

/** A daemon: the classes of the core behind fake adapters. A restart makes a new one. */
export class FakeDaemon implements Endpoint {
  isDown = false;

  pausedUntil = 0;

  epoch = 0;

  private readonly coordinator: FailoverCoordinator;

  private readonly tracker: MajorityTracker;

  private readonly router: Router;

  private readonly statuses = new Map<string, InstanceStatus>();

  private readonly waits = new Map<number, PositionCallback>();

  private readonly probedAt = new Map<string, number>();

  private record: GroupRecord | undefined;

  private version = 0;

  private nextId = 1;

  /** The clocks of processes have different origins. */
  private readonly clockOffset: number;

  constructor(
    readonly id: string,
    readonly zone: string,
    private readonly options: DaemonOptions,
  ) {
    const { world, group, rules } = options;
    this.clockOffset = Math.floor(world.random() * 100_000);
    const { random } = world;
    const createAttempt = (): string => `${id}-${random()}-${random()}`;
    const failoverOptions = { vm: id, zone, group, createAttempt, random };
    this.coordinator = new FailoverCoordinator(failoverOptions, rules.createTally(failoverOptions));
    this.tracker = rules.createTracker(group.instances.map((instance) => instance.id));
    this.router = new Router(zone);
  }

  readNow(): number {
    return this.options.world.now + this.clockOffset;
  }

  start(peers: () => readonly FakeDaemon[]): void {
    this.repeat(TICK_MS, () => this.handleTick());
    this.repeat(URGENT_MS, () => this.probe());
    this.repeat(WATCH_MS, () => this.readRecord());
    this.repeat(EXCHANGE_MS, () => this.exchange(peers()));
  }

  /** Runs `work` in this process at intervals; a pause stops the interval as well. */
  private repeat(interval: number, work: () => void): void {
    const { world } = this.options;
    world.schedule(interval * (0.9 + 0.2 * world.random()), () =>
      world.deliver(this, this.epoch, () => {
        work();
        this.repeat(interval, work);
      }),
    );
  }

  findTerm(instance: string): number {
    return this.statuses.get(instance)?.durable.term ?? 0;
  }

  route(request: RouteRequest): Route {
    const view: GroupView = {
      group: this.options.group,
      record: this.record,
      statuses: this.statuses,
      findAge: (instance, now) => this.tracker.findAge(instance, now),
      findExpectedWait: () => this.options.world.random(),
    };
    return this.router.route(request, new StatusView(view), this.readNow());
  }

  /** Waits until a majority holds what the primary has committed up to now. */
  addCommit(primary: string, term: number, onVerdict: PositionCallback): void {
    const now = this.readNow();
    const id = this.addWait(onVerdict);
    const deadline = now + WAIT_LIMIT_MS;
    this.tracker.addCommit({ id, primary, term, completedAt: now, deadline });
  }

  /** Waits for a floor that covers everything acknowledged up to now. */
  addArrival(onFloor: PositionCallback): void {
    const now = this.readNow();
    const id = this.addWait(onFloor);
    this.tracker.addSession({ id, arrivedAt: now, deadline: now + WAIT_LIMIT_MS });
  }

  private addWait(onEnd: PositionCallback): number {
    const id = this.nextId;
    this.nextId += 1;
    this.waits.set(id, onEnd);
    return id;
  }

  private handleTick(): void {
    const now = this.readNow();
    this.statuses.forEach((_, instance) => {
      if (now - (this.probedAt.get(`heard ${instance}`) ?? 0) > UNREACHABLE_AFTER_MS) {
        this.statuses.delete(instance);
      }
    });
    this.runVerdicts(this.tracker.handleTick(now));
    this.runActions(this.coordinator.handleTick(now));
  }

  private probe(): void {
    const now = this.readNow();
    this.options.instances.forEach((instance) => {
      const since = now - (this.probedAt.get(instance.id) ?? -PROBE_MS);
      if (since < PROBE_MS && !this.tracker.hasPending()) return;
      this.probedAt.set(instance.id, now);
      this.call(
        instance,
        () => instance.readStatus(now),
        (status) => this.handleStatus(status),
      );
    });
  }

  private handleStatus(status: InstanceStatus): void {
    const now = this.readNow();
    this.probedAt.set(`heard ${status.instance}`, now);
    this.statuses.set(status.instance, status);
    this.runVerdicts(this.tracker.handleStatus(status));
    this.runActions(this.coordinator.handleStatus(status, now));
  }

  private exchange(peers: readonly FakeDaemon[]): void {
    const { world } = this.options;
    const { record, version } = this;
    this.coordinator.updateWatchers(
      peers.indexOf(this),
      peers.map(({ zone }) => zone),
    );
    const observation = this.coordinator.findObservation(this.readNow());
    peers
      .filter((peer) => peer !== this)
      .forEach((peer) =>
        world.send(this, peer, () => {
          if (record) peer.handleRecord(record, version);
          if (observation) peer.coordinator.handleObservation(observation, peer.readNow());
        }),
      );
  }

  private handleRecord(record: GroupRecord | undefined, version: number): void {
    if (version > this.version && record) {
      this.record = record;
      this.version = version;
      if (record.phase === 'named') this.runVerdicts(this.tracker.handleTerm(record.term));
    }
    this.runActions(this.coordinator.handleRecord(record, version, this.readNow()));
  }

  private readRecord(): void {
    const { platform } = this.options;
    this.call(
      platform,
      () => ({ record: platform.record, version: platform.version }),
      ({ record, version }) => this.handleRecord(record, version),
    );
  }

  private runVerdicts(decisions: readonly MajorityDecision[]): void {
    decisions.forEach((decision) => {
      const onEnd = this.waits.get(decision.id);
      this.waits.delete(decision.id);
      onEnd?.('position' in decision ? decision.position : undefined);
    });
  }

  private runActions(actions: readonly FailoverAction[]): void {
    actions.forEach((action) => this.runAction(action));
  }

  private runAction(action: FailoverAction): void {
    const { platform } = this.options;
    match(action)
      .with({ kind: 'writeRecord' }, (write) =>
        this.call(
          platform,
          () => platform.write(write.record, write.expectedVersion),
          (outcome) => {
            if (outcome.kind === 'written') this.handleRecord(write.record, outcome.version);
            this.runActions(this.coordinator.handleWrite(write, outcome, this.readNow()));
          },
        ),
      )
      .with({ kind: 'readRecord' }, () => this.readRecord())
      .with({ kind: 'fence' }, ({ instance, term }) =>
        this.callInstance(
          instance,
          (target) => target.fence(term),
          (answer) => this.runActions(this.coordinator.handleFence(answer, this.readNow())),
        ),
      )
      .with({ kind: 'promote' }, ({ instance, term }) =>
        this.callInstance(
          instance,
          (target) => target.promote(term),
          (done) =>
            this.runActions(this.coordinator.handlePromotion(instance, term, done, this.readNow())),
        ),
      )
      .with({ kind: 'follow' }, ({ instance, term, primary }) =>
        this.callInstance(
          instance,
          (target) => target.follow(term, primary),
          () => undefined,
        ),
      )
      .exhaustive();
  }

  private callInstance<T>(
    id: string,
    serve: (instance: FakeInstance) => T,
    onAnswer: (answer: T) => void,
  ): void {
    const target = this.options.instances.find((instance) => instance.id === id);
    if (target) this.call(target, () => serve(target), onAnswer);
  }

  private call<T>(to: Endpoint, serve: () => T, onAnswer: (answer: T) => void): void {
    this.options.world.call(this, to, serve, onAnswer);
  }
}
