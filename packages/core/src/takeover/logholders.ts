import type { Millis } from '../clock.js';
import { formatIncarnation, type Incarnation } from './incarnation.js';
import { findLeader, hasAnswered, isAlive } from './instanceview.js';
import { LogHolder } from './logholder.js';
import { hasPosition, type LogPosition } from '../position.js';
import type { InstanceView } from './takeovertypes.js';

/** Number of incarnations that are remembered as no longer needed. */
const MAX_DISMISSED = 1_000;

/**
 * The incarnations whose logs may hold acknowledged commits. One that has ended, or that is missing,
 * is dismissed only when another replica has been seen to hold what the leader held at a later
 * time: until then it may have been the only replica with a commit.
 */
export class LogHolders {
  private readonly holders = new Map<string, LogHolder>();

  /** Incarnations that were dismissed. */
  private readonly dismissed = new Set<string>();

  /** How often reports have shown a later start than the registered one, by incarnation. */
  private readonly unlistedStarts = new Map<string, number>();

  /** Adds incarnations that another VM knew of, unless this VM has dismissed them. */
  adopt(incarnations: readonly Incarnation[]): void {
    incarnations.forEach((one) => {
      const key = formatIncarnation(one);
      if (this.holders.has(key) || this.dismissed.has(key)) return;
      this.add(one);
    });
  }

  /** Lists all incarnations that are not dismissed. */
  list(): readonly Incarnation[] {
    return [...this.holders.values()].map(({ incarnation }) => incarnation);
  }

  update(instances: readonly InstanceView[], now: Millis): void {
    const members = instances.filter((one) => this.isMember(one));
    members.forEach((view) => this.updateHolder(view));
    this.holders.forEach((holder) => {
      this.endReplaced(holder, members, now);
      this.updateMissing(holder, members, now);
    });
    this.dropFormerStarts();
    this.dismissCovered(members);
  }

  /** True for an instance that has answered, or that another VM knew as a member. */
  isMember(view: InstanceView): boolean {
    return hasAnswered(view) || this.holders.has(formatIncarnation(view));
  }

  /** Lists the incarnations that may run and whose report is therefore needed. */
  listRunning(): readonly Incarnation[] {
    return this.listWhere(({ endedAt }) => endedAt === undefined);
  }

  /**
   * Lists those that are not known to have ended, and have neither been registered nor answered for
   * as long as a takeover waits.
   */
  listMissing(now: Millis): readonly Incarnation[] {
    return this.listWhere((holder) => holder.endedAt === undefined && holder.isMissingAt(now));
  }

  /**
   * Lists the incarnations that have ended and whose log is not known to be on another instance.
   *
   * @param findEnd reads the end of a log from a report, which proves what a replacement holds
   * @param isReturning whether to list only those whose log may come back
   */
  listLost(
    findEnd: (one: Incarnation) => LogPosition | undefined,
    isReturning = false,
  ): readonly Incarnation[] {
    return this.listWhere((holder) => {
      const { endedAt, replacement, position } = holder;
      if (endedAt === undefined || (isReturning && this.isLogGone(holder))) return false;
      const end = replacement && findEnd(replacement);
      return end === undefined || (position !== undefined && !hasPosition(end, position));
    });
  }

  /** Counts the later starts that reports under this incarnation have shown. */
  countUnlistedStarts(one: Incarnation): number {
    return this.unlistedStarts.get(formatIncarnation(one)) ?? 0;
  }

  /** True for an incarnation that is not dismissed. */
  isKnown(one: Incarnation): boolean {
    return this.holders.has(formatIncarnation(one));
  }

  /** True unless the log of the incarnation is known to be gone, or to be all on another one. */
  mayReturn(one: Incarnation): boolean {
    return this.holders.get(formatIncarnation(one))?.mayReturn() ?? true;
  }

  /** True when the log that the incarnation had is known to be gone, although its id answers. */
  isLaterStart(one: Incarnation): boolean {
    return this.holders.get(formatIncarnation(one))?.isLaterStart ?? false;
  }

  /** Finds the incarnation that has taken the place and the log of one that has ended. */
  findReplacement(one: Incarnation): Incarnation | undefined {
    return this.holders.get(formatIncarnation(one))?.replacement;
  }

  /** Furthest end of the log that the incarnation told this VM. */
  findPosition(one: Incarnation): LogPosition | undefined {
    return this.holders.get(formatIncarnation(one))?.position;
  }

  /**
   * Handles a report: one that is behind what the incarnation has told before, in the same term,
   * comes from a later start, whose registration has not arrived yet. The registered start stands
   * for that one from then on, and the log of the former one is lost.
   */
  checkReport(one: Incarnation, term: number, received: LogPosition, now: Millis): void {
    const key = formatIncarnation(one);
    const holder = this.holders.get(key);
    if (!holder) return;
    if (holder.mayReport(term, received)) {
      holder.updatePosition(received);
      return;
    }
    holder.markRestarted(now);
    this.unlistedStarts.set(key, this.countUnlistedStarts(one) + 1);
    this.holders.delete(key);
    this.holders.set(`${key} until ${now}`, holder);
    this.add(one, true).updatePosition(received);
  }

  /** True when the log is gone that the incarnation had, or that passed on to its replacement. */
  private isLogGone(holder: LogHolder): boolean {
    const { replacement } = holder;
    return holder.hasLostLog() || (replacement !== undefined && !this.mayReturn(replacement));
  }

  private listWhere(predicate: (holder: LogHolder) => boolean): readonly Incarnation[] {
    return [...this.holders.values()].filter(predicate).map(({ incarnation }) => incarnation);
  }

  private add({ id, startedAt, address }: Incarnation, isLaterStart = false): LogHolder {
    const holder = new LogHolder({ id, startedAt, address }, isLaterStart);
    const key = formatIncarnation(holder.incarnation);
    this.holders.set(key, holder);
    this.dismissed.delete(key);
    return holder;
  }

  private updateHolder(view: InstanceView): void {
    const holder = this.holders.get(formatIncarnation(view)) ?? this.add(view);
    // What is not known of the end of one that is leaving is no reason to wait for it.
    holder.mayEndAt = view.leaving ? (view.mayEndAt ?? Number.NEGATIVE_INFINITY) : undefined;
    if (isAlive(view)) holder.markAlive();
    if (view.position) holder.updatePosition(view.position);
  }

  /** Notes that the id or the address of an incarnation belongs to another one now. */
  private endReplaced(holder: LogHolder, members: readonly InstanceView[], now: Millis): void {
    const { id, startedAt, address } = holder.incarnation;
    const isRestarted = members.some((one) => one.id === id && one.startedAt !== startedAt);
    if (isRestarted) holder.markRestarted(now);
    if (members.some((one) => one.id === id && isAlive(one))) return;
    const other = members.find(
      (one) => one.address === address && one.id !== id && isAlive(one) && hasAnswered(one),
    );
    if (!other) return;
    holder.markReplaced({ id: other.id, startedAt: other.startedAt, address }, now);
  }

  private updateMissing(holder: LogHolder, members: readonly InstanceView[], now: Millis): void {
    const { id, startedAt } = holder.incarnation;
    const view = members.find((one) => one.id === id && one.startedAt === startedAt);
    if (view && (view.isRegistered || isAlive(view))) holder.markPresent();
    else holder.markMissing(now);
  }

  /**
   * Dismisses incarnations that ended, or were missing for long, before the leader told a position
   * that a replica has reached: what they may have acknowledged is on that replica as well. One that
   * is only missing may still acknowledge further commits.
   */
  private dismissCovered(members: readonly InstanceView[]): void {
    const leader = findLeader(members);
    const end = leader?.position;
    if (!leader || !end) return;
    // A leader that is behind what it has told before has started again.
    const known = this.findPosition(leader);
    if (known && !hasPosition(end, known)) return;
    const isCovered = members.some(
      (one) =>
        one.id !== leader.id &&
        !one.leaving &&
        one.isRegistered &&
        one.health === 'answering' &&
        one.position !== undefined &&
        hasPosition(one.position, end),
    );
    if (!isCovered) return;
    this.holders.forEach((holder, key) => {
      if (holder.isGoneAt(leader.positionAt)) this.dismiss(key);
    });
  }

  /** Keeps only the latest of the starts of an id whose logs are gone; the others add nothing. */
  private dropFormerStarts(): void {
    const latest = new Map<string, string>();
    this.holders.forEach((holder, key) => {
      if (!holder.hasLostLog()) return;
      const { id } = holder.incarnation;
      const former = latest.get(id);
      if (former !== undefined) this.dismiss(former);
      latest.set(id, key);
    });
  }

  private dismiss(key: string): void {
    this.holders.delete(key);
    this.unlistedStarts.delete(key);
    this.dismissed.add(key);
    const [oldest] = this.dismissed;
    if (this.dismissed.size > MAX_DISMISSED && oldest !== undefined) this.dismissed.delete(oldest);
  }
}
