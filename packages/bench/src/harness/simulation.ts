import { COOLDOWN_MS, type DatabaseGroup } from '@shallotpick/core';
import { match } from 'ts-pattern';
import { GuaranteeChecker, type Violation } from './checker.js';
import { FakeDaemon } from './daemon.js';
import type { FakeInstance } from './instance.js';
import { FakePlatform } from './platform.js';
import { DEFAULT_RULES, type SimulationRules } from './rules.js';
import { type Fault, FAULTS_END_MS, type Scenario } from './scenario.js';
import { FakeSession } from './session.js';
import { SimulatedNetwork } from './network.js';

const INSTANCES = 3;
const DAEMONS = 4;
const SESSIONS = 6;
const SHIP_MS = 25;
const RESTART_MS = 200;
const PROBE_RETRY_MS = 20;
/** A group with a reachable majority and platform takes writes within this time. */
const RECOVERY_LIMIT_MS = 8_000;
const ENTRY_LIMIT = 1_000_000;

/** One group, its daemons, sessions and faults in virtual time. */
export class Simulation {
  readonly checker = new GuaranteeChecker(() => this.network.now);

  readonly platform: FakePlatform;

  readonly instances: readonly FakeInstance[];

  readonly daemons: FakeDaemon[] = [];

  readonly network: SimulatedNetwork;

  private readonly zones: readonly string[];

  private readonly group: DatabaseGroup;

  private nextId = 1;

  private readonly recovered = new Set<string>();

  constructor(
    private readonly scenario: Scenario,
    private readonly rules: SimulationRules = DEFAULT_RULES,
  ) {
    const { seed, zones, chaos } = scenario;
    this.network = new SimulatedNetwork(seed, chaos, FAULTS_END_MS);
    this.zones = Array.from({ length: zones }, (_, index) => `zone-${index}`);
    this.platform = new FakePlatform(this.network, rules.checksVersions, this.checker);
    this.instances = Array.from({ length: INSTANCES }, (_, index) =>
      rules.createInstance(`db-${index}`, this.zones[index] ?? '', this.network, (instance, term) =>
        this.checker.handlePromotion(instance, term),
      ),
    );
    this.group = { name: 'group', instances: this.instances.map(Simulation.describe) };
    this.instances.forEach((instance) => instance.updatePeers(this.instances));
    this.startInstances();
    Array.from({ length: DAEMONS }, (_, index) => this.startDaemon(index));
  }

  /** Runs the scenario to its end and returns the first broken guarantee. */
  run(): Violation | undefined {
    const { network: world, checker: checks } = this;
    const hasFailed = (): boolean => checks.violation !== undefined;
    this.scenario.faults.forEach((fault) => world.schedule(fault.at, () => this.runFault(fault)));
    Array.from({ length: SESSIONS }, () => this.createSession().start());
    this.daemons.forEach((_, index) => this.createSession(index).start());
    world.run(FAULTS_END_MS, hasFailed);
    this.daemons.forEach((daemon) => this.probeWrite(daemon));
    const isDone = (): boolean => hasFailed() || this.recovered.size === DAEMONS;
    world.run(FAULTS_END_MS + RECOVERY_LIMIT_MS, isDone);
    if (!isDone()) {
      const { record } = this.platform;
      const detail = `${this.recovered.size} of ${DAEMONS} daemons; record ${JSON.stringify(record)}`;
      checks.report('writes go on after faults end', detail);
    }
    return checks.violation;
  }

  private static describe({ id, zone }: FakeInstance): DatabaseGroup['instances'][number] {
    return { id, zone, host: '', port: 0, slots: 2, connectionLimit: 15 };
  }

  private startInstances(): void {
    const [first, ...rest] = this.instances;
    const primary = first?.id ?? '';
    this.instances.forEach((instance) => instance.fence(1));
    first?.promote(1);
    rest.forEach((instance) => instance.follow(1, primary));
    this.platform.record = {
      group: 'group',
      term: 1,
      phase: 'named',
      primary,
      attempt: 'created',
      writer: 'platform',
    };
    this.platform.version = 1;
    this.instances.forEach((instance) => this.repeatShip(instance));
  }

  private repeatShip(instance: FakeInstance): void {
    this.network.schedule(SHIP_MS, () => {
      if (!instance.isDown && instance.pausedUntil <= this.network.now) instance.replicateToPeers();
      this.repeatShip(instance);
    });
  }

  private startDaemon(index: number): void {
    const { network: world, platform, instances, group, rules } = this;
    const zone = this.zones[index % this.zones.length] ?? '';
    const options = { world, platform, instances, group, rules };
    const daemon = new FakeDaemon(`vm-${index}`, zone, options);
    this.daemons[index] = daemon;
    daemon.start(() => this.daemons.filter(({ isDown }) => !isDown));
  }

  private createSession(readsAt?: number): FakeSession {
    const { network: world, checker: checks, instances } = this;
    return new FakeSession({
      network: world,
      checker: checks,
      instances,
      listDaemons: () => this.daemons,
      createId: () => this.createId(),
      readOnlyDaemon: readsAt,
    });
  }

  private createId(): number {
    this.nextId += 1;
    return this.nextId;
  }

  /** Writes through the daemon until one write is acknowledged. */
  private probeWrite(daemon: FakeDaemon): void {
    const { network: world, instances } = this;
    if (this.recovered.has(daemon.id)) return;
    const floor = { term: 0, offset: 0 };
    const contract = {
      name: '',
      match: {},
      maxAgeMs: 0,
      length: 'short',
      repeat: 'allowed',
    } as const;
    const route = daemon.route({ kind: 'write', contract, minPosition: floor });
    world.schedule(PROBE_RETRY_MS, () => this.probeWrite(daemon));
    if (route.kind === 'wait') return;
    const instance = instances.find(({ id }) => id === route.instances[0]);
    const term = daemon.findTerm(instance?.id ?? '');
    const entry = instance?.commit(this.createId() + ENTRY_LIMIT);
    if (!instance || !entry) return;
    daemon.addCommit(instance.id, term, (position) => {
      if (!position) return;
      this.checker.handleAcknowledgement(entry);
      this.recovered.add(daemon.id);
    });
  }

  private findPrimary(): FakeInstance {
    const { instances } = this;
    const byTerm = [...instances].sort((a, b) => b.fenceTerm - a.fenceTerm);
    return byTerm.find(({ role }) => role === 'primary') ?? (instances[0] as FakeInstance);
  }

  private runFault(fault: Fault): void {
    const { network: world, platform, instances, daemons, zones } = this;
    const { kind, a, b, duration } = fault;
    const until = Math.min(world.now + duration, FAULTS_END_MS);
    const instance = kind.includes('Primary')
      ? this.findPrimary()
      : (instances[a % INSTANCES] as FakeInstance);
    const daemon = daemons[a % DAEMONS] as FakeDaemon;
    match(kind)
      .with('crashPrimary', 'crashInstance', () => this.crash(instance, until))
      .with('pausePrimary', 'pauseInstance', () => {
        instance.pausedUntil = until;
      })
      .with('isolatePrimary', () => this.isolate(instance, until))
      .with('cutPrimaryFromDaemons', () => this.cutDaemons(instance, until))
      .with('isolatePrimaryThenCrash', () => this.isolateThenCrash(instance, fault))
      .with('cutInstances', () => {
        const other = instances[(a + 1 + (b % (INSTANCES - 1))) % INSTANCES];
        world.cut(instance.id, other?.id ?? '', until);
      })
      .with('lagInstance', () => {
        instance.applyLagMs = duration / 2;
        world.schedule(until - world.now, () => {
          instance.applyLagMs = 0;
        });
      })
      .with('pauseDaemon', () => {
        daemon.pausedUntil = until;
      })
      .with('killDaemon', () => this.killDaemon(a % DAEMONS, until))
      .with('cutZones', () => this.cutZones(a, b, until))
      .with('cutZoneFromPlatform', () =>
        world.cut(zones[a % zones.length] ?? '', platform.zone, until),
      )
      .with('platformDown', () => world.cut(platform.id, '*', until))
      .with('loseAnswers', () => {
        platform.losesAnswersUntil = until;
      })
      .exhaustive();
  }

  /** A zone is cut from one other zone, or, when both numbers agree, from all and the platform. */
  private cutZones(a: number, b: number, until: number): void {
    const { zones, network: world } = this;
    const zone = zones[a % zones.length] ?? '';
    const others = zones.filter((other) => other !== zone);
    const all = [...others, this.platform.zone];
    const cut = a === b ? all : others.filter((_, index) => index === b % others.length);
    cut.forEach((other) => world.cut(zone, other, until));
  }

  /** Cuts an instance off from everything but the daemons of its own zone. */
  private isolate(instance: FakeInstance, until: number): void {
    this.instances
      .filter((other) => other !== instance)
      .forEach((other) => this.network.cut(instance.id, other.id, until));
    this.cutDaemons(instance, until);
  }

  /** The primary keeps its replicas, and the daemons of its zone, but loses all other daemons. */
  private cutDaemons(instance: FakeInstance, until: number): void {
    this.daemons
      .filter(({ zone }) => zone !== instance.zone)
      .forEach(({ id }) => this.network.cut(instance.id, id, until));
  }

  /** The old primary comes back with a branch of its own just when the new one is lost. */
  private isolateThenCrash(instance: FakeInstance, { duration, b }: Fault): void {
    const { network: world } = this;
    const backAt = Math.min(world.now + COOLDOWN_MS + duration, FAULTS_END_MS - RESTART_MS);
    this.isolate(instance, backAt);
    world.schedule(Math.max(0, backAt - world.now) + 10 * b, () =>
      this.crash(this.findPrimary(), FAULTS_END_MS),
    );
  }

  private crash(instance: FakeInstance, until: number): void {
    const target = instance;
    target.isDown = true;
    target.epoch += 1;
    this.network.schedule(until - this.network.now, () => {
      target.isDown = false;
    });
  }

  private killDaemon(index: number, until: number): void {
    const daemon = this.daemons[index];
    if (!daemon || daemon.isDown) return;
    daemon.isDown = true;
    const delay = Math.min(RESTART_MS, until - this.network.now);
    this.network.schedule(delay, () => this.startDaemon(index));
  }
}
