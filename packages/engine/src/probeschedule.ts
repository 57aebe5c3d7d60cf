import type { Millis } from '@shallotpick/core';
import type { ProbedState } from './probedstate.js';
import type { Suspicion } from './suspicion.js';

/** Interval between probes of an instance by one VM of a small fleet. */
const INTERVAL_MS: Millis = 150;
/** In a larger fleet each VM probes less often, so that the load on an instance stays constant. */
const SMALL_FLEET = 8;
const MAX_INTERVAL_MS: Millis = 600;
const MAX_LEADER_INTERVAL_MS: Millis = 400;
/** Interval during a takeover, so that the new leader is detected soon; also scaled. */
const URGENT_INTERVAL_MS: Millis = 25;
const RECONNECT_MS: Millis = 100;
const MAX_RECONNECT_MS: Millis = 400;
/** A probe that is overdue by this much opens a connection even above the pool's limit. */
const OVERDUE_MS: Millis = 250;
/** Delay of the next probe when the instance has reached its connection limit. */
const FULL_RETRY_MS: Millis = 400;

/** What the times of an instance's probes depend on besides its state. */
export interface ProbeScheduleOptions {
  /** True while a takeover is in progress. */
  readonly isChangingLeader: () => boolean;
  readonly suspicion: Suspicion;
  /** True while the group has a confirmed leader. */
  readonly hasLeader: () => boolean;
  /** Number of VMs that probe the instance. */
  readonly countVms: () => number;
}

/** Decides when one instance is probed. */
export class ProbeSchedule {
  private startedAt: Millis = Number.NEGATIVE_INFINITY;

  /** When the last probe ended. */
  private endedAt: Millis = Number.NEGATIVE_INFINITY;

  private dueAt: Millis = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly options: ProbeScheduleOptions,
    private readonly state: ProbedState,
  ) {}

  /** True when a probe must start now; otherwise delays it by what the last replies still tell. */
  isDue(now: Millis): boolean {
    const { isChangingLeader, suspicion } = this.options;
    const isUrgent =
      suspicion.isRaisedSince(this.startedAt) ||
      (isChangingLeader() && now - this.endedAt >= this.computeInterval());
    if (!isUrgent && now < this.dueAt) return false;
    const delay = isUrgent ? 0 : this.computeDelay(now);
    if (delay > 0) this.dueAt = now + delay;
    return delay <= 0;
  }

  handleStart(now: Millis): void {
    this.startedAt = now;
  }

  /** Handles the end of a probe; the next one is due after `delay`. */
  handleEnd(now: Millis, delay: Millis): void {
    this.endedAt = now;
    this.dueAt = now + delay;
  }

  /** Raises the suspicion that made the running probe necessary for all instances. */
  raiseSuspicion(): void {
    this.options.suspicion.raise(this.startedAt);
  }

  /** True when the instance has not answered for so long that a probe needs a connection now. */
  isOverdue(now: Millis): boolean {
    return now - this.state.answeredAt >= this.computeInterval() + OVERDUE_MS;
  }

  /** Time from the end of an answered probe to the next one. */
  computeInterval(): Millis {
    const scale = this.computeScale();
    if (this.options.isChangingLeader()) return URGENT_INTERVAL_MS * scale;
    const interval = INTERVAL_MS * scale;
    return Math.min(interval, this.state.leads ? MAX_LEADER_INTERVAL_MS : MAX_INTERVAL_MS);
  }

  /** Time from the end of a failed probe to the next one. */
  computeRetryDelay(): Millis {
    if (this.state.health === 'full') return FULL_RETRY_MS;
    return Math.min(RECONNECT_MS * this.computeScale(), MAX_RECONNECT_MS);
  }

  /** How long the replies to callers' work still make a probe unnecessary. */
  private computeDelay(now: Millis): Millis {
    const { state } = this;
    if (!state.isAnswering() || !this.options.hasLeader()) return 0;
    const knownAt = state.leads ? state.provedAt : state.answeredAt;
    return knownAt + this.computeInterval() - now;
  }

  /** Factor by which the probe interval exceeds that of a small fleet. */
  private computeScale(): number {
    return Math.max(1, this.options.countVms() / SMALL_FLEET);
  }
}
