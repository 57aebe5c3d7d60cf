import type { ConnectionTrace, LogPosition, Millis } from '@shallotpick/core';
import type { InstanceConnection, InstanceReply, ReplyObserver } from './connection.js';
import { ProbedState, type ProbedStateOptions } from './probedstate.js';
import type { ConnectionPool } from './pool.js';
import { ProbeSchedule, type ProbeScheduleOptions } from './probeschedule.js';
import { rollBack } from './run.js';
import type { Command, Operation, Reply } from './statement.js';
import { waitAtMost } from './timing.js';

/** An instance is silent when a probe and then a new connection time out in succession. */
const PROBE_TIMEOUT_MS: Millis = 250;
/** Delay of a probe while every connection is in use. */
const BUSY_RETRY_MS: Millis = 20;
/** A timer this late shows that this process stalled, so the probe says nothing of the instance. */
const STALL_MS: Millis = 120;

/** Result of a probe that the instance answered. */
export interface ProbeResult {
  readonly leads: boolean;
  readonly position: LogPosition | undefined;
  /** When the probe was sent, on the clock that includes suspensions of the VM. */
  readonly sentAt: Millis;
  /** How long the answer to a probe took; undefined for callers' work. */
  readonly tookMs?: Millis;
}

/** The probed instance and the services of its probe. */
export interface ProbeOptions extends ProbedStateOptions, ProbeScheduleOptions {
  /** Connections to the instance; a probe borrows an idle one. */
  readonly pool: ConnectionPool<InstanceConnection>;
  readonly onResult: (result: ProbeResult) => void;
  /** Receives every reply, and when its request was sent on the steady clock. */
  readonly onReply: (
    connection: ConnectionTrace,
    command: Command,
    reply: Reply,
    sentAt: Millis,
  ) => void;
}

/**
 * Health check of one instance. A successful plain BEGIN proves that the instance is the leader,
 * and every reply carries its log position. Probes and takeover commands bypass the admission
 * queue and use an idle connection of the pool. Replies to callers' work give the same
 * information, so a busy instance is probed less often.
 */
export class InstanceProbe implements ReplyObserver {
  private readonly state: ProbedState;

  private readonly schedule: ProbeSchedule;

  private isStopped = false;

  private isRunning = false;

  constructor(private readonly options: ProbeOptions) {
    this.state = new ProbedState(options);
    this.schedule = new ProbeSchedule(options, this.state);
  }

  get health(): ProbedState['health'] {
    return this.state.health;
  }

  get healthSince(): Millis {
    return this.state.healthSince;
  }

  /** True when the last proof of leadership has not been refuted. */
  get leads(): boolean {
    return this.state.leads;
  }

  /** When the instance last answered. */
  get answeredAt(): Millis {
    return this.state.answeredAt;
  }

  /** End of the instance's log, as its last reply told it. */
  get position(): LogPosition | undefined {
    return this.state.position;
  }

  /** When the request was sent whose reply told `position`. */
  get positionAt(): Millis {
    return this.state.positionAt;
  }

  /** Starts a probe when one is due. */
  handleTick(now: Millis): void {
    if (this.isStopped || this.isRunning) return;
    if (this.schedule.isDue(now)) this.start();
  }

  stop(): void {
    this.isStopped = true;
  }

  /** True when the last probe was answered. */
  isAnswering(): boolean {
    return this.state.isAnswering();
  }

  /** True when the instance runs, as far as its last reply tells. */
  isAlive(): boolean {
    return this.state.isAlive();
  }

  /** Clears the leadership, for example after the instance refused a statement as read-only. */
  clearLeadership(): void {
    this.state.clearLeadership();
  }

  /**
   * Sends a takeover command to the instance.
   *
   * @throws ConnectionError when the instance doesn't answer in time.
   */
  async send(operation: Operation, timeoutMs: Millis): Promise<InstanceReply> {
    return this.sendOn(await this.options.pool.connect(), operation, timeoutMs);
  }

  /**
   * Asks for the status on an idle connection, a preferred one if possible, or on a new one while the
   * limit allows it; does nothing otherwise.
   *
   * @throws ConnectionError when the instance doesn't answer in time.
   */
  async askStatus(
    isPreferred: (connection: ConnectionTrace) => boolean,
    timeoutMs: Millis,
  ): Promise<void> {
    const { pool } = this.options;
    const idle = pool.takeIdle(isPreferred);
    if (!idle && !pool.hasRoom()) return;
    const connection = idle ?? (await pool.connect());
    const sentAt = this.readNow();
    const command = { operation: { kind: 'status' } } as const;
    const reply = await this.sendOn(connection, command.operation, timeoutMs);
    // Such an answer makes the next probe of a replica unnecessary.
    if (!this.isStopped) this.state.handleReply(command, reply, sentAt);
  }

  readNow(): Millis {
    return this.options.ageClock.readNow();
  }

  /** Updates the state from a reply to a caller's work. */
  handleReply(connection: ConnectionTrace, command: Command, reply: Reply, sentAt: Millis): void {
    if (this.isStopped) return;
    const { clock, ageClock, onReply } = this.options;
    onReply(connection, command, reply, clock.readNow() - (ageClock.readNow() - sentAt));
    if (!this.state.handleReply(command, reply, sentAt)) return;
    this.options.onResult({ leads: true, position: reply.position, sentAt });
  }

  private async sendOn(
    connection: InstanceConnection,
    operation: Operation,
    timeoutMs: Millis,
  ): Promise<InstanceReply> {
    const { pool, clock, onReply } = this.options;
    const sentAt = clock.readNow();
    try {
      const reply = await waitAtMost(connection.run({ operation }), timeoutMs);
      onReply(connection, { operation }, reply, sentAt);
      return { ...reply, openedAt: connection.openedAt };
    } catch (error) {
      connection.close();
      throw error;
    } finally {
      pool.release(connection);
    }
  }

  private start(): void {
    const { clock, log } = this.options;
    this.isRunning = true;
    this.schedule.handleStart(clock.readNow());
    this.runProbe()
      .then((delay) => this.schedule.handleEnd(clock.readNow(), delay))
      .catch((error: unknown) => {
        log.error('probe failed', { error: String(error) });
      })
      .finally(() => {
        this.isRunning = false;
      });
  }

  /** Probes once and returns the time until the next probe. */
  private async runProbe(): Promise<Millis> {
    const { clock } = this.options;
    const startedAt = clock.readNow();
    try {
      const connection = await this.borrowConnection(startedAt);
      if (!connection) return BUSY_RETRY_MS;
      await this.probe(connection);
      return this.schedule.computeInterval();
    } catch (error) {
      this.handleFailure(error, clock.readNow() - startedAt);
      return this.schedule.computeRetryDelay();
    }
  }

  /** Borrows an idle connection; opens one when the limit allows it or the probe is overdue. */
  private async borrowConnection(now: Millis): Promise<InstanceConnection | undefined> {
    const { pool } = this.options;
    const { isSuspect } = this.state;
    // The other idle connections may be dead as well.
    if (isSuspect) pool.closeIdle();
    const idle = pool.takeIdle();
    if (idle) return idle;
    const isOverdue = this.schedule.isOverdue(now);
    return pool.hasRoom() || isOverdue || isSuspect ? pool.connect() : undefined;
  }

  private async probe(connection: InstanceConnection): Promise<void> {
    const { clock, ageClock, onResult, pool } = this.options;
    const sentAt = ageClock.readNow();
    const startedAt = clock.readNow();
    const begin = { operation: { kind: 'begin', isReadOnly: false } } as const;
    const answer = waitAtMost(connection.run(begin), PROBE_TIMEOUT_MS);
    const reply = await answer.catch((error: unknown) => {
      connection.close();
      pool.release(connection);
      const lateMs = clock.readNow() - startedAt - PROBE_TIMEOUT_MS;
      if (lateMs > STALL_MS) return undefined;
      throw error;
    });
    if (!reply) return;
    const tookMs = clock.readNow() - startedAt;
    this.options.onReply(connection, begin, reply, startedAt);
    await this.endProbe(connection, reply);
    if (this.isStopped) return;
    const leads = this.state.handleProbeReply(reply, sentAt);
    onResult({ leads, position: reply.position, sentAt, tookMs });
  }

  /** Rolls the probe's transaction back and returns the connection to the pool. */
  private async endProbe(connection: InstanceConnection, { state }: Reply): Promise<void> {
    const { pool } = this.options;
    if (state !== 'idle') await rollBack(connection, PROBE_TIMEOUT_MS);
    pool.release(connection);
  }

  private handleFailure(error: unknown, tookMs: Millis): void {
    if (this.isStopped) return;
    const isNewlySuspect = this.state.handleFailure(error, tookMs >= PROBE_TIMEOUT_MS);
    if (isNewlySuspect) this.schedule.raiseSuspicion();
  }
}
