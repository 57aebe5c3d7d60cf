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
/** SQLSTATE of an instance at its connection limit; the request did not run. */
const TOO_MANY_CONNECTIONS = '53300';

/** A connection and its slot, bound to one request or transaction. */
export interface Lease {
  readonly instance: string;
  readonly connection: InstanceConnection;
  /** Term of the instance's log when the lease was created. */
  readonly term: number;
  release(): void;
}

/** Options of {@link GroupServer}. */
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

/** Receives each status of an instance, with its previous one. */
type StatusListener = (status: InstanceStatus, before: InstanceStatus | undefined) => void;

/** Serves one database group: status polling, request queue, connections and failover. */
export class GroupServer {
  private readonly monitor: StatusMonitor;

  private readonly admission: Admission;

  private readonly router: Router;

  /** Leases of writes and transactions, which are closed when the primary is replaced. */
  private readonly writeLeases = new Set<Lease>();

  /** Connections being opened: the instance, by the function that aborts the wait. */
  private readonly pendingConnects = new Map<(error: Error) => void, string>();

  /** Term of the last primary for which waits on replaced primaries were aborted. */
  private handledTerm = 0;

  /** The group, with leaving instances marked. */
  private group: DatabaseGroup;

  /** Number of leases in use. */
  private leaseCount = 0;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: GroupServerOptions) {
    this.group = options.group;
    this.monitor = options.createMonitor((status, before) => this.handleStatus(status, before));
    this.router = new Router(options.zone);
    this.admission = new Admission({
      ...options,
      findRoute: (request, now) => {
        const route = this.router.route(request, new StatusView(this.readView()), now);
        // The known replica positions may be older than the session's minimum position.
        if (route.reason !== 'replica') this.monitor.refresh(request.minPosition, now);
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
    this.monitor.start();
    this.timer = setInterval(() => this.handleTick(), TICK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.monitor.stop();
    this.admission.stop();
    // Running requests keep their connections until they finish.
    this.options.pools.forEach((pool) => pool.drain());
  }

  /** True when no request is running, queued, holding a connection or waiting for a majority. */
  isIdle(): boolean {
    return this.leaseCount === 0 && this.admission.isIdle() && this.monitor.isIdle();
  }

  /** Sets the leaving instances, which get no new work; closes their idle connections. */
  updateLeaving(leaving: ReadonlySet<string>): void {
    const { group, pools } = this.options;
    const instances = group.instances.map((each) => ({ ...each, leaving: leaving.has(each.id) }));
    this.group = { ...group, instances };
    pools.forEach((pool, id) => pool.updateLeaving(leaving.has(id)));
  }

  /** Returns the current state of the group, for routing and for operators. */
  readView(): GroupView {
    const { monitor } = this;
    return {
      group: this.group,
      record: this.failover.record,
      statuses: monitor.statuses,
      findAge: (instance, now) => monitor.findAge(instance, now),
      findExpectedWait: (instance) => this.admission.findExpectedWait(instance),
      typicalCostMs: this.admission.readTypicalCost(),
    };
  }

  handleRecord(record: GroupRecord, version: number): void {
    this.failover.handleRecord(record, version);
    this.updateIncarnations();
  }

  /** Handles that the platform has no record of the group, as of `version`. */
  handleMissingRecord(version: number): void {
    this.failover.handleMissingRecord(version);
  }

  /**
   * Waits for a slot and opens a connection.
   *
   * @throws RefusedError when none is available before the deadline; the request did not run.
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
      // An instance at its connection limit is still reachable, so it stays in routing.
      const isFull =
        cause instanceof InstanceError && 'code' in cause && cause.code === TOO_MANY_CONNECTIONS;
      if (!isFull) this.monitor.removeStatus(slot.instance);
      await new Promise((resolve) => {
        setTimeout(resolve, RECONNECT_DELAY_MS);
      });
      return this.admit(request);
    }
  }

  /** Waits until a majority holds everything that the primary has committed so far. */
  async waitForMajority(primary: string, term: number): Promise<CommitOutcome> {
    return this.monitor.waitForMajority(primary, term);
  }

  /**
   * Finds a position at or after every commit acknowledged so far, for a session without a token.
   *
   * @throws RefusedError when no majority of the group responds.
   */
  async findInitialPosition(deadline: Millis): Promise<LogPosition> {
    return this.monitor.findInitialPosition(deadline);
  }

  private async openLease(slot: Slot, kind: WorkRequest['kind']): Promise<Lease> {
    const { instance } = slot;
    const pool = this.options.pools.get(instance);
    if (!pool) throw new RefusedError(`instance ${instance} is not known`);
    const incarnation = this.monitor.statuses.get(instance)?.incarnation;
    const connection = await this.connect(pool, instance);
    if (connection.incarnation !== incarnation) {
      // The instance was chosen for data that it may have lost since.
      connection.close();
      pool.release(connection);
      throw new InstanceError(`instance ${instance} has lost its data or is not known`);
    }
    const term = this.monitor.statuses.get(instance)?.durable.term ?? 0;
    connection.onBusy = (isBusy) => slot.update(isBusy, connection.state !== 'I');
    const lease: Lease = {
      instance,
      connection,
      term,
      release: () => {
        this.leaseCount -= 1;
        connection.onBusy = undefined;
        this.writeLeases.delete(lease);
        pool.release(connection);
        slot.release();
      },
    };
    this.leaseCount += 1;
    if (kind === 'write') this.writeLeases.add(lease);
    return lease;
  }

  /** Opens a connection, and gives up when the group's primary is replaced meanwhile. */
  private async connect(pool: ConnectionPool, instance: string): Promise<InstanceConnection> {
    const opening = pool.connect();
    const replaced = new Promise<never>((_, reject) => {
      this.pendingConnects.set(reject, instance);
      opening.catch(() => undefined).finally(() => this.pendingConnects.delete(reject));
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
    this.monitor.handleTick(now);
    this.admission.handleTick();
    this.failover.handleTick(now);
    this.updateIncarnations();
    this.handleReplacedPrimary();
  }

  private updateIncarnations(): void {
    const { record } = this.failover;
    if (record) this.monitor.updateIncarnations(record.incarnations);
  }

  /** Aborts waits for a replaced primary, which may be paused and never respond. */
  private handleReplacedPrimary(): void {
    const { record } = this.failover;
    if (record?.phase !== 'named') return;
    this.monitor.handleTerm(record.term);
    this.writeLeases.forEach((lease) => {
      if (lease.instance !== record.primary || lease.term < record.term) lease.connection.close();
    });
    if (record.term === this.handledTerm) return;
    this.handledTerm = record.term;
    this.pendingConnects.forEach((instance, refuse) => {
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

  /** Handles a quota request of a peer for an instance of this group. */
  handleBorrow(request: BorrowRequest): BorrowGrant | undefined {
    return this.admission.quota.handleRequest(request);
  }
}
