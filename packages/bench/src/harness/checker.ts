import type { GroupRecord } from '@shallotpick/core';
import type { LogEntry, FakeInstance } from './instance.js';

/** Guarantees that the runs check; the first broken one is reported. */
export type Guarantee =
  | 'nothing acknowledged is lost'
  | 'no acknowledgement by a replaced primary'
  | 'at most one primary per term'
  | 'one attempt per term'
  | 'read-your-writes'
  | 'stated age'
  | 'writes go on after faults end';

/** A broken guarantee, with what shows it. */
export interface Violation {
  readonly guarantee: Guarantee;
  readonly at: number;
  readonly detail: string;
}

interface Promotion {
  readonly instance: string;
  readonly term: number;
  readonly at: number;
  readonly log: readonly LogEntry[];
}

interface Acknowledged {
  readonly entry: LogEntry;
  readonly at: number;
}

/** Compares what callers were told with what the instances hold. */
export class GuaranteeChecker {
  violation: Violation | undefined;

  readonly promotions: Promotion[] = [];

  readonly acknowledged: Acknowledged[] = [];

  constructor(private readonly readNow: () => number) {}

  handlePromotion(instance: FakeInstance, term: number): void {
    const { id, entries } = instance;
    const other = this.promotions.find((known) => known.term === term && known.instance !== id);
    if (other) {
      this.report('at most one primary per term', `${id} and ${other.instance} in term ${term}`);
    }
    const promotion = { instance: id, term, at: this.readNow(), log: [...entries] };
    this.promotions.push(promotion);
    this.acknowledged.forEach(({ entry }) => this.checkKept(entry, promotion));
  }

  /** The record moves to a later term, or from a claim to the naming of the same attempt. */
  handleRecord(before: GroupRecord | undefined, after: GroupRecord): void {
    if (!before || after.term > before.term) return;
    const isNaming = after.attempt === before.attempt && after.phase === 'named';
    if (isNaming && before.phase === 'fencing') return;
    const detail = `attempt ${after.attempt} of term ${after.term} after ${before.attempt} of ${before.term}`;
    this.report('one attempt per term', detail);
  }

  handleAcknowledgement(entry: LogEntry): void {
    this.acknowledged.push({ entry, at: this.readNow() });
    this.promotions.forEach((promotion) => {
      this.checkKept(entry, promotion);
      const isReplaced = promotion.term > entry.term && promotion.at < entry.committedAt;
      if (!isReplaced) return;
      const detail = `entry ${entry.id} of term ${entry.term} after ${promotion.instance} led ${promotion.term}`;
      this.report('no acknowledgement by a replaced primary', detail);
    });
  }

  /** `own`: what the session was told before it asked. */
  handleRead(
    instance: FakeInstance,
    own: readonly LogEntry[],
    maxAgeMs: number,
    routedAt: number,
  ): void {
    const missed = own.find((entry) => !instance.hasApplied(entry));
    if (missed) this.report('read-your-writes', `${instance.id} lacks ${missed.id}`);
    if (maxAgeMs <= 0) return;
    const old = this.acknowledged.find(
      ({ entry, at }) => at < routedAt - maxAgeMs && !instance.hasApplied(entry),
    );
    if (!old) return;
    const age = Math.round(routedAt - old.at);
    this.report('stated age', `${instance.id} lacks ${old.entry.id} of ${age} ms ago`);
  }

  report(guarantee: Guarantee, detail: string): void {
    this.violation ??= { guarantee, at: this.readNow(), detail };
  }

  private checkKept(entry: LogEntry, { instance, term, log }: Promotion): void {
    if (term <= entry.term || log[entry.offset - 1]?.id === entry.id) return;
    const detail = `entry ${entry.id} of term ${entry.term} is not in the log of ${instance} in term ${term}`;
    this.report('nothing acknowledged is lost', detail);
  }
}
