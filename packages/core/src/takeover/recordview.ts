import type { Millis } from '../clock.js';
import { formatIncarnation, type Incarnation, isSameIncarnation } from './incarnation.js';
import {
  compareStoreVersions,
  encodeStoreVersion,
  type StoreVersion,
} from '../configuration/storeversion.js';
import { ATTEMPT_TIMEOUT_MS, RAISE_TIMEOUT_MS } from './takeoverstep.js';
import type { PromotionRecord } from './takeovertypes.js';

/** True when both records name the same leader and members. */
export function hasSameMembers(a: PromotionRecord, b: PromotionRecord): boolean {
  if (!isSameIncarnation(a.leader, b.leader) && a.leader !== b.leader) return false;
  const describe = ({ members = [] }: PromotionRecord): string =>
    members.map(formatIncarnation).sort().join();
  return describe(a) === describe(b);
}

/** Identifies the claim of a settled record; undefined for an open one. */
export function formatSettledClaim(record: PromotionRecord): string | undefined {
  const { era, generation, holder, phase } = record;
  return phase === 'settled' ? `${era}/${generation}/${holder}` : undefined;
}

/** What one VM knows of a group's promotion record in the store. */
export class PromotionRecordView {
  record: PromotionRecord | undefined;

  /** Version of the record; revision 0 while there is none. */
  version: StoreVersion = { era: 0, revision: 0 };

  /** When this VM received this version of the record. */
  seenAt: Millis = 0;

  /** When this VM received the first record, or its absence, of the store's present era. */
  private eraSeenAt: Millis | undefined;

  private mustRead = true;

  /** True unless the record has to be read first. */
  isKnown(): boolean {
    return !this.mustRead;
  }

  /** Accepts the next answer of the store even if it isn't newer. */
  reset(): void {
    this.mustRead = true;
  }

  /** Updates the record, or its absence (revision 0); false when the view has a newer one. */
  update(record: PromotionRecord | undefined, version: StoreVersion, now: Millis): boolean {
    if (this.isOutdated(version)) return false;
    if (this.eraSeenAt === undefined || version.era > this.version.era) this.eraSeenAt = now;
    this.mustRead = false;
    this.record = record;
    this.version = version;
    this.seenAt = now;
    return true;
  }

  /**
   * True when the record was written in the store's present era. Any other one may have been
   * changed since: the store lost those changes when it came back from an older copy.
   */
  isCurrent(): boolean {
    return this.readCurrent() !== undefined;
  }

  /** The record if it was written in the store's present era. */
  readCurrent(): PromotionRecord | undefined {
    return this.record?.era === this.version.era ? this.record : undefined;
  }

  /**
   * The leader that a takeover replaces while its record is open, and a candidate that has lost its
   * log. An order to promote another instance may be carried out at any time then, so these must
   * not acknowledge commits.
   */
  listReplaced(): readonly Incarnation[] {
    const record = this.readCurrent();
    if (record?.phase !== 'open') return [];
    const { failedCandidate, leader } = record;
    const failed = failedCandidate ? [failedCandidate] : [];
    return record.plan === 'takeover' && leader ? [leader, ...failed] : failed;
  }

  /**
   * Time from which no VM acts any more on a claim that the store may have lost: such a claim is
   * older than the store's present era.
   */
  findClaimableAt(): Millis {
    if (this.isCurrent()) return Number.NEGATIVE_INFINITY;
    return (this.eraSeenAt ?? this.seenAt) + ATTEMPT_TIMEOUT_MS;
  }

  /** True while an attempt that the record tells of may be in progress. */
  isAttemptOpen(now: Millis): boolean {
    return this.record?.phase === 'open' && now - this.seenAt < ATTEMPT_TIMEOUT_MS;
  }

  /**
   * True for an open record whose attempt has taken longer than others wait for it. One that raises
   * the token may have to wait for older orders once its own is accepted; with a leader that serves,
   * others that began anew would only make that wait longer.
   */
  isAbandoned(now: Millis): boolean {
    const { record, seenAt } = this;
    if (record?.phase !== 'open') return false;
    const timeoutMs = record.plan === 'raise' ? RAISE_TIMEOUT_MS : ATTEMPT_TIMEOUT_MS;
    return now - seenAt >= timeoutMs;
  }

  /**
   * Fencing token of a claim that was written at `version`. The store gives each revision of an era
   * to one write, so tokens are unique and rise, also across eras.
   */
  computeToken(version: StoreVersion): number {
    return encodeStoreVersion(version);
  }

  protected isOutdated(version: StoreVersion): boolean {
    if (version.era < this.version.era) return true;
    return this.isKnown() && compareStoreVersions(version, this.version) <= 0;
  }
}
