import type { Millis } from '../clock.js';
import { isLeading } from '../configuration/follower.js';
import type { GroupRecord } from '../group.js';
import { type PrimaryMonitor, UNREACHABLE_AFTER_MS } from './primarymonitor.js';
import type { RejoinTracker } from './rejoin.js';

/** A VM of rank n takes over a failover that has made no progress for n times this long. */
const RANK_STAGGER_MS: Millis = 250;
/** A primary that has been seen leading is not replaced within this time of being named. */
export const COOLDOWN_MS: Millis = 1_000;

/** Decides when this VM must start a failover of one group. */
export class FailoverTrigger {
  private record: GroupRecord | undefined;

  private recordSeenAt: Millis = 0;

  /** True once the record's primary has been observed as primary in the record's term. */
  private hasLed = false;

  /** When the present agreement of most zones that the primary is lost began. */
  private agreedAt: Millis | undefined;

  private rank = 0;

  constructor(
    private readonly monitor: PrimaryMonitor,
    private readonly rejoins: RejoinTracker,
  ) {}

  /** Sets this VM's rank among the watchers of the group (0 acts first). */
  updateRank(rank: number): void {
    this.rank = rank;
  }

  /** Handles a changed record of the group, or its absence. */
  handleRecord(record: GroupRecord | undefined, now: Millis): void {
    this.record = record;
    this.recordSeenAt = now;
    this.hasLed = false;
    this.agreedAt = undefined;
  }

  /** Notes that the record's primary leads in the record's term. */
  handleLeading(): void {
    this.hasLed = true;
  }

  /** How long this VM leaves an action to those of a lower rank. */
  computeStagger(): Millis {
    return this.rank * RANK_STAGGER_MS;
  }

  /** True once the VMs of a lower rank have had their time to act on the record. */
  isTurn(now: Millis): boolean {
    return now - this.recordSeenAt >= this.computeStagger();
  }

  isDue(now: Millis): boolean {
    const { record, monitor } = this;
    const idle = now - this.recordSeenAt;
    const stagger = this.computeStagger();
    const incarnations = this.rejoins.restoreListed(record?.incarnations);
    if (!monitor.hasMajority(incarnations, now)) return false;
    if (!record) return idle >= stagger;
    if (record.phase === 'fencing') return idle >= RANK_STAGGER_MS + stagger;
    if (idle < (this.hasLed ? COOLDOWN_MS : RANK_STAGGER_MS + stagger)) return false;
    // The platform has lost the claim of a later term, whose fences refuse the named primary.
    if (monitor.findFenceTerm() > record.term) return idle >= COOLDOWN_MS + stagger;
    const primary = record.primary ?? '';
    const isReachable = monitor.isReachable(primary, now);
    const status = monitor.findStatus(primary);
    if (isReachable && status && !isLeading(status, record)) return idle >= COOLDOWN_MS + stagger;
    const silence = monitor.computeSilence(primary, this.recordSeenAt, now);
    const isLost = isReachable || silence >= UNREACHABLE_AFTER_MS;
    if (!isLost || !monitor.isLostForMostZones(record, now)) this.agreedAt = undefined;
    else this.agreedAt ??= now;
    return this.agreedAt !== undefined && now - this.agreedAt >= stagger;
  }
}
