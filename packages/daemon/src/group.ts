import {
  AdmissionQueue,
  type AdmissionDecision,
  type Clock,
  type Contract,
  type DatabaseGroup,
  FailoverCoordinator,
  type FailoverAction,
  formatGroupKey,
  type GroupRecord,
  type GroupView,
  type InstanceLink,
  type InstanceStatus,
  type LogPosition,
  type MajorityDecision,
  MajorityTracker,
  type Millis,
  type Platform,
  type PrimaryObservation,
  type RouteRequest,
  Router,
  SUSPECT_AFTER_MS,
  type Work,
} from '@shallotpick/core';
import { match } from 'ts-pattern';
import type { InstanceConnection } from './connection.js';
import { RefusedError } from './errors.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import type { ConnectionPool } from './pool.js';

const PROBE_INTERVAL_MS: Millis = 50;
/** Gap between status requests while commits or sessions wait for a majority. */
const URGENT_INTERVAL_MS: Millis = 1;
const TICK_INTERVAL_MS: Millis = 20;
const ACKNOWLEDGE_TIMEOUT_MS: Millis = 5_000;
const MAX_QUEUED = 5_000;

/** What a piece of work needs. */
export interface WorkRequest extends RouteRequest {
  readonly caller: string;
  readonly deadline: Millis;
}

/** A connection that is bound to one request or transaction. */
export interface Lease {
  readonly instance: string;
  readonly connection: InstanceConnection;
  readonly term: number;
  release(): void;
}

export interface GroupServerOptions {
  readonly group: DatabaseGroup;
  readonly vm: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly platform: Platform;
  readonly links: ReadonlyMap<string, InstanceLink>;
  readonly pools: ReadonlyMap<string, ConnectionPool>;
  readonly createAttempt: () => string;
}

interface Waiter<T> {
  readonly resolve: (value: T) => void;
  readonly reject: (error: Error) => void;
}

interface Pending extends Waiter<string> {
  readonly request: WorkRequest;
}

type Verdict =
  | { readonly kind: 'acknowledged'; readonly position: LogPosition }
  | { readonly kind: 'unknown'; readonly reason: string };

/** Serves one database group: its statuses, queue, connections and failover. */
export class GroupServer {
  readonly failover: FailoverCoordinator;

  private readonly tracker: MajorityTracker;

  private readonly queue: AdmissionQueue;

  private readonly router: Router;

  private readonly statuses = new Map<string, InstanceStatus>();

  private readonly heardAt = new Map<string, Millis>();

  private readonly pending = new Map<number, Pending>();

  private readonly commits = new Map<number, (verdict: Verdict) => void>();

  private readonly arrivals = new Map<number, Waiter<LogPosition>>();

  private readonly wakers = new Map<string, () => void>();

  private record: GroupRecord | undefined;

  private nextId = 1;

  private timer: NodeJS.Timeout | undefined;

  private stopped = false;

  constructor(private readonly options: GroupServerOptions) {
    const { group, vm, zone, createAttempt } = options;
    this.failover = new FailoverCoordinator({ vm, zone, group, createAttempt });
    this.tracker = new MajorityTracker(group.instances.map(({ id }) => id));
    this.router = new Router(zone);
    this.queue = new AdmissionQueue({
      maxQueued: MAX_QUEUED,
      findRoute: (work, now) => this.findRoute(work, now),
    });
  }

  get name(): string {
    return this.options.group.name;
  }

  start(): void {
    const now = this.options.clock.readNow();
    this.options.group.instances.forEach(({ id, slots }) => {
      this.queue.updateCapacity(
        id,
        { concurrency: slots, longPermits: Math.max(1, slots - 1) },
        now,
      );
      this.runProbes(id).catch((error: unknown) => this.options.log.error('probe loop', { error }));
    });
    this.timer = setInterval(() => this.handleTick(), TICK_INTERVAL_MS);
  }

  stop(): void {
    this.stopped = true;
    clearInterval(this.timer);
    this.wakers.forEach((wake) => wake());
    this.options.links.forEach((link) => link.close());
    this.options.pools.forEach((pool) => pool.close());
  }

  /** What is known now, for routing and for operators. */
  readView(): GroupView {
    const { tracker } = this;
    return {
      group: this.options.group,
      record: this.record,
      statuses: this.statuses,
      findAge: (instance, now) => tracker.findAge(instance, now),
      findExpectedWait: (instance) => this.queue.countRunning(instance),
    };
  }

  handleRecord(record: GroupRecord, version: number): void {
    const now = this.options.clock.readNow();
    if (this.record?.term !== record.term || this.record.phase !== record.phase) {
      const { group, term, phase, primary, writer } = record;
      this.options.log.info('group record', { group, term, phase, primary, writer });
    }
    this.record = record;
    this.runActions(this.failover.handleRecord(record, version, now));
  }

  handleObservation(observation: PrimaryObservation): void {
    this.failover.handleObservation(observation);
  }

  /**
   * Waits for a slot and a connection.
   *
   * @throws RefusedError when none comes before the deadline; nothing ran.
   */
  async admit(request: WorkRequest): Promise<Lease> {
    const work = this.createWork(request);
    const instance = await this.waitForSlot(work, request);
    const release = (): void => {
      this.runDecisions(this.queue.handleDone(instance, work, this.options.clock.readNow()));
    };
    try {
      const pool = this.findPool(instance);
      const connection = await pool.connect();
      const term = this.statuses.get(instance)?.durable.term ?? 0;
      return {
        instance,
        connection,
        term,
        release: () => {
          pool.release(connection);
          release();
        },
      };
    } catch (cause) {
      release();
      if (this.options.clock.readNow() >= request.deadline) {
        throw new RefusedError('no connection could be opened', { cause });
      }
      this.statuses.delete(instance);
      await new Promise((resolve) => {
        setTimeout(resolve, PROBE_INTERVAL_MS);
      });
      return this.admit(request);
    }
  }

  /** Waits until a majority holds everything that the primary has committed up to now. */
  async waitForMajority(primary: string, term: number): Promise<Verdict> {
    const now = this.options.clock.readNow();
    const id = this.createId();
    const deadline = now + ACKNOWLEDGE_TIMEOUT_MS;
    const verdict = new Promise<Verdict>((resolve) => {
      this.commits.set(id, resolve);
    });
    this.tracker.addCommit({ id, primary, term, completedAt: now, deadline });
    this.wakeProbes();
    const outcome = await verdict;
    this.options.metrics.acknowledgement.observe((this.options.clock.readNow() - now) / 1_000);
    return outcome;
  }

  /**
   * Finds a bound on everything acknowledged so far, for a session that brings no token.
   *
   * @throws RefusedError when no majority answers.
   */
  async findArrivalFloor(deadline: Millis): Promise<LogPosition> {
    const id = this.createId();
    const floor = new Promise<LogPosition>((resolve, reject) => {
      this.arrivals.set(id, { resolve, reject });
    });
    this.tracker.addArrival({ id, arrivedAt: this.options.clock.readNow(), deadline });
    this.wakeProbes();
    return floor;
  }

  private createId(): number {
    const id = this.nextId;
    this.nextId += 1;
    return id;
  }

  private createWork({ caller, contract, deadline }: WorkRequest): Work {
    return { id: this.createId(), caller, length: contract.length, deadline };
  }

  private async waitForSlot(work: Work, request: WorkRequest): Promise<string> {
    return new Promise((resolve, reject) => {
      this.pending.set(work.id, { request, resolve, reject });
      this.runDecisions(this.queue.add(work, this.options.clock.readNow()));
    });
  }

  private findPool(instance: string): ConnectionPool {
    const pool = this.options.pools.get(instance);
    if (!pool) throw new RefusedError(`instance ${instance} is not known`);
    return pool;
  }

  private findRoute(work: Work, now: Millis): ReturnType<Router['route']> {
    const request = this.pending.get(work.id)?.request;
    if (!request) return { kind: 'wait', reason: 'withdrawn' };
    return this.router.route(request, this.readView(), now);
  }

  private runDecisions(decisions: readonly AdmissionDecision[]): void {
    decisions.forEach((decision) => {
      const { work } = decision;
      const pending = this.pending.get(work.id);
      this.pending.delete(work.id);
      if (!pending) return;
      if (decision.kind === 'refuse') {
        this.options.log.info('refused', { group: this.name, reason: decision.reason });
        pending.reject(new RefusedError(decision.reason));
        return;
      }
      this.logRoute(decision, pending.request);
      pending.resolve(decision.instance);
    });
  }

  private logRoute(decision: AdmissionDecision & { kind: 'start' }, request: WorkRequest): void {
    const target = decision.reason === 'replica' ? 'replica' : 'primary';
    this.options.metrics.statements.inc({ group: this.name, target });
    this.options.log.info('route', {
      group: this.name,
      session: request.caller,
      contract: request.contract.name,
      instance: decision.instance,
      reason: decision.reason,
    });
  }

  private handleTick(): void {
    const now = this.options.clock.readNow();
    this.statuses.forEach((_, instance) => {
      const heardAt = this.heardAt.get(instance) ?? 0;
      if (now - heardAt > SUSPECT_AFTER_MS) this.statuses.delete(instance);
    });
    this.runVerdicts(this.tracker.handleTick(now));
    this.runDecisions(this.queue.handleTick(now));
    this.runActions(this.failover.handleTick(now));
  }

  private async runProbes(instance: string): Promise<void> {
    const link = this.options.links.get(instance);
    while (!this.stopped && link) {
      try {
        this.handleStatus(await link.readStatus());
      } catch {
        // The missing answer is what the failover coordinator acts on.
      }
      await this.waitForProbe(instance);
    }
  }

  private async waitForProbe(instance: string): Promise<void> {
    const delay = this.tracker.hasPending() ? URGENT_INTERVAL_MS : PROBE_INTERVAL_MS;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, delay);
      this.wakers.set(instance, () => {
        clearTimeout(timer);
        resolve();
      });
    });
    this.wakers.delete(instance);
  }

  private wakeProbes(): void {
    this.wakers.forEach((wake) => wake());
  }

  private handleStatus(status: InstanceStatus): void {
    const now = this.options.clock.readNow();
    const before = this.statuses.get(status.instance);
    this.statuses.set(status.instance, status);
    this.heardAt.set(status.instance, now);
    this.runVerdicts(this.tracker.handleStatus(status));
    this.runActions(this.failover.handleStatus(status, now));
    if (this.queue.countQueued() > 0 && before?.applied.offset !== status.applied.offset) {
      this.runDecisions(this.queue.handleTick(now));
    }
  }

  private runVerdicts(decisions: readonly MajorityDecision[]): void {
    decisions.forEach((decision) =>
      match(decision)
        .with({ kind: 'acknowledge' }, ({ id, position }) => {
          this.finishCommit(id, { kind: 'acknowledged', position });
        })
        .with({ kind: 'unknown' }, ({ id, reason }) => {
          this.finishCommit(id, { kind: 'unknown', reason });
        })
        .with({ kind: 'floor' }, ({ id, position }) => {
          this.arrivals.get(id)?.resolve(position);
          this.arrivals.delete(id);
        })
        .with({ kind: 'noMajority' }, ({ id }) => {
          this.arrivals.get(id)?.reject(new RefusedError('no majority of the group answers'));
          this.arrivals.delete(id);
        })
        .exhaustive(),
    );
  }

  private finishCommit(id: number, verdict: Verdict): void {
    const resolve = this.commits.get(id);
    this.commits.delete(id);
    resolve?.(verdict);
  }

  private runActions(actions: readonly FailoverAction[]): void {
    actions.forEach((action) => {
      this.options.metrics.failovers.inc({ action: action.kind });
      this.options.log.info('failover step', { group: this.name, ...action });
      this.runAction(action).catch((error: unknown) => {
        this.options.log.warn('failover step failed', {
          action: action.kind,
          error: String(error),
        });
      });
    });
  }

  private async runAction(action: FailoverAction): Promise<void> {
    const { links, clock } = this.options;
    await match(action)
      .with({ kind: 'writeRecord' }, ({ record, expectedVersion }) =>
        this.writeRecord(record, expectedVersion),
      )
      .with({ kind: 'readRecord' }, () => this.readRecord())
      .with({ kind: 'fence' }, async ({ instance, term }) => {
        const answer = await links.get(instance)?.fence(term);
        if (answer) this.runActions(this.failover.handleFence(answer, clock.readNow()));
      })
      .with({ kind: 'promote' }, async ({ instance, term }) => {
        await links.get(instance)?.promote(term);
      })
      .with({ kind: 'follow' }, async ({ instance, term, primary }) => {
        await links.get(instance)?.follow(term, primary);
      })
      .exhaustive();
  }

  private async writeRecord(record: GroupRecord, expectedVersion: number): Promise<void> {
    const { platform, clock } = this.options;
    const key = formatGroupKey(this.name);
    const outcome = await platform.write(key, JSON.stringify(record), expectedVersion);
    if (outcome.kind === 'written') this.record = record;
    this.runActions(this.failover.handleWrite(outcome, clock.readNow()));
  }

  private async readRecord(): Promise<void> {
    const object = await this.options.platform.read(formatGroupKey(this.name));
    if (object) this.handleRecord(JSON.parse(object.value) as GroupRecord, object.version);
  }

  /** The contract that stands for work without one, with the daemon's deadline. */
  createRequest(
    kind: RouteRequest['kind'],
    contract: Contract,
    floor: LogPosition,
    caller: string,
    deadline: Millis,
  ): WorkRequest {
    return { kind, contract, floor, caller, deadline };
  }
}
