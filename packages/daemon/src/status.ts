import {
  type Clock,
  type DatabaseGroup,
  hasPosition,
  type Incarnations,
  type InstanceLink,
  type InstanceStatus,
  type LogPosition,
  type MajorityDecision,
  MajorityTracker,
  type Millis,
  UNREACHABLE_AFTER_MS,
} from '@shallotpick/core';
import { match } from 'ts-pattern';
import { InvalidAnswerError, RefusedError } from './errors.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';

const POLL_INTERVAL_MS: Millis = 50;
/** Interval between status requests while commits or sessions wait for a majority. */
const AWAITED_INTERVAL_MS: Millis = 1;
/** Minimum interval between status requests for reads that no replica can serve yet. */
const REFRESH_INTERVAL_MS: Millis = 10;
const ACKNOWLEDGE_TIMEOUT_MS: Millis = 5_000;

/** The result of the wait for a majority after a commit. */
export type CommitOutcome =
  | { readonly kind: 'acknowledged'; readonly position: LogPosition }
  | { readonly kind: 'unknown'; readonly reason: string };

const STOPPED = 'the group is no longer served here';
const STOPPED_COMMIT: CommitOutcome = { kind: 'unknown', reason: STOPPED };

/** A session that waits for its initial position. */
interface PendingPosition {
  readonly resolve: (position: LogPosition) => void;
  readonly reject: (error: Error) => void;
}

/** Options of {@link StatusMonitor}. */
export interface StatusMonitorOptions {
  readonly group: DatabaseGroup;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly links: ReadonlyMap<string, InstanceLink>;
  /** Called with each status, after the outcomes that follow from it. */
  readonly onStatus: (status: InstanceStatus, before: InstanceStatus | undefined) => void;
}

/** Polls the status of a group's instances and completes waits for a majority. */
export class StatusMonitor {
  private readonly tracker: MajorityTracker;

  private readonly latestStatuses = new Map<string, InstanceStatus>();

  private readonly receivedAt = new Map<string, Millis>();

  private readonly pendingCommits = new Map<number, (commitOutcome: CommitOutcome) => void>();

  private readonly pendingPositions = new Map<number, PendingPosition>();

  private readonly wakeups = new Map<string, () => void>();

  /** Instances whose last answer was invalid. */
  private readonly invalidInstances = new Set<string>();

  private nextId = 1;

  private stopped = false;

  constructor(private readonly options: StatusMonitorOptions) {
    this.tracker = new MajorityTracker(options.group.instances.map(({ id }) => id));
    // Nothing counts before the group's record is known.
    this.tracker.updateIncarnations({}, options.clock.readNow());
  }

  start(): void {
    this.options.group.instances.forEach(({ id }) => {
      this.pollStatus(id).catch((error: unknown) => {
        this.options.log.error('status polling stopped', { instance: id, error: String(error) });
      });
    });
  }

  /** Stops polling, and ends the waits: a commit without a majority has an unknown outcome. */
  stop(): void {
    this.stopped = true;
    this.wakeups.forEach((wake) => wake());
    this.options.links.forEach((link) => link.close());
    [...this.pendingCommits.keys()].forEach((id) => this.finishCommit(id, STOPPED_COMMIT));
    this.pendingPositions.forEach(({ reject }) => reject(new RefusedError(STOPPED)));
    this.pendingPositions.clear();
  }

  /** True when no commit and no session waits for the instances. */
  isIdle(): boolean {
    return this.pendingCommits.size + this.pendingPositions.size === 0;
  }

  /** Latest statuses of the instances that respond. */
  get statuses(): ReadonlyMap<string, InstanceStatus> {
    return this.latestStatuses;
  }

  findAge(instance: string, now: Millis): Millis | undefined {
    return this.tracker.findAge(instance, now);
  }

  /** Removes an instance from routing until it responds again. */
  removeStatus(instance: string): void {
    this.latestStatuses.delete(instance);
  }

  /** Waits until a majority holds everything that the primary has committed so far. */
  async waitForMajority(primary: string, term: number): Promise<CommitOutcome> {
    if (this.stopped) return STOPPED_COMMIT;
    const now = this.options.clock.readNow();
    const id = this.createId();
    const deadline = now + ACKNOWLEDGE_TIMEOUT_MS;
    const commitOutcome = new Promise<CommitOutcome>((resolve) => {
      this.pendingCommits.set(id, resolve);
    });
    this.tracker.addCommit({ id, primary, term, completedAt: now, deadline });
    this.wakeAwaited();
    const outcome = await commitOutcome;
    this.options.metrics.acknowledgement.observe((this.options.clock.readNow() - now) / 1_000);
    return outcome;
  }

  /**
   * Finds a position at or after every commit acknowledged so far, for a session without a token.
   *
   * @throws RefusedError when no majority of the group responds.
   */
  async findInitialPosition(deadline: Millis): Promise<LogPosition> {
    if (this.stopped) throw new RefusedError(STOPPED);
    const id = this.createId();
    const minPosition = new Promise<LogPosition>((resolve, reject) => {
      this.pendingPositions.set(id, { resolve, reject });
    });
    this.tracker.addSession({ id, arrivedAt: this.options.clock.readNow(), deadline });
    this.wakeAwaited();
    return minPosition;
  }

  /** Polls the instances that were behind `minPosition` in their latest status. */
  refresh(minPosition: LogPosition, now: Millis): void {
    this.wakeups.forEach((wake, instance) => {
      const status = this.latestStatuses.get(instance);
      if (!status || now - status.requestedAt < REFRESH_INTERVAL_MS) return;
      if (!hasPosition(status.applied, minPosition)) wake();
    });
  }

  /** Sets the incarnations that count for majorities, from the group's record. */
  updateIncarnations(incarnations: Incarnations | undefined): void {
    this.tracker.updateIncarnations(incarnations, this.options.clock.readNow());
  }

  /** Completes waits for commits of replaced primaries, once `term` has a primary. */
  handleTerm(term: number): void {
    this.applyDecisions(this.tracker.handleTerm(term));
  }

  handleTick(now: Millis): void {
    this.latestStatuses.forEach((_, instance) => {
      const receivedAt = this.receivedAt.get(instance) ?? 0;
      if (now - receivedAt > UNREACHABLE_AFTER_MS) this.latestStatuses.delete(instance);
    });
    this.applyDecisions(this.tracker.handleTick(now));
  }

  private createId(): number {
    const id = this.nextId;
    this.nextId += 1;
    return id;
  }

  private async pollStatus(instance: string): Promise<void> {
    const link = this.options.links.get(instance);
    while (!this.stopped && link) {
      const status = await link.readStatus().catch((error: unknown) => {
        this.handleStatusError(instance, error);
      });
      if (status) this.invalidInstances.delete(instance);
      if (status) this.handleStatus(status);
      await this.waitForNextPoll(instance, status !== undefined);
    }
  }

  /** Reports invalid answers once; the failover coordinator acts on the missing status. */
  private handleStatusError(instance: string, error: unknown): void {
    const { group, log, metrics } = this.options;
    if (!(error instanceof InvalidAnswerError) || this.invalidInstances.has(instance)) return;
    this.invalidInstances.add(instance);
    metrics.invalidAnswers.inc({ instance });
    log.error('instance answers are invalid', {
      group: group.name,
      instance,
      error: error.message,
    });
  }

  /**
   * Pauses between two status requests. An instance that refuses connections fails immediately;
   * without the longer interval, it would be dialled a thousand times a second while commits wait.
   */
  private async waitForNextPoll(instance: string, hasResponded: boolean): Promise<void> {
    const isAwaited = hasResponded && this.tracker.isAwaited(instance);
    const delay = isAwaited ? AWAITED_INTERVAL_MS : POLL_INTERVAL_MS;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, delay);
      if (!hasResponded) return;
      this.wakeups.set(instance, () => {
        clearTimeout(timer);
        resolve();
      });
    });
    this.wakeups.delete(instance);
  }

  /** Polls the instances whose status may complete a wait now. */
  private wakeAwaited(): void {
    this.wakeups.forEach((wake, instance) => {
      if (this.tracker.isAwaited(instance)) wake();
    });
  }

  private handleStatus(status: InstanceStatus): void {
    const now = this.options.clock.readNow();
    const before = this.latestStatuses.get(status.instance);
    this.latestStatuses.set(status.instance, status);
    this.receivedAt.set(status.instance, now);
    this.applyDecisions(this.tracker.handleStatus(status));
    // With the primary's new position, the replicas' statuses may complete waits.
    this.wakeAwaited();
    this.options.onStatus(status, before);
  }

  private applyDecisions(decisions: readonly MajorityDecision[]): void {
    decisions.forEach((decision) =>
      match(decision)
        .with({ kind: 'acknowledge' }, ({ id, position }) => {
          this.finishCommit(id, { kind: 'acknowledged', position });
        })
        .with({ kind: 'unknown' }, ({ id, reason }) => {
          this.finishCommit(id, { kind: 'unknown', reason });
        })
        .with({ kind: 'minPosition' }, ({ id, position }) => {
          this.pendingPositions.get(id)?.resolve(position);
          this.pendingPositions.delete(id);
        })
        .with({ kind: 'noMajority' }, ({ id }) => {
          this.pendingPositions
            .get(id)
            ?.reject(new RefusedError('no majority of the group answers'));
          this.pendingPositions.delete(id);
        })
        .exhaustive(),
    );
  }

  private finishCommit(id: number, commitOutcome: CommitOutcome): void {
    const resolve = this.pendingCommits.get(id);
    this.pendingCommits.delete(id);
    resolve?.(commitOutcome);
  }
}
