import { type Clock, LeastRecent, type Millis, type RegisteredInstance } from '@shallotpick/core';
import type { InstanceConnection, InstanceConnector, ReplyObserver } from './connection.js';
import { ConnectionLimitError } from './errors.js';
import { ConnectionPool } from './pool.js';
import type { InstanceProbe } from './probe.js';

/** Connections to each instance that are opened before there is work for them. */
export const WARM_CONNECTIONS = 1;
/**
 * An instance counts the connections of a VM that lost power for seconds. Idle connections are
 * closed early, so that the VM's next process stays within the instance's connection limit.
 */
const IDLE_POLICY = { idleTimeoutMs: 1_000, minOpen: WARM_CONNECTIONS };
const CONNECT_TIMEOUT_MS: Millis = 400;
const INITIAL_LATENCY_MS: Millis = 10;
/** Weight of a new sample in the moving average of latencies. */
const LATENCY_WEIGHT = 0.15;
/** Old measurements decay towards the initial latency, so that a slow instance is tried again. */
const LATENCY_HALF_LIFE_MS: Millis = 1_000;
/** No connection is opened for this long after the instance reported its connection limit. */
const FULL_RETRY_MS: Millis = 200;

/** Connection pool of one instance. */
export class InstancePool extends ConnectionPool<InstanceConnection> {
  observer: ReplyObserver | undefined;

  constructor(
    private readonly connector: InstanceConnector,
    private readonly instance: RegisteredInstance,
    private readonly steadyClock: Clock,
    private readonly onOpened: (owner: 'vm' | 'organisation') => void = () => undefined,
  ) {
    super(steadyClock, IDLE_POLICY);
  }

  protected override async openConnection(
    organisation: string | undefined,
  ): Promise<InstanceConnection> {
    const dialedAt = this.steadyClock.readNow();
    const connection = await this.connector.open(this.instance, CONNECT_TIMEOUT_MS, organisation);
    connection.organisation = organisation;
    this.onOpened(organisation === undefined ? 'vm' : 'organisation');
    connection.dialedAt = dialedAt;
    connection.openedAt = this.steadyClock.readNow();
    connection.observer = this.observer;
    return connection;
  }
}

/** Connection pool and probe of a member. */
export interface MemberParts {
  readonly pool: InstancePool;
  readonly probe: InstanceProbe;
}

/** An instance of a group with this proxy's connections, probe and load. */
export class Member {
  readonly pool: InstancePool;

  readonly probe: InstanceProbe;

  /**
   * True once the registration has expired. The instance gets no new work, but while it answers it
   * may hold acknowledged commits, so it is still probed and takes part in takeovers.
   */
  isExpired = false;

  /** Number of this proxy's statements that run on the instance. */
  private running = 0;

  private latencyMs: Millis = INITIAL_LATENCY_MS;

  /** When the latency was last measured. */
  measuredAt: Millis = 0;

  private readonly roundTrips = new LeastRecent();

  private fullUntil: Millis = 0;

  constructor(
    public instance: RegisteredInstance,
    { pool, probe }: MemberParts,
  ) {
    this.pool = pool;
    this.probe = probe;
  }

  get id(): string {
    return this.instance.id;
  }

  /** Notes that the registration has expired. */
  expire(): void {
    this.isExpired = true;
  }

  /** Notes that the instance is registered again. */
  renew(): void {
    this.isExpired = false;
  }

  /** True when the instance gets no new work, because it is leaving or no longer registered. */
  isLeaving(): boolean {
    return this.instance.leaving === true || this.isExpired;
  }

  /** True when the instance may receive new work. */
  isUsable(): boolean {
    return !this.isLeaving() && this.probe.health === 'answering';
  }

  /** Records that a statement starts or has ended on the instance. */
  updateRunning(isBusy: boolean): void {
    this.running += isBusy ? 1 : -1;
  }

  /** Records the latency of a statement, including the time it waited at the instance. */
  recordLatency(tookMs: Millis, now: Millis): void {
    this.latencyMs = this.estimateLatency(now);
    this.latencyMs += LATENCY_WEIGHT * (tookMs - this.latencyMs);
    this.measuredAt = now;
  }

  /** Expected latency of a statement. */
  estimateLatency(now: Millis): Millis {
    const age = now - this.measuredAt;
    const weight = 0.5 ** (age / LATENCY_HALF_LIFE_MS);
    return INITIAL_LATENCY_MS + (this.latencyMs - INITIAL_LATENCY_MS) * weight;
  }

  /** Records how long an answer took that needed no work at the instance. */
  recordRoundTrip(tookMs: Millis, now: Millis): void {
    this.roundTrips.add(tookMs, now);
  }

  /** Time to the instance and back. */
  estimatePath(): Millis {
    return this.roundTrips.find() ?? 0;
  }

  /** Expected time of a statement at the instance, without the path to it. */
  estimateWork(now: Millis): Millis {
    const work = Math.max(0, this.estimateLatency(now) - this.estimatePath());
    return work * Math.max(1, (this.running + 1) / Math.max(1, this.instance.slots));
  }

  findExpectedWait(now: Millis): Millis {
    return (this.estimateLatency(now) * (this.running + 1)) / Math.max(1, this.instance.slots);
  }

  /** Stops opening connections for a while when the instance's connection limit was the reason. */
  handleConnectionFailure(error: unknown, now: Millis): void {
    if (error instanceof ConnectionLimitError) this.fullUntil = now + FULL_RETRY_MS;
  }

  /** Number of connections that may be open now, at most this proxy's share. */
  computeLimit(share: number, now: Millis): number {
    return now < this.fullUntil ? Math.min(share, this.pool.countOpen()) : share;
  }
}
