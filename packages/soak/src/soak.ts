import { mkdir } from 'node:fs/promises';
import { join } from 'node:path';
import { createRandom, type Random } from '@shallotpick/bench';
import type { Millis } from '@shallotpick/core';
import {
  DEFAULT_PROMOTION_RULES,
  EmulatedPlatform,
  type EmulatedGroupOptions,
  type PromotionRules,
} from '@shallotpick/emulator';
import { wait } from '@shallotpick/engine';
import { AnswerChecker } from './answerchecker.js';
import type { SoakCaller, SoakCallerOptions } from './caller.js';
import { InvariantChecker, type Violation } from './invariantchecker.js';
import { FaultInjector } from './faultinjector.js';
import type { FaultSelection } from './faultkinds.js';
import { createFaultSchedule, type SoakFault } from './faultschedule.js';
import { SoakOperator } from './operator.js';
import { SoakOrganisations } from './organisations.js';
import { PipeliningCaller } from './pipeliningcaller.js';
import { choosePromotionRules } from './platformrules.js';
import { RestlessCaller } from './restlesscaller.js';
import { StallWatch } from './stallwatch.js';
import { createSubRandom } from './subrandom.js';
import { TransactionCaller } from './transactioncaller.js';
import { VisitingCaller } from './visitingcaller.js';
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
const READY_POLL_MS: Millis = 250;
// Concurrent runs derive separate loopback addresses from their process ids.
const MAX_BYTE = 253;
const BYTE_BITS = 8;

/** Callers that never pause, as a share of the usual ones. */
const RESTLESS_SHARE = 0.25;
/** Callers of other kinds in a run with changes, as shares of the usual ones. */
const PIPELINING_SHARE = 0.25;
const VISITING_SHARE = 0.1;

/** Times that bytes need between callers and VMs in a run with changes, VM after VM. */
const CALLER_DELAYS_MS: readonly Millis[] = [0, 5, 20];

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

/** Runs real processes against the emulated platform under random faults. */
export class Soak {
  private readonly random: Random;

  private readonly checker: InvariantChecker;

  private readonly platform: EmulatedPlatform;

  private readonly stalls = new StallWatch();

  private readonly answers: AnswerChecker;

  private readonly operator: SoakOperator;

  private readonly organisations: SoakOrganisations;

  private readonly startedAt = performance.now();

  private vms: readonly SoakVm[] = [];

  private callers: readonly SoakCaller[] = [];

  /** Callers that pipeline requests or visit databases; recovery isn't judged by them. */
  private otherCallers: readonly SoakCaller[] = [];

  /** Callers that never pause; they end before recovery is judged. */
  private restlessCallers: readonly SoakCaller[] = [];

  private ready: readonly SoakVm[] = [];

  private readonly promotionRules: PromotionRules;

  private isStopped = false;

  constructor(private readonly options: SoakOptions) {
    this.random = createRandom(options.seed);
    this.organisations = new SoakOrganisations(
      options.organisations ?? 0,
      () => this.operator.write(),
      () => this.readNow(),
    );
    this.checker = new InvariantChecker(() => this.readNow(), this.organisations);
    this.answers = new AnswerChecker(this.checker, this.stalls);
    this.promotionRules = options.promotionRules ?? this.choosePromotionRules();
    const groups = Array.from({ length: options.groups }, (_, index) => this.createGroup(index));
    this.platform = new EmulatedPlatform({
      ...{ zones: ZONES, groups, observer: this.checker },
      instancesPerGroup: options.instances ?? DEFAULT_INSTANCES,
      random: () => this.random.next(),
    });
    this.operator = new SoakOperator({
      groups: groups.map(({ name }) => name),
      ...{ connections: this.connections, organisations: this.organisations },
      publish: (configuration) => this.platform.writeConfiguration(configuration),
    });
  }

  /** Runs the soak; the processes are stopped even when it fails. */
  async run(): Promise<SoakReport> {
    const faults = this.options.faults ?? this.createSchedule();
    await this.start();
    try {
      await wait(STARTUP_MS);
      await this.inject(faults);
      // Their transactions hold connections that the other callers wait for.
      this.restlessCallers.forEach((caller) => caller.stop());
      await this.checkRecovery();
    } finally {
      await this.stop();
    }
    const { checker } = this;
    await checker.checkLogs(this.options.directory);
    await this.answers.checkLogs(this.options.directory);
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
    this.stalls.start();
    await platform.start();
    this.operator.write();
    this.vms = Array.from({ length: options.vms }, (_, index) => this.createVm(index));
    await Promise.all(this.vms.map((vm) => vm.open()));
    this.createCallers();
    this.watchReadiness().catch((error: unknown) =>
      this.checker.addViolation('the soak runs without internal errors', String(error)),
    );
    this.listCallers().forEach((caller) => {
      caller.run().catch((error: unknown) => {
        this.checker.addViolation('callers get well-formed responses', String(error));
      });
    });
  }

  private get connections(): number {
    return this.options.connections ?? DEFAULT_CONNECTIONS;
  }

  private createVm(index: number): SoakVm {
    const { program, directory, connections, changes } = this.options;
    const hasLinks = connections !== undefined;
    // A link comes from the address that its VM has registered, which on loopback is one for all.
    const { platform } = this;
    return new SoakVm({
      ...{ name: `vm-${index}`, zone: ZONES[index % ZONES.length] ?? '', program, directory },
      host: hasLinks
        ? '127.0.0.1'
        : `127.${1 + (process.pid % MAX_BYTE)}.${1 + (process.pid >> BYTE_BITS)}.${index + 1}`,
      hasLinks,
      callerDelayMs: changes ? CALLER_DELAYS_MS[index % CALLER_DELAYS_MS.length]! : 0,
      createStoreService: (paths) => platform.createStoreService(paths),
      promotionPort: platform.promotionService.port,
      reportViolation: (invariant, detail) => this.checker.addViolation(invariant, detail),
    });
  }

  private createCallers(): void {
    const { callers, changes } = this.options;
    const create = (count: number, createOne: (options: SoakCallerOptions) => SoakCaller) =>
      Array.from({ length: count }, (_, index) => createOne(this.createCallerOptions(index)));
    this.callers = create(callers, (options) => new TransactionCaller(options));
    this.restlessCallers = create(
      Math.ceil(callers * RESTLESS_SHARE),
      (options) => new RestlessCaller({ ...options, name: `restless-${options.name}` }),
    );
    if (!changes) return;
    this.otherCallers = [
      ...create(
        Math.ceil(callers * PIPELINING_SHARE),
        (options) => new PipeliningCaller({ ...options, name: `pipelining-${options.name}` }),
      ),
      ...create(
        Math.ceil(callers * VISITING_SHARE),
        (options) => new VisitingCaller({ ...options, name: `visiting-${options.name}` }),
      ),
    ];
  }

  private listCallers(): readonly SoakCaller[] {
    return [...this.callers, ...this.otherCallers, ...this.restlessCallers];
  }

  private createCallerOptions(index: number): SoakCallerOptions {
    const { list } = this.organisations;
    const { routes } = this.operator;
    return {
      organisation: list[index % Math.max(1, list.length)],
      ...{ name: `caller${index}`, route: routes[index % routes.length]! },
      ...{ checker: this.checker, answers: this.answers, random: this.random },
      readNow: () => this.readNow(),
      findVm: () => this.ready[this.random.nextInt(Math.max(1, this.ready.length))],
    };
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
    const { platform, vms, organisations, operator } = this;
    const injector = new FaultInjector(platform, vms, organisations, operator);
    const start = performance.now();
    for (const fault of faults) {
      await wait(Math.max(0, fault.at - (performance.now() - start)));
      injector
        .start(fault)
        .catch((error: unknown) =>
          this.checker.addViolation('the soak runs without internal errors', String(error)),
        );
    }
    await injector.waitForCompletion();
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
    this.stalls.stop();
    this.listCallers().forEach((caller) => caller.stop());
    await Promise.all(this.vms.map((vm) => vm.close()));
    await this.platform.stop();
  }
}

/** Runs one seed; the processes write their logs to a directory named after the seed. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const directory = join(options.directory, `seed-${options.seed}`);
  return new Soak({ ...options, directory }).run();
}
