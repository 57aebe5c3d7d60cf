import type { Millis } from '../clock.js';
import type { Incarnation } from './incarnation.js';
import { comparePositions, formatPosition, type LogPosition } from '../position.js';
import type { FenceReport, InstanceView, StartReport } from './takeovertypes.js';

/** A report, the incarnation that gave it, and when it was known. */
export interface IncarnationReport extends FenceReport {
  readonly startedAt: number;
  /** When it was asked for, or later. */
  readonly at: Millis;
}

/** The end of a log that has stopped receiving entries. */
export interface FencedLog {
  readonly id: string;
  /** The instance is leaving, or is no longer registered. */
  readonly leaving: boolean;
  readonly received: LogPosition;
}

/** The reports of one attempt, by instance. */
export class FenceReports {
  private readonly reports = new Map<string, IncarnationReport>();

  get(instance: string): IncarnationReport | undefined {
    return this.reports.get(instance);
  }

  set(instance: string, report: IncarnationReport): void {
    this.reports.set(instance, report);
  }

  remove(instance: string): void {
    this.reports.delete(instance);
  }

  clear(): void {
    this.reports.clear();
  }

  dropBefore(at: Millis): void {
    this.reports.forEach((report, id) => {
      if (report.at < at) this.reports.delete(id);
    });
  }

  /** Drops the reports of instances that have started again since. */
  dropFormerStarts(current: ReadonlyMap<string, Pick<Incarnation, 'startedAt'>>): void {
    this.reports.forEach(({ startedAt }, id) => {
      const incarnation = current.get(id);
      if (incarnation && incarnation.startedAt !== startedAt) this.reports.delete(id);
    });
  }

  /**
   * True for an instance that receives no entries, as it reported. One that ignored the order, since
   * it knows a newer term, or that told its state before the order, still receives. A former leader
   * that has stepped down receives nothing, as no other leader ships entries.
   */
  hasStopped(id: string, formerLeader: string | undefined): boolean {
    const report = this.reports.get(id);
    const isHeld = (report?.heldTerm ?? 0) > 0 || id === formerLeader;
    return report?.role === 'replica' && isHeld;
  }

  /**
   * True when a stopped replica reports more than `position`. What a former leader that has stepped
   * down holds beyond its replicas is not acknowledged.
   */
  isBehind(position: LogPosition): boolean {
    return [...this.reports.values()].some(
      ({ role, heldTerm, received }) =>
        role === 'replica' && heldTerm > 0 && comparePositions(received, position) > 0,
    );
  }

  /** Lists the stopped logs, most advanced first; among equals, leaving instances come last. */
  listFenced(
    instances: readonly InstanceView[],
    formerLeader: string | undefined,
  ): readonly FencedLog[] {
    return instances
      .flatMap(({ id, leaving, isRegistered }): readonly FencedLog[] => {
        const isStopped = this.hasStopped(id, formerLeader);
        const received = isStopped ? this.reports.get(id)?.received : undefined;
        return received ? [{ id, leaving: leaving || !isRegistered, received }] : [];
      })
      .sort(
        (a, b) =>
          comparePositions(b.received, a.received) ||
          Number(a.leaving) - Number(b.leaving) ||
          a.id.localeCompare(b.id),
      );
  }

  /** Describes the reports for the log. */
  describe(): readonly StartReport[] {
    return [...this.reports].map(([instance, { startedAt, role, received, heldTerm, at }]) => ({
      ...{ instance, startedAt, role, heldTerm, at },
      received: formatPosition(received),
    }));
  }
}
