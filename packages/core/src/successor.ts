import type { Millis } from './clock.js';
import type { FenceReport, InstanceView } from './takeovertypes.js';
import { comparePositions, hasPosition, type LogPosition } from './position.js';

/** Without having seen the leader lead, one log alone does not show what the others hold. */
const MIN_FENCED = 2;
/** An instance that is unregistered for this long is gone with its log; waiting recovers nothing. */
const GONE_MS: Millis = 10_000;

interface Fenced {
  readonly id: string;
  readonly leaving: boolean;
  readonly received: LogPosition;
}

/** Which logs may hold acknowledged commits, and what the instances have told of theirs. */
export class SuccessorSelector {
  /** Newest term that any instance has shown. */
  newestTerm = 0;

  /** The instance that was last seen leading. */
  protected leader: string | undefined;

  /** Term of the newest entry that this leader has shown. */
  protected leaderTerm = 0;

  /** Instances whose log may hold an acknowledged commit that no other replica holds. */
  protected readonly holders = new Set<string>();

  protected readonly reports = new Map<string, FenceReport>();

  /** Since when a holder is no longer registered. */
  private readonly missingSince = new Map<string, Millis>();

  addReport(instance: string, report: FenceReport): void {
    this.newestTerm = Math.max(this.newestTerm, report.term, report.received.term);
    this.reports.set(instance, report);
  }

  findReport(instance: string): FenceReport | undefined {
    return this.reports.get(instance);
  }

  removeReport(instance: string): void {
    this.reports.delete(instance);
  }

  /** Forgets what was told, since a new attempt needs new answers. */
  clearReports(): void {
    this.reports.clear();
  }

  /** The instance that led last, or else one that says so of itself. */
  findFormerLeader(instances: readonly InstanceView[]): string | undefined {
    return this.leader ?? instances.find(({ reportsPrimary }) => reportsPrimary)?.id;
  }

  /** Takes in what is known; forgets an instance that is gone once another log covers its own. */
  updateInstances(instances: readonly InstanceView[], now: Millis): void {
    const leader = instances.find(({ leads }) => leads);
    if (leader) {
      this.leader = leader.id;
      this.leaderTerm = leader.position?.term ?? 0;
    }
    instances.forEach(({ id, position }) => {
      this.holders.add(id);
      this.newestTerm = Math.max(this.newestTerm, position?.term ?? 0);
    });
    const listed = new Set(instances.map(({ id }) => id));
    this.removeGone(listed, now);
    const end = leader?.position;
    if (!end) return;
    const isCovered = instances.some(
      ({ id, leaving, position }) =>
        id !== leader.id && !leaving && position !== undefined && hasPosition(position, end),
    );
    if (!isCovered) return;
    this.holders.forEach((id) => {
      if (!listed.has(id)) this.holders.delete(id);
    });
  }

  /** Forgets holders that have not been registered for long, whether their log is covered or not. */
  private removeGone(listed: ReadonlySet<string>, now: Millis): void {
    listed.forEach((id) => this.missingSince.delete(id));
    this.holders.forEach((id) => {
      if (listed.has(id)) return;
      const since = this.missingSince.get(id) ?? now;
      this.missingSince.set(id, since);
      if (now - since < GONE_MS) return;
      this.holders.delete(id);
      this.missingSince.delete(id);
    });
  }

  hasSteppedDown(id: string): boolean {
    return this.reports.get(id)?.role === 'replica';
  }

  /** The instance to promote once the reports cover every acknowledged commit. */
  chooseSuccessor(instances: readonly InstanceView[]): string | undefined {
    const suspect = this.findFormerLeader(instances);
    const fenced = this.listFenced(instances);
    return this.findCovering(fenced, suspect) ?? this.findMostAdvanced(fenced, suspect);
  }

  /** True when the candidate holds all that the stopped instances hold, and the leader's `end`. */
  isUpToDate(candidate: string, others: readonly string[], end: LogPosition | undefined): boolean {
    const own = this.reports.get(candidate)?.received;
    if (!own || !end || !hasPosition(own, end)) return false;
    return others.every((id) => {
      const held = this.reports.get(id)?.received;
      return held !== undefined && hasPosition(own, held);
    });
  }

  /** The logs that have stopped, furthest first; instances that stay before those that leave. */
  private listFenced(instances: readonly InstanceView[]): readonly Fenced[] {
    return instances
      .flatMap(({ id, leaving }): readonly Fenced[] => {
        const report = this.reports.get(id);
        return report?.role === 'replica' ? [{ id, leaving, received: report.received }] : [];
      })
      .sort(
        (a, b) =>
          comparePositions(b.received, a.received) ||
          Number(a.leaving) - Number(b.leaving) ||
          a.id.localeCompare(b.id),
      );
  }

  /** A log that holds all that the former leader held when it stepped down; else that leader. */
  findCovering(fenced: readonly Fenced[], suspect: string | undefined): string | undefined {
    const end = suspect === undefined ? undefined : this.reports.get(suspect);
    // In a newer term another instance has led, whose commits this log may lack.
    if (end?.role !== 'replica' || this.leaderTerm < this.newestTerm) return undefined;
    const covering = fenced.filter(({ received }) => hasPosition(received, end.received));
    const [first] = covering;
    return (covering.find(({ id }) => id !== suspect) ?? first)?.id;
  }

  /** The furthest log, once every replica that may have acknowledged has stopped. */
  findMostAdvanced(fenced: readonly Fenced[], suspect: string | undefined): string | undefined {
    const others = [...this.holders].filter((id) => id !== suspect);
    const isComplete = others.length > 0 && others.every((id) => this.hasSteppedDown(id));
    const isEnough = this.leader !== undefined || fenced.length >= MIN_FENCED;
    return isComplete && isEnough ? fenced[0]?.id : undefined;
  }
}
