import {
  type BorrowGrant,
  type BorrowRequest,
  type Clock,
  type DatabaseGroup,
  type GroupRecord,
  type GroupView,
  type InstanceStatus,
  type LogPosition,
  type Millis,
  Router,
  StatusView,
} from '@shallotpick/core';
import { Admission, type AdmissionDependencies, type Slot, type WorkRequest } from './admission.js';
import type { InstanceConnection } from './connection.js';
import { InstanceError, RefusedError } from './errors.js';
import type { FailoverDriver } from './failover.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import type { ConnectionPool } from './pool.js';
import type { StatusMonitor, CommitOutcome } from './status.js';

const TICK_INTERVAL_MS: Millis = 20;
const RECONNECT_DELAY_MS: Millis = 50;
/** The instance refused the connection, so the work did not run. */
const TOO_MANY = '53300';

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
  readonly createQuota: AdmissionDependencies['createQuota'];
  readonly createMonitor: (onStatus: StatusListener) => StatusMonitor;
  readonly failover: FailoverDriver;
}

type StatusListener = (status: InstanceStatus, before: InstanceStatus | undefined) => void;

/** Serves one database group: its statuses, queue, connections and failover. */
export class GroupServer {
  private readonly board: StatusMonitor;

  private readonly admission: Admission;

  private readonly router: Router;

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

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: GroupServerOptions) {
    this.group = options.group;
    this.board = options.createMonitor((status, before) => this.handleStatus(status, before));
    this.router = new Router(options.zone);
    this.admission = new Admission({
      ...options,
      findRoute: (request, now) => {
        const route = this.router.route(request, new StatusView(this.readView()), now);
        // What is known of the replicas may be older than the session's floor.
        if (route.reason !== 'replica') this.board.refresh(request.minPosition, now);
        return route;
      },
    });
  }

  get name(): string {
    return this.options.group.name;
  }

  get failover(): FailoverDriver {
    return this.options.failover;
  }

  start(): void {
    this.board.start();
    this.timer = setInterval(() => this.handleTick(), TICK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.board.stop();
    this.admission.stop();
    // Work that runs keeps its connection to the end.
    this.options.pools.forEach((pool) => pool.drain());
  }

  /** True when nothing runs, waits or holds a connection. */
  isIdle(): boolean {
    return this.leased === 0 && this.admission.isIdle();
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
      findExpectedWait: (instance) => this.admission.findExpectedWait(instance),
      typicalCostMs: this.admission.readTypicalCost(),
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
    const slot = await this.admission.admit(request);
    try {
      return await this.openLease(slot, request.kind);
    } catch (cause) {
      slot.release();
      if (this.options.clock.readNow() >= request.deadline) {
        throw new RefusedError('no connection could be opened', { cause });
      }
      // An instance that has too many connections answers, so it stays in routing.
      const isFull = cause instanceof InstanceError && 'code' in cause && cause.code === TOO_MANY;
      if (!isFull) this.board.removeStatus(slot.instance);
      await new Promise((resolve) => {
        setTimeout(resolve, RECONNECT_DELAY_MS);
      });
      return this.admit(request);
    }
  }

  /** Waits until a majority holds everything that the primary has committed up to now. */
  async waitForMajority(primary: string, term: number): Promise<CommitOutcome> {
    return this.board.waitForMajority(primary, term);
  }

  /**
   * Finds a bound on everything acknowledged so far, for a session that brings no token.
   *
   * @throws RefusedError when no majority answers.
   */
  async findInitialPosition(deadline: Millis): Promise<LogPosition> {
    return this.board.findInitialPosition(deadline);
  }

  private async openLease(slot: Slot, kind: WorkRequest['kind']): Promise<Lease> {
    const { instance } = slot;
    const pool = this.options.pools.get(instance);
    if (!pool) throw new RefusedError(`instance ${instance} is not known`);
    const connection = await this.connect(pool, instance);
    const term = this.board.statuses.get(instance)?.durable.term ?? 0;
    connection.onBusy = (isBusy) => slot.update(isBusy, connection.state !== 'I');
    const lease: Lease = {
      instance,
      connection,
      term,
      release: () => {
        this.leased -= 1;
        connection.onBusy = undefined;
        this.writing.delete(lease);
        pool.release(connection);
        slot.release();
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

  private handleTick(): void {
    const now = this.options.clock.readNow();
    this.board.handleTick(now);
    this.admission.handleTick();
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
    const { quota } = this.admission;
    quota.handleStatus(status.instance, status.role === 'primary', status.connections);
    if (before?.applied.offset !== status.applied.offset) this.admission.retryQueued();
  }

  /** Answers a holder of a quota of this group. */
  handleBorrow(request: BorrowRequest): BorrowGrant | undefined {
    return this.admission.quota.handleRequest(request);
  }
}
