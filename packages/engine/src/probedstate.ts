import {
  type Clock,
  type InstanceView,
  isAlive,
  type LogPosition,
  type Millis,
  type RegisteredInstance,
} from '@shallotpick/core';
import { ConnectionLimitError } from './errors.js';
import type { Log } from './log.js';
import type { Command, Reply } from './statement.js';

/** Health of an instance as its last probe showed it. */
type Health = InstanceView['health'];

/** The instance and the services of its state. */
export interface ProbedStateOptions {
  readonly instance: RegisteredInstance;
  readonly clock: Clock;
  /** Clock that includes suspensions of the VM. */
  readonly ageClock: Clock;
  readonly log: Log;
}

/** What the replies of one instance, and their absence, tell of it. */
export class ProbedState {
  health: Health = 'unknown';

  healthSince: Millis;

  leads = false;

  position: LogPosition | undefined;

  /** When the request was sent whose reply told `position`. */
  positionAt: Millis = Number.NEGATIVE_INFINITY;

  /** True after a probe without an answer, until a new connection has been tried. */
  isSuspect = false;

  /** When the instance last answered. */
  answeredAt: Millis;

  /** When the instance last proved its leadership. */
  provedAt: Millis;

  constructor(private readonly options: ProbedStateOptions) {
    this.healthSince = options.clock.readNow();
    this.answeredAt = this.healthSince;
    this.provedAt = this.healthSince;
  }

  /** True when the last probe was answered. */
  isAnswering(): boolean {
    return this.health === 'answering' && !this.isSuspect;
  }

  /** True when the instance runs, as far as its last reply tells. */
  isAlive(): boolean {
    return isAlive(this);
  }

  /** Clears the leadership, for example after the instance refused a statement as read-only. */
  clearLeadership(): void {
    this.leads = false;
  }

  /** Handles the reply to a probe's plain BEGIN; returns whether the instance leads. */
  handleProbeReply({ failure, position }: Reply, sentAt: Millis): boolean {
    const leads = failure === undefined;
    this.isSuspect = false;
    this.answeredAt = this.options.clock.readNow();
    this.provedAt = this.answeredAt;
    this.updateHealth('answering');
    this.updateLeadership(leads);
    this.updatePosition(position, sentAt);
    return leads;
  }

  /** Handles a reply to a caller's work; returns true when it proves the leadership again. */
  handleReply({ operation }: Command, { failure, position }: Reply, sentAt: Millis): boolean {
    if (failure || this.health !== 'answering') return false;
    this.answeredAt = this.options.clock.readNow();
    this.updatePosition(position, sentAt);
    const isProof = operation.kind === 'begin' && !operation.isReadOnly;
    if (!isProof || !this.leads) return false;
    this.provedAt = this.answeredAt;
    return true;
  }

  /**
   * Handles the failure of a probe; returns true when the instance has become suspect.
   *
   * @param isSilent true when the probe has waited for its whole time limit
   */
  handleFailure(error: unknown, isSilent: boolean): boolean {
    if (error instanceof ConnectionLimitError) {
      this.updateHealth('full');
      return false;
    }
    // The connection may have failed rather than the instance, so a new one is tried first.
    if (isSilent && this.isAnswering()) {
      this.isSuspect = true;
      return true;
    }
    this.isSuspect = false;
    this.updateHealth(isSilent ? 'silent' : 'refusing');
    this.updateLeadership(false);
    return false;
  }

  /** Notes the end of the log that a reply told; `sentAt` counts suspensions of the VM. */
  private updatePosition(position: LogPosition | undefined, sentAt: Millis): void {
    if (!position) return;
    const { clock, ageClock } = this.options;
    this.position = position;
    this.positionAt = clock.readNow() - (ageClock.readNow() - sentAt);
  }

  private updateHealth(health: Health): void {
    if (health === this.health) return;
    const { clock, log } = this.options;
    const { id, startedAt } = this.options.instance;
    const details = { instance: id, startedAt, health, before: this.health };
    log.info('instance health changed', details);
    this.health = health;
    this.healthSince = clock.readNow();
  }

  private updateLeadership(leads: boolean): void {
    if (leads === this.leads) return;
    const { id, startedAt, group } = this.options.instance;
    const details = { instance: id, startedAt, group, leads };
    this.options.log.info('instance leadership changed', details);
    this.leads = leads;
  }
}
