import type { Millis } from './clock.js';
import { computeFloor, computePermitLifetime, type QuotaRule } from './operationlimit.js';
import {
  type AccountsCopy,
  compareVersions,
  NO_COPY,
  type PermitAnswer,
  type PermitRequest,
  type ReturnedPermits,
} from './permitmessage.js';
import { WindowAccount } from './windowaccount.js';

/** Covers the way of an operation to its instance. */
const END_MARGIN_MS: Millis = 50;
/** An organisation that has used up its limit is refused for this long without a request. */
const LIMITED_MS: Millis = 50;
/** Fewer operations in the life of a permit are no reason to ask ahead. */
const MIN_PREFETCH = 3;
const MAX_RETURNED = 256;

/** Permits of one grant. */
interface PermitBatch {
  readonly interval: number;
  readonly run: string;
  readonly endsAt: Millis;
  left: number;
}

/** Permission to start one operation. */
export interface HeldPermit {
  readonly organisation: string;
  readonly endsAt: Millis;
  /** Absent for a permit that no lender issued. */
  readonly batch?: PermitBatch;
}

/** The permits of one organisation. */
interface Holding {
  batches: readonly PermitBatch[];
  readonly demand: WindowAccount;
  /** What was started without a lender. */
  readonly floor: WindowAccount;
  limitedUntil: Millis;
}

/** This VM, and the rule. */
export interface PermitHolderOptions {
  readonly vm: string;
  readonly part: number;
  readonly rule: QuotaRule;
  readonly startedAt: Millis;
}

/** Holds the permits that a VM was issued for one part of the organisations, until they end. */
export class PermitHolder {
  private readonly holdings = new Map<string, Holding>();

  private returned: readonly (ReturnedPermits & { readonly run: string })[] = [];

  private copy: AccountsCopy = NO_COPY;

  private copiedAt: Millis;

  private lastAnswer: PermitAnswer | undefined;

  private ended = 0;

  constructor(private readonly options: PermitHolderOptions) {
    this.copiedAt = options.startedAt;
  }

  /** Counts an operation that wants to start, whether it gets a permit or not. */
  recordDemand(organisation: string, now: Millis): void {
    this.findHolding(organisation).demand.add(1, now);
  }

  /** Takes a permit in hand; undefined when there is none. */
  take(organisation: string, now: Millis): HeldPermit | undefined {
    const holding = this.findHolding(organisation);
    this.dropEnded(organisation, holding, now);
    const [batch] = holding.batches;
    if (!batch) return undefined;
    batch.left -= 1;
    if (batch.left === 0) holding.batches = holding.batches.slice(1);
    return { organisation, endsAt: batch.endsAt, batch };
  }

  /** Takes what a VM may start without a lender. */
  takeFloor(organisation: string, vms: readonly string[], now: Millis): HeldPermit | undefined {
    const { vm, rule, startedAt } = this.options;
    // The process before this one may have used the floor.
    if (now - startedAt < rule.windowMs) return undefined;
    const { floor } = this.findHolding(organisation);
    if (floor.readSum(now) >= computeFloor(vm, vms, organisation, rule)) return undefined;
    floor.add(1, now);
    return { organisation, endsAt: now + END_MARGIN_MS };
  }

  /** Takes back the permit of an operation that has surely not started. */
  giveBack({ organisation, batch }: HeldPermit): void {
    if (!batch) return;
    const holding = this.findHolding(organisation);
    batch.left += 1;
    if (!holding.batches.includes(batch)) holding.batches = [batch, ...holding.batches];
  }

  /** True while the organisation has used up its limit. */
  isLimited(organisation: string, now: Millis): boolean {
    return now < (this.holdings.get(organisation)?.limitedUntil ?? Number.NEGATIVE_INFINITY);
  }

  /** True when permits should be asked for before they are needed. */
  mustAskAhead(now: Millis): boolean {
    return [...this.holdings].some(([organisation, holding]) => {
      if (now < holding.limitedUntil) return false;
      this.dropEnded(organisation, holding, now);
      return this.countHeld(holding) * 2 < this.computeTarget(holding, now);
    });
  }

  /** Number of permits that ended unused since the last call. */
  takeEndedCount(): number {
    const { ended } = this;
    this.ended = 0;
    return ended;
  }

  /**
   * Creates a request to the lender.
   *
   * @param waiting operations of each organisation that wait for a permit
   */
  createRequest(waiting: ReadonlyMap<string, number>, now: Millis): PermitRequest {
    const { part, startedAt } = this.options;
    const { lastAnswer, copy } = this;
    this.dropIdle(now);
    const wanted = [...this.holdings].flatMap(([organisation, holding]) => {
      const target = this.computeTarget(holding, now) + (waiting.get(organisation) ?? 0);
      const count = target - this.countHeld(holding);
      return count > 0 && now >= holding.limitedUntil ? [{ organisation, count }] : [];
    });
    const returned = this.returned.filter(({ run }) => run === lastAnswer?.run);
    this.returned = [];
    return {
      part,
      uptimeMs: Math.floor(now - startedAt),
      echo: lastAnswer && { run: lastAnswer.run, sentAt: lastAnswer.sentAt },
      confirmed: { term: copy.term, sequence: copy.sequence },
      copy: lastAnswer?.isLending ? undefined : { ...copy, ageMs: Math.floor(now - this.copiedAt) },
      wanted,
      returned: returned.map(({ organisation, count, interval }) => ({
        ...{ organisation, count, interval },
      })),
    };
  }

  /** Forgets the last lender, after another one was chosen. */
  forgetLender(): void {
    this.lastAnswer = undefined;
  }

  /** Adds the permits of an answer; they end a fixed time after its request was sent. */
  handleAnswer(answer: PermitAnswer, sentAt: Millis, now: Millis): void {
    this.lastAnswer = answer;
    if (answer.copy && compareVersions(answer.copy, this.copy) > 0) {
      this.copy = answer.copy;
      this.copiedAt = now - answer.copy.ageMs;
    }
    const endsAt = sentAt + computePermitLifetime(this.options.rule) - END_MARGIN_MS;
    answer.granted.forEach(({ organisation, count, interval, isLimited }) => {
      const holding = this.findHolding(organisation);
      if (isLimited) holding.limitedUntil = now + LIMITED_MS;
      if (count === 0) return;
      holding.batches = [...holding.batches, { interval, run: answer.run, endsAt, left: count }];
    });
  }

  /** Returns the permits of an answer that came too late. */
  returnAll({ run, granted }: PermitAnswer): void {
    granted
      .filter(({ count }) => count > 0)
      .forEach(({ organisation, count, interval }) =>
        this.addReturned({ organisation, count, interval, run }),
      );
  }

  private findHolding(organisation: string): Holding {
    const known = this.holdings.get(organisation);
    if (known) return known;
    const { rule } = this.options;
    const holding: Holding = {
      batches: [],
      demand: new WindowAccount(computePermitLifetime(rule)),
      floor: new WindowAccount(rule.windowMs + END_MARGIN_MS),
      limitedUntil: Number.NEGATIVE_INFINITY,
    };
    this.holdings.set(organisation, holding);
    return holding;
  }

  /** Drops the permits that have ended; the lender is told of them. */
  private dropEnded(organisation: string, holding: Holding, now: Millis): void {
    const ended = holding.batches.filter(({ endsAt }) => endsAt <= now);
    if (ended.length === 0) return;
    holding.batches = holding.batches.filter(({ endsAt }) => endsAt > now);
    ended.forEach((batch) => {
      const { interval, run, left: count } = batch;
      this.addReturned({ organisation, count, interval, run });
      batch.left = 0;
    });
  }

  private addReturned(returned: ReturnedPermits & { readonly run: string }): void {
    if (returned.count === 0) return;
    this.ended += returned.count;
    this.returned = [...this.returned.slice(1 - MAX_RETURNED), returned];
  }

  private dropIdle(now: Millis): void {
    this.holdings.forEach((holding, organisation) => {
      this.dropEnded(organisation, holding, now);
      const used = holding.demand.readSum(now) + holding.floor.readSum(now);
      if (used + holding.batches.length === 0) this.holdings.delete(organisation);
    });
  }

  private countHeld({ batches }: Holding): number {
    return batches.reduce((sum, { left }) => sum + left, 0);
  }

  /** Permits that the recent demand needs within the life of a permit. */
  private computeTarget({ demand }: Holding, now: Millis): number {
    const recent = demand.readSum(now);
    return recent >= MIN_PREFETCH ? recent : 0;
  }
}
