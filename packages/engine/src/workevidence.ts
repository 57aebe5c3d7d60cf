import { type Millis, type OutlierChange, OutlierDetector } from '@shallotpick/core';
import type { Log } from './log.js';
import type { Member } from './member.js';
import type { Metrics } from './metrics.js';
import type { Reply, Verdict } from './statement.js';

/** Verdicts that an instance gives for work that it should have answered. */
const FAULTS: ReadonlySet<Verdict> = new Set<Verdict>(['failed', 'timedOut']);

/** Name and services of a group's evidence. */
export interface WorkEvidenceOptions {
  /** Name of the group. */
  readonly group: string;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** What callers' work tells of a group's instances, and which of them reads avoid for it. */
export class WorkEvidence {
  private readonly detector = new OutlierDetector();

  constructor(private readonly options: WorkEvidenceOptions) {}

  /** Notes the reply of an instance to a statement. */
  handleReply({ id }: Member, { failure }: Reply, tookMs: Millis, now: Millis): void {
    const isFailed = failure !== undefined && FAULTS.has(failure.verdict);
    this.handleChange(this.detector.handleResult(id, { isFailed, tookMs }, now));
  }

  /** Notes work that got no answer, or no connection. */
  handleLoss({ id }: Member, tookMs: Millis, now: Millis): void {
    this.handleChange(this.detector.handleResult(id, { isFailed: true, tookMs }, now));
  }

  /** Notes that a read starts on an instance. */
  handleStart({ id }: Member, now: Millis): void {
    this.detector.handleStart(id, now);
  }

  remove(instance: string): void {
    this.detector.remove(instance);
  }

  /** Lists the instances that the next read avoids; the leader is the last one to be avoided. */
  listAvoided(
    members: readonly Member[],
    leader: Member | undefined,
    now: Millis,
  ): ReadonlySet<string> {
    const usable = members.filter((member) => member.isUsable());
    const replicas = usable.filter((member) => member !== leader);
    const candidates = [...replicas, ...usable.filter((member) => member === leader)];
    return this.detector.listAvoided(
      candidates.map(({ id }) => id),
      now,
    );
  }

  private handleChange(change: OutlierChange | undefined): void {
    if (!change) return;
    const { group, log, metrics } = this.options;
    const { instance, kind, failureRate } = change;
    metrics.ejections.inc({ kind });
    log.warn('use of an instance changed', { group, instance, kind, failureRate });
  }
}
