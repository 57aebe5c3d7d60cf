import type { Clock, Millis, RegisteredInstance } from '@shallotpick/core';
import type { InstanceConnection, InstanceConnector, ReplyObserver } from './connection.js';
import { ConnectionLimitError } from './errors.js';
import { ConnectionPool } from './pool.js';
import type { InstanceProbe } from './probe.js';

/** Connections that are kept open to each instance before there is work for them. */
export const WARM_CONNECTIONS = 1;
/**
 * Connections of a VM that lost power count at the instance for seconds. Unused ones are closed,
 * so that its next process finds room.
 */
const TRIM = { idleTimeoutMs: 1_000, minOpen: WARM_CONNECTIONS };
const CONNECT_TIMEOUT_MS: Millis = 400;
const FIRST_LATENCY_MS: Millis = 10;
const LATENCY_WEIGHT = 0.15;
/** A slow instance is tried again as its last measurements grow old. */
const LATENCY_HALF_LIFE_MS: Millis = 1_000;
/** After the instance has refused a connection for want of room, none is opened for this long. */
const FULL_MS: Millis = 200;

/** The connections to one instance. */
export class InstancePool extends ConnectionPool<InstanceConnection> {
  observer: ReplyObserver | undefined;

  constructor(
    private readonly connector: InstanceConnector,
    private readonly instance: RegisteredInstance,
    clock: Clock,
  ) {
    super(clock, TRIM);
  }

  protected override async openConnection(): Promise<InstanceConnection> {
    const connection = await this.connector.open(this.instance, CONNECT_TIMEOUT_MS);
    connection.observer = this.observer;
    return connection;
  }
}

export interface MemberOptions {
  readonly instance: RegisteredInstance;
  readonly pool: InstancePool;
  readonly probe: InstanceProbe;
  /** When the instance was first seen leaving; undefined while it stays. */
  readonly leavingSince?: Millis;
}

/** One instance of a group as this proxy uses it. */
export class Member {
  readonly pool: InstancePool;

  readonly probe: InstanceProbe;

  /** Statements of this proxy that run there. */
  private running = 0;

  private latencyMs: Millis = FIRST_LATENCY_MS;

  private measuredAt: Millis = 0;

  private fullUntil: Millis = 0;

  constructor(
    public instance: RegisteredInstance,
    { pool, probe }: Pick<MemberOptions, 'pool' | 'probe'>,
  ) {
    this.pool = pool;
    this.probe = probe;
  }

  get id(): string {
    return this.instance.id;
  }

  /** True when new work may go there. */
  isUsable(): boolean {
    return !this.instance.leaving && this.probe.health === 'answering';
  }

  /** A statement of this proxy starts or has ended there. */
  updateRunning(isBusy: boolean): void {
    this.running += isBusy ? 1 : -1;
  }

  /** Records how long a statement took, waiting at the instance included. */
  recordLatency(tookMs: Millis, now: Millis): void {
    this.latencyMs = this.readLatency(now);
    this.latencyMs += LATENCY_WEIGHT * (tookMs - this.latencyMs);
    this.measuredAt = now;
  }

  /** Expected time of a statement there. */
  readLatency(now: Millis): Millis {
    const age = now - this.measuredAt;
    const weight = 0.5 ** (age / LATENCY_HALF_LIFE_MS);
    return FIRST_LATENCY_MS + (this.latencyMs - FIRST_LATENCY_MS) * weight;
  }

  findExpectedWait(now: Millis): Millis {
    return (this.readLatency(now) * (this.running + 1)) / Math.max(1, this.instance.slots);
  }

  /** Notes that the instance has no room for connections when that was the reason. */
  handleConnectFailure(error: unknown, now: Millis): void {
    if (error instanceof ConnectionLimitError) this.fullUntil = now + FULL_MS;
  }

  /** Connections that may be open now, of the share that this proxy has. */
  findLimit(share: number, now: Millis): number {
    return now < this.fullUntil ? Math.min(share, this.pool.countOpen()) : share;
  }
}
