import type {
  Clock,
  InstanceView,
  LogPosition,
  Millis,
  RegisteredInstance,
} from '@shallotpick/core';
import type { InstanceConnection, ReplyObserver } from './connection.js';
import { ConnectionLimitError } from './errors.js';
import type { Log } from './log.js';
import type { ConnectionPool } from './pool.js';
import type { Suspicion } from './suspicion.js';
import { rollBack } from './run.js';
import type { Command, Operation, Reply } from './statement.js';
import { waitAtMost } from './timing.js';

/** Gap between two probes of an instance by one VM of a small fleet. */
const INTERVAL_MS: Millis = 150;
/** In a larger fleet each VM probes less often, so that probes cost an instance no more. */
const SMALL_FLEET = 8;
const MAX_INTERVAL_MS: Millis = 600;
const MAX_LEADER_INTERVAL_MS: Millis = 400;
/** While the leader changes, its successor is noticed sooner; also rarer in a larger fleet. */
const URGENT_INTERVAL_MS: Millis = 25;
/** Two failures in a row, a probe and a new connection, make the instance silent. */
const PROBE_TIMEOUT_MS: Millis = 250;
const RECONNECT_MS: Millis = 100;
const MAX_RECONNECT_MS: Millis = 400;
/** Gap between probes while every connection is in use. */
const BUSY_MS: Millis = 20;
/** A probe that is late by this much opens a connection of its own. */
const OVERDUE_MS: Millis = 250;
/** An instance without room for connections is asked less often. */
const FULL_MS: Millis = 400;
/** A timer that fires this much late shows that this process stood still, not the instance. */
const STALL_MS: Millis = 120;

/** What a probe tells when the instance has answered. */
export interface ProbeResult {
  readonly leads: boolean;
  readonly position: LogPosition | undefined;
  /** When the probe was sent, on the clock that counts suspensions. */
  readonly sentAt: Millis;
}

export interface ProbeOptions {
  readonly instance: RegisteredInstance;
  /** The connections to the instance; a probe borrows one that is unused. */
  readonly pool: ConnectionPool<InstanceConnection>;
  readonly clock: Clock;
  /** Counts suspensions of the VM. */
  readonly ageClock: Clock;
  readonly log: Log;
  readonly isUrgent: () => boolean;
  readonly suspicion: Suspicion;
  /** True while an instance of the group is known to lead. */
  readonly hasLeader: () => boolean;
  /** VMs that probe the instance. */
  readonly countVms: () => number;
  readonly onResult: (result: ProbeResult) => void;
}

type Health = InstanceView['health'];

/**
 * Watches one instance: opening a plain transaction proves that the instance leads, and every
 * answer tells the end of its log. Probes wait for no slot, so an unused connection of the pool
 * carries them, and also the orders of a takeover. Replies to callers' work tell the same, so
 * that a busy instance is probed less.
 */
export class InstanceProbe implements ReplyObserver {
  health: Health = 'unknown';

  healthSince: Millis;

  leads = false;

  position: LogPosition | undefined;

  private isStopped = false;

  private isRunning = false;

  private startedAt: Millis = Number.NEGATIVE_INFINITY;

  /** When the last probe ended, and when the next one is due. */
  private endedAt: Millis = Number.NEGATIVE_INFINITY;

  private dueAt: Millis = Number.NEGATIVE_INFINITY;

  /** The last probe had no answer, and no new connection has been tried since. */
  private isSuspect = false;

  /** When an answer came last. */
  private answeredAt: Millis;

  /** When the instance last proved its lead. */
  private provedAt: Millis;

  constructor(private readonly options: ProbeOptions) {
    this.healthSince = options.clock.readNow();
    this.answeredAt = this.healthSince;
    this.provedAt = this.healthSince;
  }

  /** Starts a probe when one is due. */
  handleTick(now: Millis): void {
    if (this.isStopped || this.isRunning) return;
    const { isUrgent: isChanging, suspicion } = this.options;
    const isUrgent =
      suspicion.isRaisedSince(this.startedAt) ||
      (isChanging() && now - this.endedAt >= this.findInterval());
    if (!isUrgent && now < this.dueAt) return;
    const spare = isUrgent ? 0 : this.findSpareTime(now);
    if (spare > 0) this.dueAt = now + spare;
    else this.start();
  }

  stop(): void {
    this.isStopped = true;
  }

  /** True when the last probe was answered. */
  isAnswering(): boolean {
    return this.health === 'answering' && !this.isSuspect;
  }

  /** Forgets the lead at once, as when a statement was refused for it. */
  clearLeadership(): void {
    this.leads = false;
  }

  /**
   * Sends an order to the instance.
   *
   * @throws ConnectionError when no answer came in time.
   */
  async send(operation: Operation, timeoutMs: Millis): Promise<Reply> {
    const { pool } = this.options;
    const connection = await pool.connect();
    try {
      return await waitAtMost(connection.run({ operation }), timeoutMs);
    } catch (error) {
      connection.close();
      throw error;
    } finally {
      pool.release(connection);
    }
  }

  readNow(): Millis {
    return this.options.ageClock.readNow();
  }

  /** Takes in a reply to a caller's work. */
  handleReply({ operation }: Command, { failure, position }: Reply, sentAt: Millis): void {
    if (this.isStopped || failure || this.health !== 'answering') return;
    const { clock, onResult } = this.options;
    this.answeredAt = clock.readNow();
    this.position = position ?? this.position;
    const isProof = operation.kind === 'begin' && !operation.isReadOnly;
    if (!isProof || !this.leads) return;
    this.provedAt = this.answeredAt;
    onResult({ leads: true, position, sentAt });
  }

  /** How long the replies to other work still stand for a probe. */
  private findSpareTime(now: Millis): Millis {
    if (this.health !== 'answering' || this.isSuspect || !this.options.hasLeader()) return 0;
    const knownAt = this.leads ? this.provedAt : this.answeredAt;
    return knownAt + this.findInterval() - now;
  }

  private start(): void {
    this.isRunning = true;
    this.startedAt = this.options.clock.readNow();
    this.runRound()
      .then((pause) => {
        this.endedAt = this.options.clock.readNow();
        this.dueAt = this.endedAt + pause;
      })
      .catch((error: unknown) => {
        this.options.log.error('probe failed', { error: String(error) });
      })
      .finally(() => {
        this.isRunning = false;
      });
  }

  /** Probes once; the time until the next probe. */
  private async runRound(): Promise<Millis> {
    const { clock } = this.options;
    const startedAt = clock.readNow();
    try {
      const connection = await this.findConnection(startedAt);
      if (!connection) return BUSY_MS;
      await this.probe(connection);
      return this.findInterval();
    } catch (error) {
      this.handleFailure(error, clock.readNow() - startedAt);
      if (this.health === 'full') return FULL_MS;
      return Math.min(RECONNECT_MS * this.findScale(), MAX_RECONNECT_MS);
    }
  }

  /** How much rarer this VM probes than one of a small fleet. */
  private findScale(): number {
    return Math.max(1, this.options.countVms() / SMALL_FLEET);
  }

  private findInterval(): Millis {
    const scale = this.findScale();
    if (this.options.isUrgent()) return URGENT_INTERVAL_MS * scale;
    const interval = INTERVAL_MS * scale;
    return Math.min(interval, this.leads ? MAX_LEADER_INTERVAL_MS : MAX_INTERVAL_MS);
  }

  /** Borrows an unused connection, or opens one when there is room or no answer for long. */
  private async findConnection(now: Millis): Promise<InstanceConnection | undefined> {
    const { pool } = this.options;
    // The unused connections may have gone silent with the one that did not answer.
    if (this.isSuspect) pool.closeIdle();
    const idle = pool.takeIdle();
    if (idle) return idle;
    const isOverdue = now - this.answeredAt >= this.findInterval() + OVERDUE_MS;
    return pool.hasRoom() || isOverdue || this.isSuspect ? pool.connect() : undefined;
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
      const late = clock.readNow() - startedAt - PROBE_TIMEOUT_MS;
      if (late > STALL_MS) return undefined;
      throw error;
    });
    if (!reply) return;
    await this.endProbe(connection, reply);
    const leads = reply.failure === undefined;
    this.isSuspect = false;
    this.answeredAt = clock.readNow();
    this.provedAt = this.answeredAt;
    this.updateHealth('answering');
    this.updateLead(leads);
    this.position = reply.position ?? this.position;
    onResult({ leads, position: reply.position, sentAt });
  }

  /** Rolls the transaction back and gives the connection back to the pool. */
  private async endProbe(connection: InstanceConnection, { state }: Reply): Promise<void> {
    const { pool } = this.options;
    if (state !== 'idle') await rollBack(connection, PROBE_TIMEOUT_MS);
    pool.release(connection);
  }

  private updateHealth(health: Health): void {
    if (health === this.health) return;
    const { clock, log, instance } = this.options;
    log.info('instance health', { instance: instance.id, health, before: this.health });
    this.health = health;
    this.healthSince = clock.readNow();
  }

  private updateLead(leads: boolean): void {
    if (leads === this.leads) return;
    const { log, instance } = this.options;
    log.info('instance lead', { instance: instance.id, group: instance.group, leads });
    this.leads = leads;
  }

  private handleFailure(error: unknown, tookMs: Millis): void {
    if (this.isStopped) return;
    if (error instanceof ConnectionLimitError) {
      this.updateHealth('full');
      return;
    }
    const isSilent = tookMs >= PROBE_TIMEOUT_MS;
    // A probe without an answer may be the connection's fault; a new one tells.
    if (isSilent && this.health === 'answering' && !this.isSuspect) {
      this.isSuspect = true;
      this.options.suspicion.raise(this.startedAt);
      return;
    }
    this.isSuspect = false;
    this.updateHealth(isSilent ? 'silent' : 'refusing');
    this.updateLead(false);
  }
}
