import type {
  Clock,
  InstanceView,
  LogPosition,
  Millis,
  RegisteredInstance,
} from '@shallotpick/core';
import type { InstanceConnection, InstanceConnector } from './connection.js';
import { ConnectionError, ConnectionLimitError } from './errors.js';
import type { Log } from './log.js';
import type { Operation, Reply } from './statement.js';
import { wait, waitAtMost } from './timing.js';

/** Gap between two probes of an instance. */
const INTERVAL_MS: Millis = 150;
/** While the leader changes, its successor is noticed sooner. */
const URGENT_INTERVAL_MS: Millis = 25;
/** Two failures in a row, a probe and a new connection, make the instance silent. */
const PROBE_TIMEOUT_MS: Millis = 250;
const RECONNECT_MS: Millis = 100;
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
  readonly connector: InstanceConnector;
  readonly clock: Clock;
  /** Counts suspensions of the VM. */
  readonly ageClock: Clock;
  readonly log: Log;
  readonly isUrgent: () => boolean;
  readonly onResult: (result: ProbeResult) => void;
}

type Health = InstanceView['health'];

/**
 * Watches one instance over a connection of its own: opening a plain transaction proves that the
 * instance leads, and every answer tells the end of its log. The same connection carries the
 * orders of a takeover.
 */
export class InstanceProbe {
  health: Health = 'unknown';

  since: Millis;

  leads = false;

  position: LogPosition | undefined;

  private connection: InstanceConnection | undefined;

  private isStopped = false;

  /** The last probe had no answer, and no new connection has been tried since. */
  private isSuspect = false;

  constructor(private readonly options: ProbeOptions) {
    this.since = options.clock.readNow();
  }

  start(): void {
    this.run().catch((error: unknown) => {
      this.options.log.error('probe ended', { error: String(error) });
    });
  }

  stop(): void {
    this.isStopped = true;
    this.connection?.close();
  }

  /** Forgets the lead at once, as when a statement was refused for it. */
  removeLead(): void {
    this.leads = false;
  }

  /**
   * Sends an order on the probe's connection.
   *
   * @throws ConnectionError when no answer came in time.
   */
  async send(operation: Operation, timeoutMs: Millis): Promise<Reply> {
    const { connection } = this;
    if (!connection?.isUsable()) throw new ConnectionError('the instance is not connected');
    return waitAtMost(connection.run({ operation }), timeoutMs);
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      const startedAt = this.options.clock.readNow();
      try {
        await this.connect();
        await this.probe();
        await wait(this.options.isUrgent() ? URGENT_INTERVAL_MS : INTERVAL_MS);
      } catch (error) {
        this.handleFailure(error, this.options.clock.readNow() - startedAt);
        await wait(RECONNECT_MS);
      }
    }
    this.connection?.close();
  }

  private async connect(): Promise<void> {
    if (this.connection?.isUsable()) return;
    const { connector, instance } = this.options;
    this.connection = await connector.open(instance, PROBE_TIMEOUT_MS);
  }

  private async probe(): Promise<void> {
    const { connection } = this;
    if (!connection) return;
    const { clock, ageClock, onResult } = this.options;
    const sentAt = ageClock.readNow();
    const startedAt = clock.readNow();
    const begin = { operation: { kind: 'begin', isReadOnly: false } } as const;
    const answer = waitAtMost(connection.run(begin), PROBE_TIMEOUT_MS);
    const reply = await answer.catch((error: unknown) => {
      connection.close();
      const late = clock.readNow() - startedAt - PROBE_TIMEOUT_MS;
      if (late > STALL_MS) return undefined;
      throw error;
    });
    if (!reply) return;
    const leads = reply.failure === undefined;
    if (reply.state !== 'idle') {
      // A failed rollback closes the connection, which the next round notices.
      connection.run({ operation: { kind: 'rollback' } }).catch(() => connection.close());
    }
    this.isSuspect = false;
    this.updateHealth('answering');
    this.updateLead(leads);
    this.position = reply.position ?? this.position;
    onResult({ leads, position: reply.position, sentAt });
  }

  private updateHealth(health: Health): void {
    if (health === this.health) return;
    const { clock, log, instance } = this.options;
    log.info('instance health', { instance: instance.id, health, before: this.health });
    this.health = health;
    this.since = clock.readNow();
  }

  private updateLead(leads: boolean): void {
    if (leads === this.leads) return;
    const { log, instance } = this.options;
    log.info('instance lead', { instance: instance.id, group: instance.group, leads });
    this.leads = leads;
  }

  private handleFailure(error: unknown, tookMs: Millis): void {
    this.connection?.close();
    this.connection = undefined;
    if (this.isStopped) return;
    if (error instanceof ConnectionLimitError) {
      this.updateHealth('full');
      return;
    }
    const isSilent = tookMs >= PROBE_TIMEOUT_MS;
    // A probe without an answer may be the connection's fault; a new one tells.
    if (isSilent && this.health === 'answering' && !this.isSuspect) {
      this.isSuspect = true;
      return;
    }
    this.isSuspect = false;
    this.updateHealth(isSilent ? 'silent' : 'refusing');
    this.updateLead(false);
  }
}
