import type { Millis } from '../clock.js';
import { countMajority, type InstanceStatus } from '../group.js';
import { type Incarnations, isCounted } from './incarnations.js';
import { chooseLater, hasPosition, LOG_START, type LogPosition } from '../position.js';

/** Readings arrive each millisecond while commits wait, and contracts allow ages of a minute. */
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

/** A new session that waits for a bound on everything acknowledged before its arrival. */
export interface PendingSession {
  readonly id: number;
  readonly arrivedAt: Millis;
  readonly deadline: Millis;
}

/** The end of the wait of a commit (`acknowledge`, `unknown`) or a session. */
export type MajorityDecision =
  | { readonly kind: 'acknowledge'; readonly id: number; readonly position: LogPosition }
  | { readonly kind: 'unknown'; readonly id: number; readonly reason: string }
  | { readonly kind: 'minPosition'; readonly id: number; readonly position: LogPosition }
  | { readonly kind: 'noMajority'; readonly id: number };

/** A waiting commit, with the position to be held by a majority once it is known. */
interface CommitState extends PendingCommit {
  readonly target?: LogPosition;
}

/**
 * Tracks the statuses of a group's instances and decides when commits are held by a majority,
 * which minimum position a new session needs, and how old the data of an instance may be.
 */
export class MajorityTracker {
  protected readonly latest = new Map<string, InstanceStatus>();

  private readonly commits = new Map<number, CommitState>();

  private readonly sessions = new Map<number, PendingSession>();

  protected readings: MajorityReading[] = [];

  /** The incarnations that count; all do while the group's record lists none. */
  private incarnations: Incarnations | undefined;

  /** Times from which requests to instances count that came back without their data. */
  private readonly countedSince = new Map<string, Millis>();

  constructor(protected readonly instances: readonly string[]) {}

  /**
   * Sets the incarnations that count. A request that was sent before an incarnation was known to
   * count may have been answered before it had caught up.
   */
  updateIncarnations(incarnations: Incarnations | undefined, now: Millis): void {
    const before = this.incarnations;
    this.incarnations = incarnations;
    this.instances
      .filter((id) => incarnations?.[id] !== before?.[id])
      .forEach((id) => this.countedSince.set(id, now));
  }

  /** Registers a commit; a later status or tick decides it. */
  addCommit(commit: PendingCommit): void {
    this.commits.set(commit.id, commit);
  }

  /** Registers a session; its bound must come from requests sent after its arrival. */
  addSession(arrival: PendingSession): void {
    this.sessions.set(arrival.id, arrival);
  }

  /** True while a commit or a session waits, so that another status round is worth sending. */
  hasPending(): boolean {
    return this.commits.size > 0 || this.sessions.size > 0;
  }

  /**
   * True when an answer of the instance may settle a wait: of the primary while its position after
   * a commit is unknown, of a replica once that position is known and not held by it, and of any
   * instance that has not been asked since the arrival of a session.
   */
  isAwaited(instance: string): boolean {
    const status = this.latest.get(instance);
    const asked = status?.requestedAt ?? Number.NEGATIVE_INFINITY;
    const isAwaited = [...this.sessions.values()].some(({ arrivedAt }) => asked < arrivedAt);
    if (isAwaited) return true;
    if (status && !this.isCounted(status)) return false;
    return [...this.commits.values()].some(({ primary, target }) => {
      if (!target) return instance === primary;
      return instance !== primary && (!status || status.durable.offset < target.offset);
    });
  }

  /** Handles one status and returns the decisions that follow from it. */
  handleStatus(status: InstanceStatus): readonly MajorityDecision[] {
    const known = this.latest.get(status.instance);
    if (known && known.requestedAt > status.requestedAt) return [];
    this.latest.set(status.instance, status);
    this.updateReadings();
    return [...this.decideSessions(), ...this.decideCommits(status)];
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

  /** Ends the waits whose deadline has passed. */
  handleTick(now: Millis): readonly MajorityDecision[] {
    const decisions: MajorityDecision[] = [];
    for (const commit of this.commits.values()) {
      if (commit.deadline > now) continue;
      this.commits.delete(commit.id);
      decisions.push({ kind: 'unknown', id: commit.id, reason: 'no majority before the deadline' });
    }
    for (const arrival of this.sessions.values()) {
      if (arrival.deadline > now) continue;
      this.sessions.delete(arrival.id);
      decisions.push({ kind: 'noMajority', id: arrival.id });
    }
    return decisions;
  }

  /** Returns an upper bound on the age of the instance's data; undefined when unknown. */
  findAge(instance: string, now: Millis): Millis | undefined {
    const applied = this.latest.get(instance)?.applied;
    if (!applied) return undefined;
    const reading = this.readings.findLast(({ position }) => hasPosition(applied, position));
    return reading && now - reading.startedAt;
  }

  /** Returns the newest reading, if a majority has ever answered. */
  findLatestReading(): MajorityReading | undefined {
    return this.readings.at(-1);
  }

  /** False for an instance that has lost its data and has not caught up yet. */
  protected isCounted(status: InstanceStatus): boolean {
    return isCounted(this.incarnations, status);
  }

  /** False for an answer that may have been given before its incarnation counted. */
  protected isRecent({ instance, requestedAt }: InstanceStatus): boolean {
    return requestedAt >= (this.countedSince.get(instance) ?? Number.NEGATIVE_INFINITY);
  }

  /** Lists the latest statuses of the instances that count. */
  private listCounted(): InstanceStatus[] {
    return [...this.latest.values()].filter(
      (status) => this.isCounted(status) && this.isRecent(status),
    );
  }

  protected updateReadings(): void {
    const statuses = this.listCounted().sort((a, b) => b.requestedAt - a.requestedAt);
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
    if (this.readings.length > MAX_READINGS) this.thinReadings();
  }

  /** Drops every second reading of the older half: old ages get less precise, not unknown. */
  private thinReadings(): void {
    const half = this.readings.length / 2;
    this.readings = this.readings.filter((_, index) => index > half || index % 2 === 0);
  }

  /** False for readings begun before the arrival, which may miss what was acknowledged since. */
  protected isReadingAfter(arrivedAt: Millis, reading: MajorityReading): boolean {
    return reading.startedAt >= arrivedAt;
  }

  private decideSessions(): readonly MajorityDecision[] {
    const reading = this.findLatestReading();
    if (!reading) return [];
    const decisions: MajorityDecision[] = [];
    for (const { id, arrivedAt } of this.sessions.values()) {
      if (!this.isReadingAfter(arrivedAt, reading)) continue;
      this.sessions.delete(id);
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

  /** Returns the primary's position after the commit, an upper bound of the commit's position. */
  private findTarget(
    commit: CommitState,
    status: InstanceStatus,
  ): LogPosition | 'replaced' | undefined {
    const isPrimary = status.instance === commit.primary && this.isCounted(status);
    if (!isPrimary || status.requestedAt < commit.completedAt) {
      return undefined;
    }
    const leads = status.role === 'primary' && status.durable.term === commit.term;
    return leads && status.fenceTerm <= commit.term ? status.durable : 'replaced';
  }

  /** True when a majority has reported a log that contains everything up to `target`. */
  protected isHeldByMajority(target: LogPosition): boolean {
    const holders = this.listCounted().filter(({ durable }) => this.isHeldBy(durable, target));
    return holders.length >= countMajority(this.instances.length);
  }

  /** Accepts the same term only: an equal offset in a later term may be on another branch. */
  protected isHeldBy(durable: LogPosition, target: LogPosition): boolean {
    return durable.term === target.term && durable.offset >= target.offset;
  }
}
