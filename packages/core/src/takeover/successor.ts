import type { Millis } from '../clock.js';
import { EstablishedStarts } from './establishedstarts.js';
import { type FencedLog, FenceReports, type IncarnationReport } from './fencereports.js';
import { formatIncarnation, type Incarnation, isSameIncarnation } from './incarnation.js';
import { findLeader, hasAnswered } from './instanceview.js';
import { LOST_LOG_TIMEOUT_MS } from './logholder.js';
import { LogHolders } from './logholders.js';
import { hasPosition, type LogPosition } from '../position.js';
import { ProvenLogs } from './provenlogs.js';
import type {
  FenceReport,
  InstanceView,
  PromotionRecord,
  SuccessorEvidence,
} from './takeovertypes.js';
import { UnprovenEntries } from './unprovenentries.js';

/** Logs needed if no leader was observed: a single log does not show what others hold. */
const MIN_FENCED_LOGS = 2;
/**
 * How long a VM watches a group before it chooses. An answer comes from an id, not from a start: the
 * first ones may come from a later start than the registered one, whose entry lasts for seconds.
 */
const MIN_WATCHED_MS: Millis = 4_000;
/** How old the list of instances may be between the listings of an attempt. */
const MAX_LIST_AGE_MS: Millis = 1_000;

/**
 * Chooses the instance to promote: tracks which logs may hold acknowledged commits, and collects
 * the positions that fenced instances report.
 */
export class SuccessorSelector {
  /** Newest term reported by any instance. */
  newestTerm = 0;

  /** The incarnation that was last observed as leader. */
  protected leader: Incarnation | undefined;

  /** Term of the newest log entry that this leader reported. */
  protected leaderTerm = 0;

  protected readonly holders = new LogHolders();

  protected readonly reports = new FenceReports();

  /** The instances of the last update, by id. */
  private current: ReadonlyMap<string, InstanceView> = new Map();

  /** End of the former leader's log, as it told after it had stepped down in this attempt. */
  private leaderEnd: LogPosition | undefined;

  private readonly unproven = new UnprovenEntries();

  private readonly provenLogs = new ProvenLogs();

  private readonly starts = new EstablishedStarts();

  /** When this VM began to watch the group. */
  private watchedSince: Millis | undefined;

  /** True while a leader is observed. */
  private isLed = false;

  /** When a leader was last observed. */
  private ledAt: Millis | undefined;

  private now: Millis = Number.NEGATIVE_INFINITY;

  /**
   * Adds a report of the instance's start at `startedAt`, asked for at `at`; one of another start, or
   * one that was asked for before a known one, is ignored.
   */
  addReport(instance: string, startedAt: number, report: FenceReport, at = this.now): void {
    this.raiseTerm(Math.max(report.term, report.received.term));
    const incarnation = this.current.get(instance);
    if (incarnation && incarnation.startedAt !== startedAt) return;
    if ((this.reports.get(instance)?.at ?? at) > at) return;
    // A leader without an entry of its term shows that term in reports only.
    if (isSameIncarnation(incarnation, this.leader) && report.role === 'primary') {
      this.leaderTerm = Math.max(this.leaderTerm, report.term);
      this.leaderEnd = undefined;
    }
    const { term, received } = report;
    if (incarnation) this.holders.checkReport(incarnation, term, received, this.now);
    if (report.role === 'replica') this.noteLeaderEnd(incarnation, received);
    this.reports.set(instance, { ...report, startedAt, at });
  }

  /** A promotion ends every pause, so what was reported before a newer term is out of date. */
  private raiseTerm(term: number): void {
    if (term <= this.newestTerm) return;
    this.newestTerm = term;
    this.reports.clear();
  }

  findReport(instance: string): IncarnationReport | undefined {
    return this.reports.get(instance);
  }

  removeReport(instance: string): void {
    this.reports.remove(instance);
  }

  /** Discards the reports that arrived before `at`. */
  dropReportsBefore(at: Millis): void {
    this.reports.dropBefore(at);
  }

  /** Discards the reports, since a new attempt needs new ones. */
  clearReports(): void {
    this.reports.clear();
    this.leaderEnd = undefined;
  }

  /** Returns the instance that led last, or else one that reports itself as primary. */
  findFormerLeader(instances: readonly InstanceView[]): string | undefined {
    return this.leader?.id ?? instances.find(({ reportsPrimary }) => reportsPrimary)?.id;
  }

  /** Adopts what another VM noted in the group's record, unless a leader is in sight. */
  adopt({ leader, members = [], term }: PromotionRecord): void {
    this.holders.adopt(members);
    this.newestTerm = Math.max(this.newestTerm, term);
    if (!leader || this.isLed || term < this.leaderTerm) return;
    if (isSameIncarnation(leader, this.leader)) return;
    this.leader = leader;
    this.leaderTerm = term;
    this.leaderEnd = undefined;
  }

  /** The incarnation that led last, as far as known. */
  readLeader(): Incarnation | undefined {
    return this.leader;
  }

  /** Lists the incarnations whose logs may hold acknowledged commits. */
  listMembers(): readonly Incarnation[] {
    return this.holders.list();
  }

  /** Updates the leader and the holders, and drops reports of former starts. */
  updateInstances(instances: readonly InstanceView[], now: Millis): void {
    this.now = now;
    if (instances.length > 0) {
      this.watchedSince ??= now;
      this.ledAt ??= now;
    }
    this.current = new Map(instances.map((one) => [one.id, one]));
    this.reports.dropFormerStarts(this.current);
    instances.forEach(({ position }) => {
      this.raiseTerm(position?.term ?? 0);
    });
    this.holders.update(instances, now);
    this.provenLogs.update(instances, now);
    this.updateStarts(instances);
    const unproven = instances.filter((one) => !hasAnswered(one) && !this.holders.isMember(one));
    this.unproven.update(
      unproven.map(({ id }) => id),
      now,
    );
    this.updateLeader(instances, now);
  }

  /**
   * Lists the instances that count for decisions. A registered one that has not answered in time
   * does not: any writer can register an entry that names the group.
   */
  listEligible(instances: readonly InstanceView[]): readonly InstanceView[] {
    return instances.filter(({ id }) => this.isEligible(id));
  }

  /** True unless the instance of the last update has never answered in time. */
  isEligible(instance: string): boolean {
    return !this.unproven.isForeign(instance, this.now);
  }

  /** Finds a stopped log that reaches `position`, while none reaches further. */
  findStoppedAt(position: LogPosition, instances: readonly InstanceView[]): string | undefined {
    if (this.isBehind(position)) return undefined;
    return this.listFenced(instances).find(({ received }) => hasPosition(received, position))?.id;
  }

  /** True when an instance other than `excluded` has reported in this attempt that it is stopped. */
  hasOtherReport(excluded: string): boolean {
    return [...this.current.keys()].some((id) => id !== excluded && this.hasStopped(id));
  }

  /** True when a stopped replica reports more than `position`. */
  isBehind(position: LogPosition): boolean {
    return this.reports.isBehind(position);
  }

  /**
   * True unless the incarnation is known to lack `received`, which its log held: it has started
   * again, or told that its log ends before.
   *
   * @param unlistedStarts later starts that were known when its log was told
   */
  isIntact(one: Incarnation, received: LogPosition | undefined, unlistedStarts = 0): boolean {
    const current = this.current.get(one.id);
    if (current && current.startedAt !== one.startedAt) return false;
    if (this.countUnlistedStarts(one) > unlistedStarts) return false;
    const report = this.reports.get(one.id);
    if (!report || !received || report.startedAt !== one.startedAt) return true;
    return hasPosition(report.received, received);
  }

  /** Counts the later starts that reports under this incarnation have shown. */
  countUnlistedStarts(one: Incarnation): number {
    return this.holders.countUnlistedStarts(one);
  }

  /**
   * The incarnation that led last, if its log holds all that may have been acknowledged: none has led
   * in a newer term, and its log isn't known to be gone.
   */
  findCompleteLeader(): Incarnation | undefined {
    const { leader } = this;
    if (!leader || this.leaderTerm < this.newestTerm) return undefined;
    const isHeld = this.holders.isKnown(leader) && this.holders.mayReturn(leader);
    return isHeld && this.isIntact(leader, undefined) ? leader : undefined;
  }

  hasSteppedDown(id: string): boolean {
    return this.reports.get(id)?.role === 'replica';
  }

  /** True for an instance that receives no entries, as it reported. */
  hasStopped(id: string): boolean {
    return this.reports.hasStopped(id, this.leader?.id);
  }

  /** True when the reports that a choice needs can be had from the instances that answer now. */
  canChoose(instances: readonly InstanceView[]): boolean {
    if (!this.hasWatched()) return false;
    const canCover = this.leaderTerm >= this.newestTerm;
    if (this.leader && canCover && this.canReport(this.leader, instances)) return true;
    if (this.hasUnproven(instances)) return false;
    const { required, lost } = this.listNeeded(this.leader);
    return lost.length === 0 && required.every((one) => this.canReport(one, instances));
  }

  /**
   * Lists the incarnations without which no successor can be chosen now, because they don't answer
   * or have ended; empty while there is a leader.
   */
  listAwaited(instances: readonly InstanceView[]): readonly string[] {
    if (instances.some(({ leads }) => leads) || this.canChoose(instances)) return [];
    const { required, lost } = this.listNeeded(this.leader);
    const away = [...required, ...lost].filter((one) => !this.canReport(one, instances));
    return away.map(formatIncarnation);
  }

  /** Returns the instance to promote, once the reports cover every acknowledged commit. */
  chooseSuccessor(instances: readonly InstanceView[]): string | undefined {
    if (!this.hasWatched()) return undefined;
    const formerLeader = this.findFormerLeader(instances);
    const fenced = this.listFenced(instances);
    const covering = this.findCovering(fenced, formerLeader);
    if (covering || this.hasUnproven(instances)) return covering;
    return this.findMostAdvanced(fenced, formerLeader);
  }

  /** True when the end of the former leader's log is known, so that reports of others add nothing. */
  knowsLeaderEnd(): boolean {
    return this.findCoveredEnd() !== undefined;
  }

  /** Describes what a choice among the instances rests on. */
  describeEvidence(instances: readonly InstanceView[]): SuccessorEvidence {
    const running = this.holders.listRunning();
    const givenUp = [...this.listGivenUp(), ...this.listLost()];
    return {
      formerLeader: this.leader ? formatIncarnation(this.leader) : this.findFormerLeader(instances),
      holders: this.holders.list().map(formatIncarnation),
      unreported: running.filter((one) => !this.hasReported(one)).map(formatIncarnation),
      givenUp: givenUp.map(formatIncarnation),
      reports: this.reports.describe(),
    };
  }

  /** True when the candidate's log reaches the leader's `end` and contains all stopped logs. */
  isUpToDate(candidate: string, others: readonly string[], end: LogPosition | undefined): boolean {
    const own = this.reports.get(candidate)?.received;
    if (!own || !end || !hasPosition(own, end)) return false;
    return others.every((id) => {
      const held = this.reports.get(id)?.received;
      return held !== undefined && hasPosition(own, held);
    });
  }

  private listFenced(instances: readonly InstanceView[]): readonly FencedLog[] {
    return this.reports.listFenced(instances, this.leader?.id);
  }

  /** Finds a log that contains the former leader's at its step-down, or else that leader's own. */
  findCovering(fenced: readonly FencedLog[], formerLeader: string | undefined): string | undefined {
    const { leader } = this;
    const end = leader?.id === formerLeader ? this.findCoveredEnd() : undefined;
    if (!end) return undefined;
    const covering = fenced.filter(({ received }) => hasPosition(received, end));
    const [first] = covering;
    return (covering.find(({ id }) => id !== formerLeader) ?? first)?.id;
  }

  /** End of the former leader's log, if that held all that may have been acknowledged. */
  private findCoveredEnd(): LogPosition | undefined {
    // Another instance has led in a newer term, and this log may lack its commits.
    if (this.leaderTerm < this.newestTerm) return undefined;
    return this.leaderEnd;
  }

  /** Notes the end of the former leader's log once it has stepped down and acknowledges no more. */
  private noteLeaderEnd(reporter: Incarnation | undefined, received: LogPosition): void {
    const { leader } = this;
    // Another start of the former leader tells nothing of the log that it had when it led.
    if (!leader || !isSameIncarnation(reporter, leader)) return;
    if (!this.holders.isLaterStart(leader)) this.leaderEnd = received;
  }

  /** Finds the most advanced log, once every replica that may have acknowledged has stopped. */
  findMostAdvanced(
    fenced: readonly FencedLog[],
    formerLeader: string | undefined,
  ): string | undefined {
    const former = this.leader?.id === formerLeader ? this.leader : undefined;
    const { required, lost } = this.listNeeded(former);
    const isComplete = lost.length === 0 && required.every((one) => this.hasReported(one));
    const isEnough = this.leader !== undefined || fenced.length >= MIN_FENCED_LOGS;
    const isOther = fenced.some(({ id }) => id !== formerLeader);
    return isComplete && isEnough && isOther ? fenced[0]?.id : undefined;
  }

  /**
   * Lists the logs that a choice without the former leader's own needs: those that must report,
   * and those that are gone and may have held what now only the former leader holds.
   */
  private listNeeded(former: Incarnation | undefined): {
    readonly required: readonly Incarnation[];
    readonly lost: readonly Incarnation[];
  } {
    const givenUp = new Set(this.listGivenUp().map(formatIncarnation));
    const isOther = (one: Incarnation): boolean =>
      !isSameIncarnation(one, former) && !givenUp.has(formatIncarnation(one));
    // Once the former leader's log is gone as well, waiting recovers only logs that may come back.
    const isReturning = former !== undefined && !this.holders.mayReturn(former);
    return {
      required: this.holders.listRunning().filter(isOther),
      lost: this.isWaitOver() ? [] : this.listLost(isReturning).filter(isOther),
    };
  }

  /** True once the group has had no leader for as long as a log is waited for. */
  private isWaitOver(): boolean {
    return this.now - (this.ledAt ?? this.now) >= LOST_LOG_TIMEOUT_MS;
  }

  /**
   * Lists the incarnations that have been missing for as long as a log is waited for, and those to
   * which no report can be ascribed in that time.
   */
  private listGivenUp(): readonly Incarnation[] {
    if (!this.isWaitOver()) return [];
    const missing = this.holders.listMissing(this.now);
    const running = this.holders.listRunning().filter((one) => !missing.includes(one));
    return [...missing, ...running.filter((one) => !this.isEstablished(one))];
  }

  private listLost(isReturning = false): readonly Incarnation[] {
    return this.holders.listLost(
      (one) => this.findEnd(one) ?? this.holders.findPosition(one),
      isReturning,
    );
  }

  /** True once a restart shows before it can mislead a choice. */
  private hasWatched(): boolean {
    return this.hasWatchedFor(MIN_WATCHED_MS) || this.areLogsProven();
  }

  private hasWatchedFor(durationMs: Millis): boolean {
    return this.now - (this.watchedSince ?? this.now) >= durationMs;
  }

  private areLogsProven(): boolean {
    return this.leader !== undefined && this.provenLogs.isProvenIn(this.newestTerm);
  }

  private updateStarts(instances: readonly InstanceView[]): void {
    const hasListed = this.hasWatchedFor(MIN_WATCHED_MS + MAX_LIST_AGE_MS);
    const areLogsProven = this.areLogsProven();
    this.starts.update(
      instances,
      ({ isRegistered }) => areLogsProven || (hasListed && isRegistered),
    );
  }

  /** True when what answers under this id can be taken for this start. */
  private isEstablished(one: Incarnation): boolean {
    const view = this.current.get(one.id);
    const isListed = isSameIncarnation(view, one) && view?.isRegistered === true;
    return isListed || this.starts.has(one);
  }

  private canReport(one: Incarnation, instances: readonly InstanceView[]): boolean {
    if (!this.isEstablished(one)) return false;
    return instances.some((view) => isSameIncarnation(view, one) && view.health === 'answering');
  }

  private hasReported(one: Incarnation): boolean {
    const isOwn = this.reports.get(one.id)?.startedAt === one.startedAt;
    return isOwn && this.hasStopped(one.id) && this.isEstablished(one);
  }

  /** End of a stopped log as this incarnation reported it. */
  private findEnd(one: Incarnation): LogPosition | undefined {
    return this.hasReported(one) ? this.reports.get(one.id)?.received : undefined;
  }

  private hasUnproven(instances: readonly InstanceView[]): boolean {
    return instances.some(({ id }) => this.unproven.mayBeMember(id, this.now));
  }

  private updateLeader(instances: readonly InstanceView[], now: Millis): void {
    const leader = findLeader(instances);
    this.isLed = leader !== undefined;
    if (leader) {
      const { id, startedAt, address, position } = leader;
      const isSame = isSameIncarnation(this.leader, leader);
      const isAhead = position && this.leaderEnd && !hasPosition(this.leaderEnd, position);
      if (!isSame || isAhead) this.leaderEnd = undefined;
      this.leader = { id, startedAt, address };
      this.leaderTerm = Math.max(position?.term ?? 0, isSame ? this.leaderTerm : 0);
      this.ledAt = now;
      return;
    }
    const { holders } = this;
    // What takes the place of a later start has nothing of the log that led.
    if (this.leader && holders.isLaterStart(this.leader)) return;
    const replacement = this.leader && holders.findReplacement(this.leader);
    const end = replacement && holders.findPosition(replacement);
    const known = this.leader && holders.findPosition(this.leader);
    // The former leader has come back under another id, with its log.
    if (!replacement || !end || !known || !hasPosition(end, known)) return;
    this.leader = replacement;
    this.leaderEnd = undefined;
  }
}
