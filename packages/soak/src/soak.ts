import { mkdir } from 'node:fs/promises';
import { join } from 'node:path';
import { createRandom, type Random } from '@shallotpick/bench';
import { DEFAULT_CONTRACT, type Millis } from '@shallotpick/core';
import {
  DEFAULT_PROMOTION_RULES,
  EmulatedPlatform,
  type EmulatedGroupOptions,
  type PromotionRules,
} from '@shallotpick/emulator';
import { type DatabaseRoute, type GroupSettings, wait } from '@shallotpick/engine';
import { type InterruptedRequest, SoakCaller } from './caller.js';
import { InvariantChecker, type Violation } from './invariantchecker.js';
import { FaultInjector } from './faultinjector.js';
import { type FaultSelection, isNonDisruptive, isOutage } from './faultkinds.js';
import { createFaultSchedule, type SoakFault } from './faultschedule.js';
import { SoakOrganisations } from './organisations.js';
import { choosePromotionRules } from './platformrules.js';
import { createSubRandom } from './subrandom.js';
import { SoakVm } from './vm.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'];
/** Connections of an instance; so few VMs all serve every group with as many. */
const DEFAULT_CONNECTIONS = 24;
const DEFAULT_INSTANCES = 3;
const STARTUP_MS: Millis = 2_500;
/** Limit from the end of the last fault until callers are served again. */
const RECOVERY_MS: Millis = 12_000;
const FINAL_WINDOW_MS: Millis = 1_500;
/** Share of the operations that must succeed once no fault is active. */
const MIN_SUCCESS_SHARE = 0.95;
/** Time after a disruptive fault during which interrupted requests are no violation. */
const POST_FAULT_EXEMPTION_MS: Millis = 6_000;
/** A request that was interrupted within this time may never have been read. */
const UNREAD_REQUEST_MS: Millis = 200;
const READY_POLL_MS: Millis = 250;
// Concurrent runs derive separate loopback addresses from their process ids.
const MAX_BYTE = 253;
const BYTE_BITS = 8;

const INSTANCE = { slots: 3, statementCostMs: 3, connectCostMs: 6 };

/** Size, program and faults of a run. */
export interface SoakOptions extends FaultSelection {
  readonly seed: number;
  readonly program: string;
  readonly directory: string;
  readonly vms: number;
  readonly groups: number;
  readonly callers: number;
  /** Instances of a group; three by default. */
  readonly instances?: number | undefined;
  /** What the platform does with accepted orders; drawn at random in runs that break several parts. */
  readonly promotionRules?: PromotionRules;
  /** Time in which the series of faults start. */
  readonly windowMs: Millis;
  /** Number of series of faults; 0 runs without faults. */
  readonly series: number;
  /** Apply lag of the replicas; random by default. */
  readonly applyLagMs?: Millis;
  /**
   * Connections that an instance accepts. With fewer than three a VM, some VMs pass work on to
   * others over links.
   */
  readonly connections?: number;
  /** Faults to inject; drawn at random by default. */
  readonly faults?: readonly SoakFault[];
}

/** The violations, counts and faults of a run. */
export interface SoakReport {
  readonly violations: readonly Violation[];
  readonly formattedViolations: readonly string[];
  readonly counts: InvariantChecker['counts'];
  readonly faults: readonly SoakFault[];
  readonly promotionRules: PromotionRules;
}

function createRoute(group: string, index: number): DatabaseRoute {
  const maxAgeMs = [0, 1_500, 2_500][index] ?? 0;
  return {
    database: `${group}-${['fresh', 'aged', 'own'][index]}`,
    group,
    contract: { ...DEFAULT_CONTRACT, maxAgeMs },
    readsOwnWrites: index !== 1,
    timeoutMs: 1_000,
    targetLatencyMs: 200,
    priority: 1,
  };
}

/** Runs real processes against the emulated platform under random faults. */
export class Soak {
  private readonly random: Random;

  private readonly checker: InvariantChecker;

  private readonly platform: EmulatedPlatform;

  private readonly routes: readonly DatabaseRoute[];

  private readonly organisations: SoakOrganisations;

  private configurationVersion = 0;

  private readonly startedAt = performance.now();

  private vms: readonly SoakVm[] = [];

  private callers: readonly SoakCaller[] = [];

  private ready: readonly SoakVm[] = [];

  private activeOutages = 0;

  private readonly promotionRules: PromotionRules;

  private lastDisruptionEndsAt: Millis = Number.NEGATIVE_INFINITY;

  private isStopped = false;

  constructor(private readonly options: SoakOptions) {
    this.random = createRandom(options.seed);
    this.organisations = new SoakOrganisations(
      options.organisations ?? 0,
      () => this.writeConfiguration(),
      () => this.readNow(),
    );
    this.checker = new InvariantChecker(() => this.readNow(), this.organisations);
    this.promotionRules = options.promotionRules ?? this.choosePromotionRules();
    const groups = Array.from({ length: options.groups }, (_, index) => this.createGroup(index));
    this.routes = groups.flatMap(({ name }) => [0, 1, 2].map((kind) => createRoute(name, kind)));
    this.platform = new EmulatedPlatform({
      ...{ zones: ZONES, groups, observer: this.checker },
      instancesPerGroup: options.instances ?? DEFAULT_INSTANCES,
      random: () => this.random.next(),
    });
  }

  /** Runs the soak; the processes are stopped even when it fails. */
  async run(): Promise<SoakReport> {
    const faults = this.options.faults ?? this.createSchedule();
    await this.start();
    try {
      await wait(STARTUP_MS);
      await this.inject(faults);
      await this.checkRecovery();
    } finally {
      await this.stop();
    }
    const { checker } = this;
    await checker.checkLogs(this.options.directory);
    return {
      violations: checker.violations,
      formattedViolations: checker.formatViolations(),
      counts: checker.counts,
      faults,
      promotionRules: this.promotionRules,
    };
  }

  private createSchedule(): readonly SoakFault[] {
    const { seed, windowMs, series } = this.options;
    return createFaultSchedule(createRandom(seed), windowMs, series, this.options);
  }

  private choosePromotionRules(): PromotionRules {
    const { seed, outages, partitions } = this.options;
    if (!outages && !partitions) return DEFAULT_PROMOTION_RULES;
    return choosePromotionRules(createSubRandom(seed));
  }

  private readNow(): Millis {
    return performance.now() - this.startedAt;
  }

  private createGroup(index: number): EmulatedGroupOptions {
    const applyLagMs = this.options.applyLagMs ?? 10 + this.random.nextInt(30);
    const lags = { replicationDelayMs: 2, applyLagMs };
    const name = `group${index}`;
    const instance = { ...INSTANCE, connectionLimit: this.connections };
    const { promotionRules } = this;
    return { name, synchronousReplicas: 1, promoteMs: 400, promotionRules, ...lags, instance };
  }

  private async start(): Promise<void> {
    const { platform, options } = this;
    await mkdir(options.directory, { recursive: true });
    await platform.start();
    this.writeConfiguration();
    this.vms = Array.from({ length: options.vms }, (_, index) => this.createVm(index));
    await Promise.all(this.vms.map((vm) => vm.open()));
    this.callers = Array.from({ length: options.callers }, (_, index) => this.createCaller(index));
    this.watchReadiness().catch((error: unknown) =>
      this.checker.addViolation('the soak runs without internal errors', String(error)),
    );
    this.callers.forEach((caller) => {
      caller.run().catch((error: unknown) => {
        this.checker.addViolation('callers get well-formed responses', String(error));
      });
    });
  }

  private writeConfiguration(): void {
    const { platform, routes, organisations } = this;
    const groups = platform.groups.map(({ name }): GroupSettings => ({
      ...{ name, connectionLimit: this.connections, synchronousReplicas: 1 },
    }));
    this.configurationVersion += 1;
    platform.writeConfiguration({
      ...{ version: this.configurationVersion, routes, groups, transactionIdleMs: 3_000 },
      organisations: organisations.encode(),
    });
  }

  private get connections(): number {
    return this.options.connections ?? DEFAULT_CONNECTIONS;
  }

  private createVm(index: number): SoakVm {
    const { program, directory, connections } = this.options;
    const hasLinks = connections !== undefined;
    // A link comes from the address that its VM has registered, which on loopback is one for all.
    const { platform } = this;
    return new SoakVm({
      ...{ name: `vm-${index}`, zone: ZONES[index % ZONES.length] ?? '', program, directory },
      host: hasLinks
        ? '127.0.0.1'
        : `127.${1 + (process.pid % MAX_BYTE)}.${1 + (process.pid >> BYTE_BITS)}.${index + 1}`,
      hasLinks,
      createStoreService: (paths) => platform.createStoreService(paths),
      promotionPort: platform.promotionService.port,
      reportViolation: (invariant, detail) => this.checker.addViolation(invariant, detail),
    });
  }

  private createCaller(index: number): SoakCaller {
    const { list } = this.organisations;
    return new SoakCaller({
      organisation: list[index % Math.max(1, list.length)],
      ...{ name: `caller${index}`, route: this.routes[index % this.routes.length]! },
      ...{ checker: this.checker, random: this.random, readNow: () => this.readNow() },
      findVm: () => this.ready[this.random.nextInt(Math.max(1, this.ready.length))],
      handleInterruptedRequest: (request) => this.handleInterruptedRequest(request),
    });
  }

  private handleInterruptedRequest({ vm, id, text, waitedMs }: InterruptedRequest): void {
    if (this.activeOutages > 0) return;
    if (this.readNow() - this.lastDisruptionEndsAt < POST_FAULT_EXEMPTION_MS) return;
    // A request sent while its session was being closed may never have been read.
    if (!this.checker.hasExecuted(id) && waitedMs < UNREAD_REQUEST_MS) return;
    const detail = `${vm.name}: ${id} ${text}, after ${Math.round(waitedMs)} ms`;
    this.checker.addViolation('a graceful shutdown interrupts no request', detail);
  }

  /** Polls readiness as the load balancer does; with no VM ready, callers use any running one. */
  private async watchReadiness(): Promise<void> {
    while (!this.isStopped) {
      const answers = await Promise.all(
        this.vms.map(async (vm) => ({ vm, isReady: await vm.isReady() })),
      );
      const ready = answers.filter(({ isReady }) => isReady).map(({ vm }) => vm);
      this.ready = ready.length > 0 ? ready : this.vms.filter((vm) => vm.isRunning());
      await wait(READY_POLL_MS);
    }
  }

  private async inject(faults: readonly SoakFault[]): Promise<void> {
    const injector = new FaultInjector(this.platform, this.vms, this.organisations);
    const start = performance.now();
    for (const fault of faults) {
      await wait(Math.max(0, fault.at - (performance.now() - start)));
      if (!isNonDisruptive(fault)) this.handleDisruption(fault.durationMs);
      const isEnded = injector.start(fault);
      if (isOutage(fault)) this.watchOutage(isEnded);
    }
    await injector.waitForCompletion();
  }

  /** An outage ends with the last of its effects, which may be later than its duration. */
  private watchOutage(isEnded: Promise<void>): void {
    this.activeOutages += 1;
    isEnded
      .finally(() => {
        this.activeOutages -= 1;
        this.handleDisruption(0);
      })
      .catch((error: unknown) =>
        this.checker.addViolation('the soak runs without internal errors', String(error)),
      );
  }

  private handleDisruption(durationMs: Millis): void {
    const endsAt = this.readNow() + durationMs;
    this.lastDisruptionEndsAt = Math.max(this.lastDisruptionEndsAt, endsAt);
  }

  /** Checks that every group is served again in time and that no acknowledged commit is lost. */
  private async checkRecovery(): Promise<void> {
    const { checker } = this;
    const deadline = this.readNow() + RECOVERY_MS;
    let unserved = await this.listUnserved();
    while (unserved.length > 0 && this.readNow() < deadline) unserved = await this.listUnserved();
    unserved.forEach((detail) => checker.addViolation('groups recover after the faults', detail));
    this.platform.groups.forEach((group) => {
      const leader = group.findLeader();
      if (leader) checker.checkAcknowledgedWrites(group.name, leader.id, leader.log.entries);
    });
  }

  /** Observes the callers for a while and lists the groups with too few successful operations. */
  private async listUnserved(): Promise<readonly string[]> {
    const { callers, platform } = this;
    callers.forEach((caller) => caller.resetCounts());
    await wait(FINAL_WINDOW_MS);
    return platform.groups.flatMap(({ name }) => {
      const own = callers.filter((caller) => caller.group === name);
      const succeeded = own.reduce((sum, { counts }) => sum + counts.succeeded, 0);
      const total = succeeded + own.reduce((sum, { counts }) => sum + counts.failed, 0);
      const isServed = succeeded > 0 && succeeded >= MIN_SUCCESS_SHARE * total;
      return isServed ? [] : [`${name}: ${succeeded} of ${total} operations succeeded`];
    });
  }

  private async stop(): Promise<void> {
    this.isStopped = true;
    this.callers.forEach((caller) => caller.stop());
    await Promise.all(this.vms.map((vm) => vm.close()));
    await this.platform.stop();
  }
}

/** Runs one seed; the processes write their logs to a directory named after the seed. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const directory = join(options.directory, `seed-${options.seed}`);
  return new Soak({ ...options, directory }).run();
}
