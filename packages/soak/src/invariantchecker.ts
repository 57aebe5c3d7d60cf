import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { comparePositions, LOG_START, type LogPosition, type Millis } from '@shallotpick/core';
import {
  type Commit,
  EmulatorObserver,
  type ItemWrite,
  type LostLog,
  type Promotion,
  type PromotionRequest,
  type ExecutedStatement,
} from '@shallotpick/emulator';
import type { Verdict } from '@shallotpick/engine';
import type { SoakOrganisation, SoakOrganisations } from './organisations.js';
import { REVOCATION_MS } from './vm.js';

/** Verdicts that guarantee that none of the request's writes was committed. */
const NOT_COMMITTED_VERDICTS: ReadonlySet<Verdict> = new Set<Verdict>([
  'overloaded',
  'aborted',
  'lagging',
  'readOnly',
  'wrongInstance',
  'tooManyConnections',
]);
const MAX_PRINTED_VIOLATIONS = 20;
/** Added to a loss that an order caused and that a running instance could have saved. */
const LOSS_CAUSES: Readonly<Record<LostLog['lostAt'], string>> = {
  arrival: '; it lost its log as its order arrived, while another running instance held everything',
  afterAcceptance:
    '; it lost its log after its order, while another running instance held everything',
};

/** An invariant that did not hold, with the time since the start of the run. */
export interface Violation {
  readonly invariant: string;
  readonly detail: string;
  readonly at: Millis;
}

/** The commits that a read has to reflect. */
export interface ReadExpectation {
  readonly group: string;
  readonly item: string;
  /** Commits of any session acknowledged before this time must be visible. */
  readonly visibleBefore: Millis;
  /** The session whose own commits must be visible whatever their age. */
  readonly session: string | undefined;
}

/** A write that its caller knows to be committed. */
interface AcknowledgedWrite {
  readonly data: string;
  readonly position: LogPosition;
  readonly at: Millis;
  /** Session of the caller. */
  readonly caller: string;
}

/** A statement that a caller has sent. */
interface SentStatement {
  readonly caller: string;
  readonly text: string;
  /** Value of the session variable `tag`. */
  readonly tag: string;
  /** Value of the session variable `note`, which its caller changes inside transactions. */
  readonly note: string | undefined;
  /** The organisation whose key the caller gave. */
  readonly organisation: SoakOrganisation | undefined;
  readonly sentAt: Millis;
}

/** Checks the invariants against events of the callers, the instances and the platform. */
export class InvariantChecker extends EmulatorObserver {
  readonly violations: Violation[] = [];

  /** Counts of responses, promotions and commits, for the summary. */
  readonly counts = {
    answered: 0,
    refused: 0,
    promotions: 0,
    commits: 0,
    unsavable: 0,
    lostWithOrder: 0,
    /** Log lines of unanswered requests that fell into a stall of the soak's own process. */
    unjudged: 0,
  };

  private readonly sentStatements = new Map<string, SentStatement>();

  /** The groups of the instances that have executed requests, by the ids of these. */
  private readonly executedRequests = new Map<string, string>();

  /** Data of the writes that callers asked to commit. */
  private readonly requested = new Set<string>();

  /** Data of the writes that were refused with the guarantee that they are not committed. */
  private readonly refused = new Set<string>();

  private readonly committed = new Map<string, LogPosition>();

  private readonly acknowledgedWrites = new Map<string, AcknowledgedWrite[]>();

  /** Acknowledged data by group. */
  private readonly acknowledgedData = new Map<string, Set<string>>();

  /**
   * Acknowledged or not, data that no choice could save: no log of the group, of an instance that
   * ran or not, held it when the order arrived; or the named instance held it and lost its log
   * afterwards, before it led, and no other running instance held everything acknowledged at the
   * loss or when it took the lead. A log that another running instance held, whether VMs reached
   * it or not, excuses nothing.
   */
  private readonly unsavable = new Set<string>();

  /** Data among it that the named instance lost after its order. */
  private readonly lostWithOrder = new Set<string>();

  /** Acknowledged data among `unsavable`. */
  private readonly excused = new Set<string>();

  private readonly promotionRequests = new Map<string, PromotionRequest>();

  constructor(
    private readonly readNow: () => Millis,
    private readonly organisations: SoakOrganisations,
  ) {
    super();
  }

  addViolation(invariant: string, detail: string): void {
    this.violations.push({ invariant, detail, at: Math.round(this.readNow()) });
  }

  /** Records a statement before a caller sends it. */
  recordSentStatement(id: string, sent: SentStatement): void {
    this.sentStatements.set(id, sent);
  }

  /** Records the writes that a caller is about to commit. */
  recordCommitRequest(writes: readonly ItemWrite[]): void {
    writes.forEach(({ data }) => this.requested.add(data));
  }

  /** Records the failure that a caller received for its writes. */
  recordRefusal(writes: readonly ItemWrite[], verdict: Verdict): void {
    this.counts.refused += 1;
    if (!NOT_COMMITTED_VERDICTS.has(verdict)) return;
    writes.forEach(({ data }) => {
      this.refused.add(data);
      if (this.committed.has(data)) this.addViolation('a refused write is not committed', data);
    });
  }

  /** Records that a session received the acknowledgement of its writes. */
  recordAcknowledgement(group: string, session: string, writes: readonly ItemWrite[]): void {
    this.counts.commits += 1;
    const kept = this.acknowledgedData.get(group) ?? new Set();
    this.acknowledgedData.set(group, kept);
    writes.forEach(({ item, data }) => {
      kept.add(data);
      const position = this.committed.get(data);
      if (!position) {
        this.addViolation('only committed writes are acknowledged', data);
        return;
      }
      const key = `${group} ${item}`;
      const previous = this.acknowledgedWrites.get(key) ?? [];
      this.acknowledgedWrites.set(key, [
        ...previous,
        { data, position, at: this.readNow(), caller: session },
      ]);
    });
  }

  /** Tells whether an instance has executed the request. */
  hasExecuted(id: string): boolean {
    return this.executedRequests.has(id);
  }

  /** Returns the group where an instance has executed the request; undefined when none has. */
  findGroup(id: string): string | undefined {
    return this.executedRequests.get(id);
  }

  /** Checks that a row is of the item that was read and no staler than allowed. */
  checkRow(row: string | undefined, expected: ReadExpectation): void {
    this.counts.answered += 1;
    const { group, item, visibleBefore, session } = expected;
    const [found, data = ''] = (row ?? '').split(' ');
    if (found !== item) {
      this.addViolation('a response holds the rows of its own statement', `${item}: ${row}`);
      return;
    }
    const required = (this.acknowledgedWrites.get(`${group} ${item}`) ?? []).filter(
      (one) => !this.unsavable.has(one.data) && (one.at < visibleBefore || one.caller === session),
    );
    const position = data === '-' ? LOG_START : this.committed.get(data);
    if (!position) return;
    const missing = required.find((one) => comparePositions(position, one.position) < 0);
    if (!missing) return;
    const detail = `${session ?? 'a caller'} read ${data} of ${item}, acknowledged before: ${JSON.stringify(missing)}`;
    this.addViolation('reads meet the staleness bound of their route', detail);
  }

  /** Checks that no log line of a process holds a key. */
  async checkLogs(directory: string): Promise<void> {
    const files = (await readdir(directory)).filter((file) => file.endsWith('.log'));
    const texts = await Promise.all(files.map((file) => readFile(join(directory, file), 'utf8')));
    this.organisations.list.forEach(({ name, key }) => {
      if (!texts.some((text) => text.includes(key))) return;
      this.addViolation('keys stay in the process that received them', `${name}: in a log`);
    });
  }

  private checkCaller({ organisation, sentAt }: SentStatement, caller: string): void {
    if (!organisation) return;
    const { name, key } = organisation;
    if (caller !== name) {
      this.addViolation("work runs in the name of its caller's organisation", `${name}: ${caller}`);
    }
    if (this.organisations.wasRevoked(key, sentAt, REVOCATION_MS)) {
      this.addViolation('a revoked key is not served', `${name}, sent at ${Math.round(sentAt)}`);
    }
  }

  override handleStatement(statement: ExecutedStatement): void {
    const { id, group, instance, caller, values, operation } = statement;
    const sent = id === undefined ? undefined : this.sentStatements.get(id);
    if (id !== undefined) this.executedRequests.set(id, group);
    if (!sent) {
      this.addViolation(
        'instances run only statements that callers sent',
        `${instance}: ${id} ${operation.kind}`,
      );
      return;
    }
    this.checkCaller(sent, caller);
    const text = 'text' in operation ? operation.text : undefined;
    const rest = 'rest' in operation ? operation.rest : '';
    if ((text !== undefined && text !== sent.text) || !sent.text.endsWith(rest)) {
      this.addViolation(
        'statements reach the instance unchanged',
        `${sent.text} became ${text ?? rest}`,
      );
    }
    this.checkValues(sent, values);
  }

  private checkValues({ tag, note }: SentStatement, values: ReadonlyMap<string, string>): void {
    const found = [values.get('tag'), values.get('note')];
    if (found[0] === tag && found[1] === note) return;
    const detail = `${tag} ${note}: ${found.join(' ')}`;
    this.addViolation('statements run with the values of their session', detail);
  }

  override handleCommit({ entry, offset }: Commit): void {
    entry.writes.forEach(({ data }) => {
      if (this.committed.has(data)) this.addViolation('a write is committed at most once', data);
      if (this.refused.has(data)) this.addViolation('a refused write is not committed', data);
      if (!this.requested.has(data)) this.addViolation('only requested data is committed', data);
      this.committed.set(data, { term: entry.term, offset });
    });
  }

  override handlePromotion(promotion: Promotion): void {
    const { group, instance, entries, lostEntries, lostLog } = promotion;
    this.counts.promotions += 1;
    lostEntries.forEach(({ writes }) => writes.forEach(({ data }) => this.unsavable.add(data)));
    if (lostLog && !lostLog.isHeldElsewhere) this.excuseLostLog(entries, lostLog.entries);
    const cause = lostLog?.isHeldElsewhere ? LOSS_CAUSES[lostLog.lostAt] : '';
    this.checkAcknowledgedWrites(group, instance, entries, cause);
  }

  override handlePromotionRequest(request: PromotionRequest): void {
    const key = `${request.group} ${request.generation}`;
    const known = this.promotionRequests.get(key);
    if (known && known.holder !== request.holder) {
      const detail = `${known.holder} and ${request.holder}, generation ${request.generation}`;
      this.addViolation('one holder per generation requests promotions', detail);
    }
    this.promotionRequests.set(key, request);
  }

  /** Checks that a log holds every acknowledged commit of its group. */
  checkAcknowledgedWrites(
    group: string,
    instance: string,
    entries: Promotion['entries'],
    cause = '',
  ): void {
    const held = new Set(entries.flatMap(({ writes }) => writes.map(({ data }) => data)));
    const missing = [...(this.acknowledgedData.get(group) ?? [])].filter((data) => !held.has(data));
    missing.forEach((data) => this.unsavable.has(data) && this.excused.add(data));
    this.counts.unsavable = this.excused.size;
    this.counts.lostWithOrder = [...this.excused].filter((data) =>
      this.lostWithOrder.has(data),
    ).length;
    const lost = missing.filter((data) => !this.unsavable.has(data));
    if (lost.length === 0) return;
    const detail = `${lost.length} missing at ${instance}, first ${lost[0]}${cause}`;
    this.addViolation('an acknowledged write is not lost', detail);
  }

  private excuseLostLog(entries: Promotion['entries'], lost: Promotion['entries']): void {
    const held = new Set(entries);
    const missing = lost.filter((entry) => !held.has(entry));
    missing
      .flatMap(({ writes }) => writes)
      .forEach(({ data }) => {
        this.unsavable.add(data);
        this.lostWithOrder.add(data);
      });
  }

  /** Formats the first violations in the order in which they were detected. */
  formatViolations(): readonly string[] {
    return this.violations
      .slice(0, MAX_PRINTED_VIOLATIONS)
      .map(({ invariant, detail, at }) => `${at} ms: ${invariant}: ${detail}`);
  }
}
