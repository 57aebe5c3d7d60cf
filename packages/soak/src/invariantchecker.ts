import { comparePositions, LOG_START, type LogPosition, type Millis } from '@shallotpick/core';
import {
  type Commit,
  EmulatorObserver,
  type ItemWrite,
  type Promotion,
  type PromotionRequest,
  type ExecutedStatement,
} from '@shallotpick/emulator';
import type { Verdict } from '@shallotpick/engine';

/** Verdicts that promise that nothing is kept. */
const PROMISES: ReadonlySet<Verdict> = new Set<Verdict>([
  'overloaded',
  'aborted',
  'lagging',
  'readOnly',
  'wrongInstance',
  'tooManyConnections',
]);
const PRINTED_PROBLEMS = 20;

/** A promise of the pages that did not hold. */
export interface Violation {
  readonly invariant: string;
  readonly detail: string;
  readonly at: Millis;
}

/** What a caller is owed of a read. */
export interface ReadExpectation {
  readonly group: string;
  readonly item: string;
  /** Commits of others acknowledged before this time must be visible. */
  readonly visibleBefore: Millis;
  /** The caller's own commits must be visible whatever their age. */
  readonly session: string | undefined;
}

interface Acknowledged {
  readonly position: LogPosition;
  readonly at: Millis;
  readonly caller: string;
}

/** A statement that a caller has sent. */
interface Sent {
  readonly caller: string;
  readonly text: string;
  /** What the session had set. */
  readonly tag: string;
}

/** Checks the promises from what callers, instances and the platform see. */
export class InvariantChecker extends EmulatorObserver {
  readonly violations: Violation[] = [];

  /** Requests by outcome, for the summary. */
  readonly counts = { answered: 0, refused: 0, promotions: 0, commits: 0 };

  private readonly sent = new Map<string, Sent>();

  /** Requests that an instance has run. */
  private readonly ran = new Set<string>();

  /** Data that a caller has asked to commit. */
  private readonly requested = new Set<string>();

  /** Data that a caller was told is not kept. */
  private readonly refused = new Set<string>();

  private readonly committed = new Map<string, LogPosition>();

  private readonly acknowledged = new Map<string, Acknowledged[]>();

  /** Acknowledged data by group. */
  private readonly kept = new Map<string, Set<string>>();

  private readonly orders = new Map<string, PromotionRequest>();

  constructor(private readonly readNow: () => Millis) {
    super();
  }

  addViolation(promise: string, detail: string): void {
    this.violations.push({ invariant: promise, detail, at: Math.round(this.readNow()) });
  }

  /** A caller sends a statement that an instance may see. */
  recordSentStatement(id: string, sent: Sent): void {
    this.sent.set(id, sent);
  }

  /** A caller asks to commit these writes. */
  recordCommitRequest(writes: readonly ItemWrite[]): void {
    writes.forEach(({ data }) => this.requested.add(data));
  }

  /** A caller was told that its writes are not kept. */
  recordRefusal(writes: readonly ItemWrite[], verdict: Verdict): void {
    this.counts.refused += 1;
    if (!PROMISES.has(verdict)) return;
    writes.forEach(({ data }) => {
      this.refused.add(data);
      if (this.committed.has(data)) this.addViolation('what is refused is not kept', data);
    });
  }

  /** A caller was told that its writes are committed. */
  recordAcknowledgement(group: string, caller: string, writes: readonly ItemWrite[]): void {
    this.counts.commits += 1;
    const kept = this.kept.get(group) ?? new Set();
    this.kept.set(group, kept);
    writes.forEach(({ item, data }) => {
      kept.add(data);
      const position = this.committed.get(data);
      if (!position) {
        this.addViolation('a commit is acknowledged by an instance', data);
        return;
      }
      const key = `${group} ${item}`;
      const known = this.acknowledged.get(key) ?? [];
      this.acknowledged.set(key, [...known, { position, at: this.readNow(), caller }]);
    });
  }

  /** True when an instance has run the request. */
  hasExecuted(id: string): boolean {
    return this.ran.has(id);
  }

  /** A caller has got a row; it must be of the item, and young enough. */
  checkRow(row: string | undefined, expected: ReadExpectation): void {
    this.counts.answered += 1;
    const { group, item, visibleBefore: others, session: caller } = expected;
    const [found, data = ''] = (row ?? '').split(' ');
    if (found !== item) {
      this.addViolation('a caller gets the rows of its own statement', `${item}: ${row}`);
      return;
    }
    const owed = (this.acknowledged.get(`${group} ${item}`) ?? []).filter(
      (one) => one.at < others || one.caller === caller,
    );
    const position = data === '-' ? LOG_START : this.committed.get(data);
    if (!position) return;
    const missing = owed.find((one) => comparePositions(position, one.position) < 0);
    if (!missing) return;
    const detail = `${caller ?? 'a caller'} read ${data} of ${item}, acknowledged before: ${JSON.stringify(missing)}`;
    this.addViolation('reads are as fresh as their route says', detail);
  }

  override handleStatement({ id, instance, values, operation }: ExecutedStatement): void {
    const sent = id === undefined ? undefined : this.sent.get(id);
    if (id !== undefined) this.ran.add(id);
    if (!sent) {
      this.addViolation('instances run what callers sent', `${instance}: ${id} ${operation.kind}`);
      return;
    }
    const text = 'text' in operation ? operation.text : undefined;
    const rest = 'rest' in operation ? operation.rest : '';
    if ((text !== undefined && text !== sent.text) || !sent.text.endsWith(rest)) {
      this.addViolation('statements keep their text', `${sent.text} became ${text ?? rest}`);
    }
    const tag = values.get('tag');
    if (operation.kind !== 'commit' && tag !== sent.tag) {
      this.addViolation('statements run with the values of their session', `${sent.tag}: ${tag}`);
    }
  }

  override handleCommit({ entry, offset }: Commit): void {
    entry.writes.forEach(({ data }) => {
      if (this.committed.has(data)) this.addViolation('a write takes effect once', data);
      if (this.refused.has(data)) this.addViolation('what is refused is not kept', data);
      if (!this.requested.has(data)) this.addViolation('only what was asked is committed', data);
      this.committed.set(data, { term: entry.term, offset });
    });
  }

  override handlePromotion({ group, instance, entries }: Promotion): void {
    this.counts.promotions += 1;
    this.checkAcknowledgedWrites(group, instance, entries);
  }

  override handlePromotionRequest(order: PromotionRequest): void {
    const key = `${order.group} ${order.generation}`;
    const known = this.orders.get(key);
    if (known && known.holder !== order.holder) {
      const detail = `${known.holder} and ${order.holder}, generation ${order.generation}`;
      this.addViolation('one holder orders promotions', detail);
    }
    this.orders.set(key, order);
  }

  /** Every acknowledged commit must be in the log. */
  checkAcknowledgedWrites(group: string, instance: string, entries: Promotion['entries']): void {
    const held = new Set(entries.flatMap(({ writes }) => writes.map(({ data }) => data)));
    const lost = [...(this.kept.get(group) ?? [])].filter((data) => !held.has(data));
    if (lost.length === 0) return;
    const detail = `${lost.length} missing at ${instance}, first ${lost[0]}`;
    this.addViolation('what is acknowledged is not lost', detail);
  }

  /** The problems in the order in which they were seen, as text. */
  formatViolations(): readonly string[] {
    return this.violations
      .slice(0, PRINTED_PROBLEMS)
      .map(({ invariant: promise, detail, at }) => `${at} ms: ${promise}: ${detail}`);
  }
}
