import type { Millis } from './clock.js';
import { countMajority, type InstanceStatus } from './group.js';
import { chooseLater, hasPosition, LOG_START, type LogPosition } from './position.js';

/** Readings come each millisecond while commits wait, and stated ages reach a minute back. */
const MAX_READINGS = 512;

/**
 * A bound on everything acknowledged before `startedAt`: the greatest durable position among
 * answers of a majority whose requests were all sent at or after `startedAt`.
 */
export interface MajorityReading {
  readonly startedAt: Millis;
  readonly position: LogPosition;
}

/** A commit that the primary of `term` has completed and that is not acknowledged yet. */
export interface PendingCommit {
  readonly id: number;
  readonly primary: string;
  readonly term: number;
  readonly completedAt: Millis;
  readonly deadline: Millis;
}

/** A session that waits for a bound on what was acknowledged before it arrived. */
export interface PendingSession {
  readonly id: number;
  readonly arrivedAt: Millis;
  readonly deadline: Millis;
}

export type MajorityDecision =
  | { readonly kind: 'acknowledge'; readonly id: number; readonly position: LogPosition }
  | { readonly kind: 'unknown'; readonly id: number; readonly reason: string }
  | { readonly kind: 'minPosition'; readonly id: number; readonly position: LogPosition }
  | { readonly kind: 'noMajority'; readonly id: number };

interface CommitState extends PendingCommit {
  readonly target?: LogPosition;
}

/**
 * Follows the statuses of a group's instances and decides when commits are held by a majority,
 * which floor an arriving session needs, and how old the data of an instance may be.
 */
export class MajorityTracker {
  protected readonly latest = new Map<string, InstanceStatus>();

  private readonly commits = new Map<number, CommitState>();

  private readonly arrivals = new Map<number, PendingSession>();

  protected readings: MajorityReading[] = [];

  constructor(protected readonly instances: readonly string[]) {}

  /** Registers a commit; its verdict comes from a later status or tick. */
  addCommit(commit: PendingCommit): void {
    this.commits.set(commit.id, commit);
  }

  /** Registers a session; the bound must come from requests sent after its arrival. */
  addSession(arrival: PendingSession): void {
    this.arrivals.set(arrival.id, arrival);
  }

  /** True while a commit or a session waits, so that another status round is worth sending. */
  hasPending(): boolean {
    return this.commits.size > 0 || this.arrivals.size > 0;
  }

  /**
   * True when an answer of the instance may settle a wait: of the primary while its position after
   * a commit is unknown, of a replica once that position is known and not held by it, and of any
   * instance that has not been asked since the arrival of a session.
   */
  isAwaited(instance: string): boolean {
    const status = this.latest.get(instance);
    const asked = status?.requestedAt ?? Number.NEGATIVE_INFINITY;
    const isAwaited = [...this.arrivals.values()].some(({ arrivedAt }) => asked < arrivedAt);
    if (isAwaited) return true;
    return [...this.commits.values()].some(({ primary, target }) => {
      if (!target) return instance === primary;
      return instance !== primary && (!status || status.durable.offset < target.offset);
    });
  }

  /** Takes in one answer and returns the verdicts that follow from it. */
  handleStatus(status: InstanceStatus): readonly MajorityDecision[] {
    const known = this.latest.get(status.instance);
    if (known && known.requestedAt > status.requestedAt) return [];
    this.latest.set(status.instance, status);
    this.updateReadings();
    return [...this.decideArrivals(), ...this.decideCommits(status)];
  }

  /**
   * Ends the wait of commits of primaries before `term`, once the group's record names a primary
   * of that term: the replaced primary's position may never be reported again.
   */
  handleTerm(term: number): readonly MajorityDecision[] {
    const decisions: MajorityDecision[] = [];
    for (const commit of this.commits.values()) {
      if (commit.term >= term) continue;
      this.commits.delete(commit.id);
      decisions.push({ kind: 'unknown', id: commit.id, reason: 'the primary was replaced' });
    }
    return decisions;
  }

  /** Expires waits whose deadline has passed. */
  handleTick(now: Millis): readonly MajorityDecision[] {
    const decisions: MajorityDecision[] = [];
    for (const commit of this.commits.values()) {
      if (commit.deadline > now) continue;
      this.commits.delete(commit.id);
      decisions.push({ kind: 'unknown', id: commit.id, reason: 'no majority before the deadline' });
    }
    for (const arrival of this.arrivals.values()) {
      if (arrival.deadline > now) continue;
      this.arrivals.delete(arrival.id);
      decisions.push({ kind: 'noMajority', id: arrival.id });
    }
    return decisions;
  }

  /** Upper bound on the age of the instance's data; undefined when it is unknown. */
  findAge(instance: string, now: Millis): Millis | undefined {
    const applied = this.latest.get(instance)?.applied;
    if (!applied) return undefined;
    const reading = this.readings.findLast(({ position }) => hasPosition(applied, position));
    return reading && now - reading.startedAt;
  }

  /** The newest bound, if a majority has ever answered. */
  findLatestReading(): MajorityReading | undefined {
    return this.readings.at(-1);
  }

  protected updateReadings(): void {
    const statuses = [...this.latest.values()].sort((a, b) => b.requestedAt - a.requestedAt);
    const majority = countMajority(this.instances.length);
    const oldest = statuses[majority - 1];
    if (!oldest) return;
    const startedAt = oldest.requestedAt;
    const previous = this.readings.at(-1);
    if (previous && previous.startedAt >= startedAt) return;
    const position = statuses
      .filter(({ requestedAt }) => requestedAt >= startedAt)
      .reduce((bound, { durable }) => chooseLater(bound, durable), LOG_START);
    this.readings.push({ startedAt, position });
    if (this.readings.length > MAX_READINGS) this.removeReadings();
  }

  /** Drops every other reading of the older half, so that old ages get coarse, not unknown. */
  private removeReadings(): void {
    const half = this.readings.length / 2;
    this.readings = this.readings.filter((_, index) => index > half || index % 2 === 0);
  }

  /** A reading that began before the session arrived may miss what was acknowledged since. */
  protected isReadingAfter(arrivedAt: Millis, reading: MajorityReading): boolean {
    return reading.startedAt >= arrivedAt;
  }

  private decideArrivals(): readonly MajorityDecision[] {
    const reading = this.findLatestReading();
    if (!reading) return [];
    const decisions: MajorityDecision[] = [];
    for (const { id, arrivedAt } of this.arrivals.values()) {
      if (!this.isReadingAfter(arrivedAt, reading)) continue;
      this.arrivals.delete(id);
      decisions.push({ kind: 'minPosition', id, position: reading.position });
    }
    return decisions;
  }

  private decideCommits(status: InstanceStatus): readonly MajorityDecision[] {
    const decisions: MajorityDecision[] = [];
    for (const commit of this.commits.values()) {
      const decision = this.decideCommit(commit, status);
      if (!decision) continue;
      this.commits.delete(commit.id);
      decisions.push(decision);
    }
    return decisions;
  }

  protected decideCommit(
    commit: CommitState,
    status: InstanceStatus,
  ): MajorityDecision | undefined {
    const { id, term } = commit;
    if (status.durable.term > term) {
      return { kind: 'unknown', id, reason: `the group moved on to term ${status.durable.term}` };
    }
    const target = commit.target ?? this.findTarget(commit, status);
    if (target === 'replaced') return { kind: 'unknown', id, reason: 'the primary was replaced' };
    if (!target) return undefined;
    if (this.isHeldByMajority(target)) {
      return { kind: 'acknowledge', id, position: target };
    }
    this.commits.set(id, { ...commit, target });
    return undefined;
  }

  /** The primary's position after the commit; an upper bound of the commit's own position. */
  private findTarget(
    commit: CommitState,
    status: InstanceStatus,
  ): LogPosition | 'replaced' | undefined {
    if (status.instance !== commit.primary || status.requestedAt < commit.completedAt) {
      return undefined;
    }
    const leads = status.role === 'primary' && status.durable.term === commit.term;
    return leads && status.fenceTerm <= commit.term ? status.durable : 'replaced';
  }

  /** True when a majority has reported to hold everything up to `target`. */
  protected isHeldByMajority(target: LogPosition): boolean {
    const holders = [...this.latest.values()].filter(({ durable }) =>
      this.isHeldBy(durable, target),
    );
    return holders.length >= countMajority(this.instances.length);
  }

  /** Counts the same term only: an equal offset of a later term may lie on another branch. */
  protected isHeldBy(durable: LogPosition, target: LogPosition): boolean {
    return durable.term === target.term && durable.offset >= target.offset;
  }
}
