import {
  type Clock,
  type DatabaseGroup,
  hasPosition,
  type InstanceLink,
  type InstanceStatus,
  type LogPosition,
  type MajorityDecision,
  MajorityTracker,
  type Millis,
  UNREACHABLE_AFTER_MS,
} from '@shallotpick/core';
import { match } from 'ts-pattern';
import { RefusedError } from './errors.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';

const PROBE_INTERVAL_MS: Millis = 50;
/** Gap between status requests while commits or sessions wait for a majority. */
const URGENT_INTERVAL_MS: Millis = 1;
/** Shortest gap between status requests for reads that no replica may serve yet. */
const REFRESH_INTERVAL_MS: Millis = 10;
const ACKNOWLEDGE_TIMEOUT_MS: Millis = 5_000;

/** The end of the wait for a majority after a commit. */
export type CommitOutcome =
  | { readonly kind: 'acknowledged'; readonly position: LogPosition }
  | { readonly kind: 'unknown'; readonly reason: string };

interface Arrival {
  readonly resolve: (position: LogPosition) => void;
  readonly reject: (error: Error) => void;
}

export interface StatusMonitorOptions {
  readonly group: DatabaseGroup;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly links: ReadonlyMap<string, InstanceLink>;
  /** Called with each answer, after the verdicts that follow from it. */
  readonly onStatus: (status: InstanceStatus, before: InstanceStatus | undefined) => void;
}

/** Asks the instances of a group for their status and settles waits for a majority. */
export class StatusMonitor {
  private readonly tracker: MajorityTracker;

  private readonly latest = new Map<string, InstanceStatus>();

  private readonly heardAt = new Map<string, Millis>();

  private readonly commits = new Map<number, (verdict: CommitOutcome) => void>();

  private readonly arrivals = new Map<number, Arrival>();

  private readonly wakers = new Map<string, () => void>();

  private nextId = 1;

  private stopped = false;

  constructor(private readonly options: StatusMonitorOptions) {
    this.tracker = new MajorityTracker(options.group.instances.map(({ id }) => id));
  }

  start(): void {
    this.options.group.instances.forEach(({ id }) => {
      this.runProbes(id).catch((error: unknown) => {
        this.options.log.error('probe loop ended', { instance: id, error: String(error) });
      });
    });
  }

  stop(): void {
    this.stopped = true;
    this.wakers.forEach((wake) => wake());
    this.options.links.forEach((link) => link.close());
  }

  /** Latest statuses of the instances that answer. */
  get statuses(): ReadonlyMap<string, InstanceStatus> {
    return this.latest;
  }

  findAge(instance: string, now: Millis): Millis | undefined {
    return this.tracker.findAge(instance, now);
  }

  /** Takes an instance out of routing until it answers again. */
  removeStatus(instance: string): void {
    this.latest.delete(instance);
  }

  /** Waits until a majority holds everything that the primary has committed up to now. */
  async waitForMajority(primary: string, term: number): Promise<CommitOutcome> {
    const now = this.options.clock.readNow();
    const id = this.createId();
    const deadline = now + ACKNOWLEDGE_TIMEOUT_MS;
    const verdict = new Promise<CommitOutcome>((resolve) => {
      this.commits.set(id, resolve);
    });
    this.tracker.addCommit({ id, primary, term, completedAt: now, deadline });
    this.wakeUrgent();
    const outcome = await verdict;
    this.options.metrics.acknowledgement.observe((this.options.clock.readNow() - now) / 1_000);
    return outcome;
  }

  /**
   * Finds a bound on everything acknowledged so far, for a session that brings no token.
   *
   * @throws RefusedError when no majority answers.
   */
  async findInitialPosition(deadline: Millis): Promise<LogPosition> {
    const id = this.createId();
    const floor = new Promise<LogPosition>((resolve, reject) => {
      this.arrivals.set(id, { resolve, reject });
    });
    this.tracker.addSession({ id, arrivedAt: this.options.clock.readNow(), deadline });
    this.wakeUrgent();
    return floor;
  }

  /** Asks again the instances that were behind `floor` when they last answered. */
  refresh(floor: LogPosition, now: Millis): void {
    this.wakers.forEach((wake, instance) => {
      const status = this.latest.get(instance);
      if (!status || now - status.requestedAt < REFRESH_INTERVAL_MS) return;
      if (!hasPosition(status.applied, floor)) wake();
    });
  }

  /** Gives commits of replaced primaries their verdict, once `term` has a primary. */
  handleTerm(term: number): void {
    this.runVerdicts(this.tracker.handleTerm(term));
  }

  handleTick(now: Millis): void {
    this.latest.forEach((_, instance) => {
      const heardAt = this.heardAt.get(instance) ?? 0;
      if (now - heardAt > UNREACHABLE_AFTER_MS) this.latest.delete(instance);
    });
    this.runVerdicts(this.tracker.handleTick(now));
  }

  private createId(): number {
    const id = this.nextId;
    this.nextId += 1;
    return id;
  }

  private async runProbes(instance: string): Promise<void> {
    const link = this.options.links.get(instance);
    while (!this.stopped && link) {
      // The missing answer is what the failover coordinator acts on.
      const status = await link.readStatus().catch(() => undefined);
      if (status) this.handleStatus(status);
      await this.waitForProbe(instance, status !== undefined);
    }
  }

  /**
   * An instance that refuses connections answers at once; without the pause, waiting commits
   * would have it dialled a thousand times a second.
   */
  private async waitForProbe(instance: string, hasAnswered: boolean): Promise<void> {
    const isUrgent = hasAnswered && this.tracker.isAwaited(instance);
    const delay = isUrgent ? URGENT_INTERVAL_MS : PROBE_INTERVAL_MS;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, delay);
      if (!hasAnswered) return;
      this.wakers.set(instance, () => {
        clearTimeout(timer);
        resolve();
      });
    });
    this.wakers.delete(instance);
  }

  /** Asks at once the instances whose answer may settle a wait, and no others. */
  private wakeUrgent(): void {
    this.wakers.forEach((wake, instance) => {
      if (this.tracker.isAwaited(instance)) wake();
    });
  }

  private handleStatus(status: InstanceStatus): void {
    const now = this.options.clock.readNow();
    const before = this.latest.get(status.instance);
    this.latest.set(status.instance, status);
    this.heardAt.set(status.instance, now);
    this.runVerdicts(this.tracker.handleStatus(status));
    // The primary's position makes the replicas' answers worth asking for.
    this.wakeUrgent();
    this.options.onStatus(status, before);
  }

  private runVerdicts(decisions: readonly MajorityDecision[]): void {
    decisions.forEach((decision) =>
      match(decision)
        .with({ kind: 'acknowledge' }, ({ id, position }) => {
          this.finishCommit(id, { kind: 'acknowledged', position });
        })
        .with({ kind: 'unknown' }, ({ id, reason }) => {
          this.finishCommit(id, { kind: 'unknown', reason });
        })
        .with({ kind: 'minPosition' }, ({ id, position }) => {
          this.arrivals.get(id)?.resolve(position);
          this.arrivals.delete(id);
        })
        .with({ kind: 'noMajority' }, ({ id }) => {
          this.arrivals.get(id)?.reject(new RefusedError('no majority of the group answers'));
          this.arrivals.delete(id);
        })
        .exhaustive(),
    );
  }

  private finishCommit(id: number, verdict: CommitOutcome): void {
    const resolve = this.commits.get(id);
    this.commits.delete(id);
    resolve?.(verdict);
  }
}
