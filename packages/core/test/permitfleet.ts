import {
  type AddressedRequest,
  type HeldPermit,
  type PermitAnswer,
  PermitClient,
  PermitLender,
  type OperationRate,
  type QuotaRule,
} from '../src/index.js';

export const RULE: QuotaRule = { windowMs: 5_000, excess: 0.1, slack: 20 };
const STEP_MS = 20;
const ORGANISATION = 'o';
/** How long an operation waits for a permit. */
const PATIENCE_MS = 300;

interface Delivery {
  readonly at: number;
  readonly from: string;
  readonly to: string;
  readonly run: () => void;
}

/** The parts of a VM that a restart replaces. */
interface Process {
  readonly client: PermitClient;
  readonly lender: PermitLender;
  /** When the operations arrived that wait for a permit. */
  readonly waiting: number[];
}

/** Replaces the parts of a process, in a broken version. */
export interface Parts {
  readonly createClient?: (client: PermitClient) => PermitClient;
  readonly createLender?: (lender: PermitLender) => PermitLender;
}

/** VMs that hold and lend permits, with a network that delays, loses and cuts. */
export class PermitFleet {
  readonly names: readonly string[];

  now = 0;

  private limit: OperationRate;

  /** When operations of the organisation started. */
  readonly starts: number[] = [];

  private readonly processes = new Map<string, Process>();

  private deliveries: Delivery[] = [];

  private readonly pausedUntil = new Map<string, number>();

  private readonly views = new Map<string, readonly string[]>();

  /** VMs that reach only each other. */
  private isolated: ReadonlySet<string> = new Set();

  private runs = 0;

  constructor(
    size: number,
    rate: OperationRate,
    private readonly random: () => number,
    private readonly parts: Parts = {},
    private readonly loss = 0,
  ) {
    this.limit = rate;
    this.names = Array.from({ length: size }, (_, index) => `vm-${index}`);
    this.names.forEach((vm) => {
      this.views.set(vm, this.names);
      this.restart(vm);
    });
  }

  get rate(): OperationRate {
    return this.limit;
  }

  updateRate(rate: OperationRate): void {
    this.limit = rate;
  }

  restart(vm: string): void {
    this.runs += 1;
    const { parts, now, random } = this;
    const client = new PermitClient({ vm, part: 0, rule: RULE, startedAt: now });
    const findRate = (): OperationRate => this.limit;
    const lender = new PermitLender({ run: `${this.runs}`, rule: RULE, findRate, random });
    lender.updateVms(this.views.get(vm) ?? []);
    this.processes.set(vm, {
      client: parts.createClient?.(client) ?? client,
      lender: parts.createLender?.(lender) ?? lender,
      waiting: [],
    });
    this.deliveries = this.deliveries.filter(({ from, to }) => from !== vm && to !== vm);
  }

  pause(vm: string, durationMs: number): void {
    this.pausedUntil.set(vm, this.now + durationMs);
  }

  /** Cuts the VMs off from the others; none to heal. */
  cut(vms: readonly string[]): void {
    this.isolated = new Set(vms);
  }

  /** Lets one VM's list of the live VMs lack some. */
  setView(vm: string, vms: readonly string[]): void {
    this.views.set(vm, vms);
    this.processes.get(vm)?.lender.updateVms(vms);
  }

  countLenders(): number {
    return [...this.processes.values()].filter(({ lender }) => lender.isLending(this.now)).length;
  }

  findLender(): string | undefined {
    return [...this.processes].find(([, { lender }]) => lender.isLending(this.now))?.[0];
  }

  /** Advances the time; `arrivals` tells how many operations reach a VM in a step. */
  advance(durationMs: number, arrivals: (vm: string) => number): void {
    for (const end = this.now + durationMs; this.now < end; this.now += STEP_MS) {
      this.deliver();
      this.names.forEach((vm) => {
        const process = this.processes.get(vm);
        const count = arrivals(vm);
        if (process && !this.isPaused(vm)) this.runProcess(vm, process, count);
      });
    }
  }

  /** The largest number of starts in a window. */
  findLargestWindow(from = 0): number {
    let first = 0;
    return this.starts.reduce((largest, at, index) => {
      while ((this.starts[first] ?? 0) <= at - RULE.windowMs) first += 1;
      return at < from ? largest : Math.max(largest, index - first + 1);
    }, 0);
  }

  countStarts(from: number, to: number): number {
    return this.starts.filter((at) => at >= from && at < to).length;
  }

  private isPaused(vm: string): boolean {
    return (this.pausedUntil.get(vm) ?? 0) > this.now;
  }

  private deliver(): void {
    const due = this.deliveries.filter(({ at, to }) => at <= this.now && !this.isPaused(to));
    this.deliveries = this.deliveries.filter((one) => !due.includes(one));
    due.forEach(({ run }) => run());
  }

  private send(from: string, to: string, run: () => void): void {
    const isCut = this.isolated.has(from) !== this.isolated.has(to);
    if (isCut || this.random() < this.loss) return;
    const delay = this.random() < 0.05 ? this.random() * 600 : this.random() * 25;
    this.deliveries.push({ at: this.now + delay, from, to, run });
  }

  private runProcess(vm: string, process: Process, arrivals: number): void {
    const { client } = process;
    for (let index = 0; index < arrivals; index++) {
      client.holder.recordDemand(ORGANISATION, this.now);
      process.waiting.push(this.now);
    }
    this.startWaiting(vm, process);
    const waiting = process.waiting.length;
    const asked = client.createRequest(
      this.views.get(vm) ?? [],
      new Map(waiting > 0 ? [[ORGANISATION, waiting]] : []),
      this.now,
    );
    if (asked) this.ask(vm, process, asked);
  }

  private startWaiting(vm: string, process: Process): void {
    const { client, waiting } = process;
    while (waiting.length > 0) {
      const permit = this.takePermit(vm, client);
      if (!permit) break;
      waiting.shift();
      if (this.random() < 0.02) client.holder.giveBack(permit);
      else this.starts.push(this.now);
    }
    const isLimited = client.holder.isLimited(ORGANISATION, this.now);
    const left = waiting.filter((at) => !isLimited && this.now - at < PATIENCE_MS);
    waiting.splice(0, waiting.length, ...left);
  }

  private takePermit(vm: string, client: PermitClient): HeldPermit | undefined {
    const permit = client.holder.take(ORGANISATION, this.now);
    if (permit || client.hasLender()) return permit;
    return client.holder.takeFloor(ORGANISATION, this.views.get(vm) ?? [], this.now);
  }

  private ask(vm: string, process: Process, asked: AddressedRequest): void {
    const { lender, request } = asked;
    const answer = (found: PermitAnswer): void => {
      if (this.processes.get(vm) === process) {
        process.client.handleAnswer(asked, found, this.now);
        this.startWaiting(vm, process);
      }
    };
    this.send(vm, lender, () => {
      const target = this.processes.get(lender);
      const found = target?.lender.handleRequest(vm, request, this.now);
      if (found) this.send(lender, vm, () => answer(found));
    });
  }
}
