import { randomUUID } from 'node:crypto';
import {
  type Clock,
  computeHash,
  type HeldPermit,
  type Millis,
  type OperationRate,
  type PermitAnswer,
  type PermitRequest,
  type QuotaRule,
} from '@shallotpick/core';
import type { ConfigurationHolder } from './configuration.js';
import type { Fleet } from './fleet.js';
import type { Forwarding } from './forwarding.js';
import type { VmAddress } from './heartbeat.js';
import { LimitReporter } from './limitreporter.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import { FREE_PERMIT, type OperationPermit, OperationQuota } from './operationquota.js';
import { PermitPart } from './permitpart.js';

/** Parts of the organisations, each with a lender of its own; the same on all VMs. */
const PART_COUNT = 4;
const TICK_MS: Millis = 25;
/** Longest wait for another permit of an operation that holds a connection. */
const REFRESH_WAIT_MS: Millis = 100;
/** How often the live VMs are read. */
const VMS_INTERVAL_MS: Millis = 250;

/** The services of a VM's quota. */
export interface FleetQuotaOptions {
  readonly vm: string;
  readonly rule: QuotaRule;
  readonly fleet: Pick<Fleet, 'listLiveVms' | 'hasSettled'>;
  readonly configuration: ConfigurationHolder;
  readonly forwarding: Pick<Forwarding, 'requestPermits'>;
  readonly clock: Clock;
  /** Clock that includes suspensions of the VM. */
  readonly ageClock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly random: () => number;
  readonly isDraining: () => boolean;
}

/** A permit that can be given back once. */
class LentPermit implements OperationPermit {
  private isHeld = true;

  constructor(
    private readonly permit: HeldPermit,
    private readonly part: PermitPart,
    private readonly ageClock: Clock,
  ) {}

  async refresh(): Promise<OperationPermit> {
    const now = this.ageClock.readNow();
    if (now < this.permit.endsAt) return this;
    this.giveBack();
    const { organisation } = this.permit;
    const next = await this.part.take(organisation, now + REFRESH_WAIT_MS);
    return new LentPermit(next, this.part, this.ageClock);
  }

  giveBack(): void {
    if (this.isHeld) this.part.client.holder.giveBack(this.permit);
    this.isHeld = false;
  }
}

/** Counts operations against rate limits, with permits that the VMs lend each other. */
export class FleetQuota extends OperationQuota {
  private readonly parts: readonly PermitPart[];

  private readonly reporter: LimitReporter;

  private vms: ReadonlyMap<string, VmAddress> = new Map();

  private vmNames: readonly string[] = [];

  private vmsReadAt: Millis = Number.NEGATIVE_INFINITY;

  private timer: NodeJS.Timeout | undefined;

  /** True while the configuration in force has rate limits. */
  private isActive = false;

  constructor(private readonly options: FleetQuotaOptions) {
    super();
    const { vm, rule, ageClock, random, configuration } = options;
    this.reporter = new LimitReporter(options);
    const startedAt = ageClock.readNow();
    const run = randomUUID();
    this.parts = Array.from(
      { length: PART_COUNT },
      (_, part) =>
        new PermitPart({
          ...{ vm, part, run, rule, startedAt, random, clock: ageClock },
          findRate: (organisation) => this.findRate(organisation),
          listVms: () => this.vmNames,
          request: async (lender, request) => this.request(lender, request),
          onRefusal: (organisation, refusal) => this.reporter.handleRefusal(organisation, refusal),
        }),
    );
    configuration.addListener(({ organisations }) => {
      const limited = organisations?.list().some(({ rateLimit }) => rateLimit !== undefined);
      this.isActive = limited === true;
    });
  }

  start(): void {
    this.timer = setInterval(() => this.handleTick(), TICK_MS).unref();
  }

  stop(): void {
    clearInterval(this.timer);
    this.parts.forEach((part) => part.stop());
  }

  override async take(
    organisation: string | undefined,
    deadline: Millis,
  ): Promise<OperationPermit> {
    if (organisation === undefined || !this.findRate(organisation)) return FREE_PERMIT;
    const { clock, ageClock } = this.options;
    const part = this.findPart(organisation);
    const remaining = deadline - clock.readNow();
    const permit = await part.take(organisation, ageClock.readNow() + remaining);
    this.reporter.handleGrant();
    return new LentPermit(permit, part, ageClock);
  }

  /** Answers a request of another VM. */
  answer(vm: string, request: PermitRequest): PermitAnswer | undefined {
    const now = this.options.ageClock.readNow();
    return this.parts[request.part]?.lender.handleRequest(vm, request, now);
  }

  private findRate(organisation: string): OperationRate | undefined {
    return this.options.configuration.read()?.organisations?.find(organisation)?.rateLimit;
  }

  private findPart(organisation: string): PermitPart {
    const part = this.parts[computeHash(organisation) % PART_COUNT];
    if (!part) throw new RangeError('no part for the organisation');
    return part;
  }

  private async request(lender: string, request: PermitRequest): Promise<PermitAnswer | undefined> {
    const address = this.vms.get(lender);
    return address && this.options.forwarding.requestPermits(address, request);
  }

  private handleTick(): void {
    // Operations that asked for a permit before the limits went are still answered.
    if (!this.isActive && !this.parts.some((part) => part.hasWaiting())) return;
    const now = this.options.ageClock.readNow();
    if (now - this.vmsReadAt >= VMS_INTERVAL_MS) this.readVms(now);
    if (this.options.isDraining()) this.parts.forEach(({ lender }) => lender.release());
    this.parts.forEach((part) => part.handleTick());
    this.reporter.handleTick(this.parts, now);
  }

  /** Reads the VMs that can be reached over links; a VM of the list that can't holds no permits. */
  private readVms(now: Millis): void {
    const { fleet } = this.options;
    this.vmsReadAt = now;
    const live = fleet.hasSettled() ? fleet.listLiveVms() : [];
    const reachable = live.filter(({ port }) => port !== undefined);
    this.vms = new Map(reachable.map((one) => [one.id, one]));
    this.vmNames = reachable.map(({ id }) => id);
  }
}
