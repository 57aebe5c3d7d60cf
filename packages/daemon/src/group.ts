import {
  type AdmissionDecision,
  AdmissionQueue,
  type Clock,
  type Contract,
  type DatabaseGroup,
  type GroupRecord,
  type GroupView,
  type InstanceStatus,
  type LogPosition,
  type Millis,
  type RouteRequest,
  Router,
  type Work,
} from '@shallotpick/core';
import type { InstanceConnection } from './connection.js';
import { RefusedError } from './errors.js';
import type { FailoverDriver } from './failover.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import type { ConnectionPool } from './pool.js';
import type { StatusBoard, Verdict } from './status.js';

const TICK_INTERVAL_MS: Millis = 20;
const RECONNECT_DELAY_MS: Millis = 50;
const MAX_QUEUED = 5_000;

/** What a piece of work needs. */
export interface WorkRequest extends RouteRequest {
  readonly contract: Contract;
  readonly caller: string;
  readonly deadline: Millis;
}

/** A connection that is bound to one request or transaction. */
export interface Lease {
  readonly instance: string;
  readonly connection: InstanceConnection;
  /** Term of the instance's log when the lease began. */
  readonly term: number;
  release(): void;
}

export interface GroupServerOptions {
  readonly group: DatabaseGroup;
  readonly zone: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly pools: ReadonlyMap<string, ConnectionPool>;
  readonly createBoard: (onStatus: StatusListener) => StatusBoard;
  readonly failover: FailoverDriver;
}

type StatusListener = (status: InstanceStatus, before: InstanceStatus | undefined) => void;

interface Pending {
  readonly request: WorkRequest;
  readonly resolve: (instance: string) => void;
  readonly reject: (error: Error) => void;
}

/** Serves one database group: its statuses, queue, connections and failover. */
export class GroupServer {
  private readonly board: StatusBoard;

  private readonly queue: AdmissionQueue;

  private readonly router: Router;

  private readonly pending = new Map<number, Pending>();

  /** Leases of writes and transactions. */
  private readonly writing = new Set<Lease>();

  /** Connections being opened: what gives each up, and its instance. */
  private readonly opening = new Map<(error: Error) => void, string>();

  /** Highest term whose primary this proxy knows. */
  private servedTerm = 0;

  /** The group with the instances that are leaving marked. */
  private group: DatabaseGroup;

  /** Leases that are held. */
  private leased = 0;

  private nextId = 1;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: GroupServerOptions) {
    this.group = options.group;
    this.board = options.createBoard((status, before) => this.handleStatus(status, before));
    this.router = new Router(options.zone);
    this.queue = new AdmissionQueue({
      maxQueued: MAX_QUEUED,
      findRoute: (work, now) => this.findRoute(work, now),
    });
  }

  get name(): string {
    return this.options.group.name;
  }

  get failover(): FailoverDriver {
    return this.options.failover;
  }

  start(): void {
    const now = this.options.clock.readNow();
    this.options.group.instances.forEach(({ id, slots }) => {
      const longPermits = Math.max(1, slots - 1);
      this.queue.updateCapacity(id, { concurrency: slots, longPermits }, now);
    });
    this.board.start();
    this.timer = setInterval(() => this.handleTick(), TICK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.board.stop();
    this.options.pools.forEach((pool) => pool.close());
  }

  /** True when nothing runs, waits or holds a connection. */
  isIdle(): boolean {
    return this.leased === 0 && this.pending.size === 0;
  }

  /** Replaces the instances that get no new work; their idle connections are closed. */
  updateLeaving(leaving: ReadonlySet<string>): void {
    const { group, pools } = this.options;
    const instances = group.instances.map((one) => ({ ...one, leaving: leaving.has(one.id) }));
    this.group = { ...group, instances };
    pools.forEach((pool, id) => pool.updateLeaving(leaving.has(id)));
  }

  /** What is known now, for routing and for operators. */
  readView(): GroupView {
    const { board } = this;
    return {
      group: this.group,
      record: this.failover.record,
      statuses: board.statuses,
      findAge: (instance, now) => board.findAge(instance, now),
      findExpectedWait: (instance) => this.queue.countRunning(instance),
    };
  }

  handleRecord(record: GroupRecord, version: number): void {
    this.failover.handleRecord(record, version);
  }

  /**
   * Waits for a slot and a connection.
   *
   * @throws RefusedError when none comes before the deadline; nothing ran.
   */
  async admit(request: WorkRequest): Promise<Lease> {
    const { caller, contract, deadline } = request;
    const work: Work = { id: this.createId(), caller, length: contract.length, deadline };
    const instance = await this.waitForSlot(work, request);
    const release = (): void => {
      this.runDecisions(this.queue.handleDone(instance, work, this.options.clock.readNow()));
    };
    try {
      return await this.openLease(instance, request.kind, release);
    } catch (cause) {
      release();
      if (this.options.clock.readNow() >= deadline) {
        throw new RefusedError('no connection could be opened', { cause });
      }
      this.board.removeStatus(instance);
      await new Promise((resolve) => {
        setTimeout(resolve, RECONNECT_DELAY_MS);
      });
      return this.admit(request);
    }
  }

  /** Waits until a majority holds everything that the primary has committed up to now. */
  async waitForMajority(primary: string, term: number): Promise<Verdict> {
    return this.board.waitForMajority(primary, term);
  }

  /**
   * Finds a bound on everything acknowledged so far, for a session that brings no token.
   *
   * @throws RefusedError when no majority answers.
   */
  async findArrivalFloor(deadline: Millis): Promise<LogPosition> {
    return this.board.findArrivalFloor(deadline);
  }

  private createId(): number {
    const id = this.nextId;
    this.nextId += 1;
    return id;
  }

  private async openLease(
    instance: string,
    kind: WorkRequest['kind'],
    release: () => void,
  ): Promise<Lease> {
    const pool = this.options.pools.get(instance);
    if (!pool) throw new RefusedError(`instance ${instance} is not known`);
    const connection = await this.connect(pool, instance);
    const term = this.board.statuses.get(instance)?.durable.term ?? 0;
    const lease: Lease = {
      instance,
      connection,
      term,
      release: () => {
        this.leased -= 1;
        this.writing.delete(lease);
        pool.release(connection);
        release();
      },
    };
    this.leased += 1;
    if (kind === 'write') this.writing.add(lease);
    return lease;
  }

  /** Opens a connection, and gives up when the group's primary is replaced in the meantime. */
  private async connect(pool: ConnectionPool, instance: string): Promise<InstanceConnection> {
    const opening = pool.connect();
    const replaced = new Promise<never>((_, reject) => {
      this.opening.set(reject, instance);
      opening.catch(() => undefined).finally(() => this.opening.delete(reject));
    });
    try {
      return await Promise.race([opening, replaced]);
    } catch (error) {
      opening.then(
        (connection) => pool.release(connection),
        () => undefined,
      );
      throw error;
    }
  }

  private async waitForSlot(work: Work, request: WorkRequest): Promise<string> {
    return new Promise((resolve, reject) => {
      this.pending.set(work.id, { request, resolve, reject });
      this.runDecisions(this.queue.add(work, this.options.clock.readNow()));
    });
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
        this.options.metrics.refusals.inc({ reason: decision.reason });
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
    this.board.handleTick(now);
    this.runDecisions(this.queue.handleTick(now));
    this.failover.handleTick(now);
    this.closeReplaced();
  }

  /** Ends what waits for a replaced primary, which may be paused and never answer. */
  private closeReplaced(): void {
    const { record } = this.failover;
    if (record?.phase !== 'named') return;
    this.board.handleTerm(record.term);
    this.writing.forEach((lease) => {
      if (lease.instance !== record.primary || lease.term < record.term) lease.connection.close();
    });
    if (record.term === this.servedTerm) return;
    this.servedTerm = record.term;
    this.opening.forEach((instance, refuse) => {
      if (instance !== record.primary) refuse(new RefusedError('the primary was replaced'));
    });
  }

  private handleStatus(status: InstanceStatus, before: InstanceStatus | undefined): void {
    const now = this.options.clock.readNow();
    this.failover.handleStatus(status, now);
    if (this.queue.countQueued() > 0 && before?.applied.offset !== status.applied.offset) {
      this.runDecisions(this.queue.handleTick(now));
    }
  }
}
