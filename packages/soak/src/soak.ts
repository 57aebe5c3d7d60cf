import { mkdir } from 'node:fs/promises';
import { join } from 'node:path';
import { createRandom, type Random } from '@shallotpick/bench';
import { DEFAULT_CONTRACT, type Millis } from '@shallotpick/core';
import { EmulatedPlatform, type EmulatedGroupOptions } from '@shallotpick/emulator';
import { type DatabaseRoute, type GroupSettings, wait } from '@shallotpick/engine';
import { type InterruptedRequest, SoakCaller } from './caller.js';
import { InvariantChecker, type Violation } from './invariantchecker.js';
import { createFaultSchedule, FaultInjector, isNonDisruptive, type SoakFault } from './faults.js';
import { SoakVm } from './vm.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const CONNECTIONS = 24;
const START_MS: Millis = 2_500;
/** Callers are served again this long after the last fault. */
const RECOVERY_MS: Millis = 12_000;
const FINAL_WINDOW_MS: Millis = 1_500;
/** Part of the operations that succeeds once no fault is left. */
const FINAL_SHARE = 0.95;
/** After another fault, a broken request says nothing of a shutdown for this long. */
const CALM_MS: Millis = 6_000;
/** A request that was cut this soon may not have been read. */
const UNREAD_MS: Millis = 200;
const READY_POLL_MS: Millis = 250;
/** Runs at the same time have addresses of their own, by their process. */
const MAX_BYTE = 253;
const BYTE_BITS = 8;

const INSTANCE = { slots: 3, connectionLimit: CONNECTIONS, statementCostMs: 3, connectCostMs: 6 };

export interface SoakOptions {
  readonly seed: number;
  readonly program: string;
  readonly directory: string;
  readonly vms: number;
  readonly groups: number;
  readonly callers: number;
  /** Time in which faults start. */
  readonly windowMs: Millis;
  /** Series of faults; 0 for a calm run. */
  readonly series: number;
  /** Delay with which replicas show what they have received, in place of a random one. */
  readonly applyLagMs?: Millis;
  /** Faults in place of random ones. */
  readonly faults?: readonly SoakFault[];
}

export interface SoakReport {
  readonly violations: readonly Violation[];
  readonly formattedViolations: readonly string[];
  readonly counts: InvariantChecker['counts'];
  readonly faults: readonly SoakFault[];
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

/** One run of real processes against the emulated platform under random faults. */
export class Soak {
  private readonly random: Random;

  private readonly checker: InvariantChecker;

  private readonly platform: EmulatedPlatform;

  private readonly routes: readonly DatabaseRoute[];

  private readonly startedAt = performance.now();

  private vms: readonly SoakVm[] = [];

  private callers: readonly SoakCaller[] = [];

  private ready: readonly SoakVm[] = [];

  private disturbedAt: Millis = Number.NEGATIVE_INFINITY;

  private isOver = false;

  constructor(private readonly options: SoakOptions) {
    this.random = createRandom(options.seed);
    this.checker = new InvariantChecker(() => this.readNow());
    const groups = Array.from({ length: options.groups }, (_, index) => this.createGroup(index));
    this.routes = groups.flatMap(({ name }) => [0, 1, 2].map((kind) => createRoute(name, kind)));
    this.platform = new EmulatedPlatform({
      ...{ zones: ZONES, groups, instancesPerGroup: 3, observer: this.checker },
      random: () => this.random.next(),
    });
  }

  /** Runs to the end; the programs are ended whatever happens. */
  async run(): Promise<SoakReport> {
    const { seed, windowMs, series } = this.options;
    const faults = this.options.faults ?? createFaultSchedule(createRandom(seed), windowMs, series);
    await this.start();
    try {
      await wait(START_MS);
      await this.inject(faults);
      await this.checkRecovery();
    } finally {
      await this.stop();
    }
    const { checker } = this;
    return {
      violations: checker.violations,
      formattedViolations: checker.formatViolations(),
      counts: checker.counts,
      faults,
    };
  }

  private readNow(): Millis {
    return performance.now() - this.startedAt;
  }

  private createGroup(index: number): EmulatedGroupOptions {
    const applyLagMs = this.options.applyLagMs ?? 10 + this.random.nextInt(30);
    const lags = { replicationDelayMs: 2, applyLagMs };
    const name = `group${index}`;
    return { name, synchronousReplicas: 1, promoteMs: 400, ...lags, instance: INSTANCE };
  }

  private async start(): Promise<void> {
    const { platform, routes, options } = this;
    await mkdir(options.directory, { recursive: true });
    await platform.start();
    const groups = platform.groups.map(({ name }): GroupSettings => ({
      ...{ name, connectionLimit: CONNECTIONS, synchronousReplicas: 1 },
    }));
    platform.writeConfiguration({ version: 1, routes, groups, transactionIdleMs: 3_000 });
    this.vms = Array.from({ length: options.vms }, (_, index) => this.createVm(index));
    await Promise.all(this.vms.map((vm) => vm.open()));
    this.callers = Array.from({ length: options.callers }, (_, index) => this.createCaller(index));
    this.watchReadiness().catch((error: unknown) =>
      this.checker.addViolation('the soak runs', String(error)),
    );
    this.callers.forEach((caller) => {
      caller.run().catch((error: unknown) => {
        this.checker.addViolation('callers get well-formed answers', String(error));
      });
    });
  }

  private createVm(index: number): SoakVm {
    const { program, directory } = this.options;
    const { storeService, promotionService } = this.platform;
    return new SoakVm({
      ...{ name: `vm-${index}`, zone: ZONES[index % ZONES.length] ?? '', program, directory },
      host: `127.${1 + (process.pid % MAX_BYTE)}.${1 + (process.pid >> BYTE_BITS)}.${index + 1}`,
      storePort: storeService.port,
      promotionPort: promotionService.port,
      reportViolation: (promise, detail) => this.checker.addViolation(promise, detail),
    });
  }

  private createCaller(index: number): SoakCaller {
    return new SoakCaller({
      ...{ name: `caller${index}`, route: this.routes[index % this.routes.length]! },
      ...{ checker: this.checker, random: this.random, readNow: () => this.readNow() },
      findVm: () => this.ready[this.random.nextInt(Math.max(1, this.ready.length))],
      handleInterruptedRequest: (cut) => this.handleCut(cut),
    });
  }

  private handleCut({ vm, id, text, waitedMs }: InterruptedRequest): void {
    if (this.readNow() - this.disturbedAt < CALM_MS) return;
    // A request may cross the close of its session on the way; nobody has read it then.
    if (!this.checker.hasExecuted(id) && waitedMs < UNREAD_MS) return;
    const detail = `${vm.name}: ${id} ${text}, after ${Math.round(waitedMs)} ms`;
    this.checker.addViolation('a graceful shutdown cuts no request', detail);
  }

  /** Asks the VMs as the balancer does; with none ready, callers go to any. */
  private async watchReadiness(): Promise<void> {
    while (!this.isOver) {
      const answers = await Promise.all(
        this.vms.map(async (vm) => ({ vm, isReady: await vm.isReady() })),
      );
      const ready = answers.filter(({ isReady }) => isReady).map(({ vm }) => vm);
      this.ready = ready.length > 0 ? ready : this.vms.filter((vm) => vm.isRunning());
      await wait(READY_POLL_MS);
    }
  }

  private async inject(faults: readonly SoakFault[]): Promise<void> {
    const injector = new FaultInjector(this.platform, this.vms, ZONES);
    const start = performance.now();
    for (const fault of faults) {
      await wait(Math.max(0, fault.at - (performance.now() - start)));
      if (!isNonDisruptive(fault)) this.disturbedAt = this.readNow() + fault.durationMs;
      injector.start(fault);
    }
    await injector.waitForCompletion();
  }

  /** Every group is served again in time, and every log holds what was acknowledged. */
  private async checkRecovery(): Promise<void> {
    const { checker } = this;
    const deadline = this.readNow() + RECOVERY_MS;
    let unserved = await this.listUnserved();
    while (unserved.length > 0 && this.readNow() < deadline) unserved = await this.listUnserved();
    unserved.forEach((detail) =>
      checker.addViolation('groups are served again after the faults', detail),
    );
    this.platform.groups.forEach((group) => {
      const leader = group.findLeader();
      if (leader) checker.checkAcknowledgedWrites(group.name, leader.id, leader.log.entries);
    });
  }

  /** Watches the callers for a while; the groups of which too few operations succeeded. */
  private async listUnserved(): Promise<readonly string[]> {
    const { callers, platform } = this;
    callers.forEach((caller) => caller.resetCounts());
    await wait(FINAL_WINDOW_MS);
    return platform.groups.flatMap(({ name }) => {
      const own = callers.filter((caller) => caller.group === name);
      const succeeded = own.reduce((sum, { counts }) => sum + counts.succeeded, 0);
      const total = succeeded + own.reduce((sum, { counts }) => sum + counts.failed, 0);
      const isServed = succeeded > 0 && succeeded >= FINAL_SHARE * total;
      return isServed ? [] : [`${name}: ${succeeded} of ${total} operations succeeded`];
    });
  }

  private async stop(): Promise<void> {
    this.isOver = true;
    this.callers.forEach((caller) => caller.stop());
    await Promise.all(this.vms.map((vm) => vm.close()));
    await this.platform.stop();
  }
}

/** Runs one seed; logs of the processes go to a folder of the seed. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const directory = join(options.directory, `seed-${options.seed}`);
  return new Soak({ ...options, directory }).run();
}
