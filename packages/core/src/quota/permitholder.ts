import type { Millis } from '../clock.js';
import { computeFloor, computePermitLifetime, type QuotaRule } from './operationlimit.js';
import { PermitBatch, PermitHolding } from './permitholding.js';
import {
  type AccountsCopy,
  compareVersions,
  NO_COPY,
  type PermitAnswer,
  type PermitRequest,
  type ReturnedPermits,
} from './permitmessage.js';

/** Covers the way of an operation to its instance. */
const END_MARGIN_MS: Millis = 50;
/** An organisation that has used up its limit is refused for this long without a request. */
const LIMITED_MS: Millis = 50;
const MAX_RETURNED = 256;

/** Permission to start one operation. */
export interface HeldPermit {
  readonly organisation: string;
  readonly endsAt: Millis;
  /** Absent for a permit that no lender issued. */
  readonly batch?: PermitBatch;
}

/** This VM, and the rule. */
export interface PermitHolderOptions {
  readonly vm: string;
  readonly part: number;
  readonly rule: QuotaRule;
  readonly startedAt: Millis;
}

/** Permits to return, and the lender's process that issued them. */
interface IssuedPermits extends ReturnedPermits {
  readonly run: string;
}

/** Holds the permits that a VM was issued for one part of the organisations, until they end. */
export class PermitHolder {
  private readonly holdings = new Map<string, PermitHolding>();

  private returned: readonly IssuedPermits[] = [];

  private copy: AccountsCopy = NO_COPY;

  private copiedAt: Millis;

  private lastAnswer: PermitAnswer | undefined;

  private ended = 0;

  constructor(private readonly options: PermitHolderOptions) {
    this.copiedAt = options.startedAt;
  }

  /** Counts an operation that wants to start, whether it gets a permit or not. */
  recordDemand(organisation: string, now: Millis): void {
    this.findHolding(organisation).recordDemand(now);
  }

  /** Takes a permit in hand; undefined when there is none. */
  take(organisation: string, now: Millis): HeldPermit | undefined {
    const holding = this.findHolding(organisation);
    this.removeEnded(organisation, holding, now);
    const batch = holding.take();
    return batch && { organisation, endsAt: batch.endsAt, batch };
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
    batch.giveBack();
    this.findHolding(organisation).add(batch);
  }

  /** True while the organisation has used up its limit. */
  isLimited(organisation: string, now: Millis): boolean {
    return this.holdings.get(organisation)?.isLimited(now) === true;
  }

  /** True when permits should be asked for before they are needed. */
  mustAskAhead(now: Millis): boolean {
    return [...this.holdings].some(([organisation, holding]) => {
      this.removeEnded(organisation, holding, now);
      return holding.mustAskAhead(now);
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
    this.removeIdle(now);
    return {
      part,
      uptimeMs: Math.floor(now - startedAt),
      echo: lastAnswer && { run: lastAnswer.run, sentAt: lastAnswer.sentAt },
      confirmed: { term: copy.term, sequence: copy.sequence },
      copy: lastAnswer?.isLending ? undefined : { ...copy, ageMs: Math.floor(now - this.copiedAt) },
      wanted: [...this.holdings]
        .map(([organisation, holding]) => ({
          organisation,
          count: holding.computeWanted(waiting.get(organisation) ?? 0, now),
        }))
        .filter(({ count }) => count > 0),
      returned: this.takeReturned(),
    };
  }

  /** Forgets the last lender, after another one was chosen. */
  clearLender(): void {
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
      if (isLimited) holding.setLimited(now + LIMITED_MS);
      if (count > 0) holding.add(new PermitBatch(answer.run, interval, endsAt, count));
    });
  }

  /** Returns the permits of an answer that came too late. */
  releaseAll({ run, granted }: PermitAnswer): void {
    granted.forEach(({ organisation, count, interval }) =>
      this.addReturned({ organisation, count, interval, run }),
    );
  }

  private findHolding(organisation: string): PermitHolding {
    const known = this.holdings.get(organisation);
    if (known) return known;
    const { rule } = this.options;
    const holding = new PermitHolding(computePermitLifetime(rule), rule.windowMs + END_MARGIN_MS);
    this.holdings.set(organisation, holding);
    return holding;
  }

  /** Removes the permits that have ended; the lender is told of them. */
  private removeEnded(organisation: string, holding: PermitHolding, now: Millis): void {
    holding.removeEnded(now).forEach((batch) => {
      const { interval, run } = batch;
      this.addReturned({ organisation, count: batch.takeAll(), interval, run });
    });
  }

  private addReturned(returned: IssuedPermits): void {
    if (returned.count === 0) return;
    this.ended += returned.count;
    this.returned = [...this.returned.slice(1 - MAX_RETURNED), returned];
  }

  /** Takes what is to be returned; what another process issued is of no use to the lender. */
  private takeReturned(): readonly ReturnedPermits[] {
    const { returned, lastAnswer } = this;
    this.returned = [];
    return returned
      .filter(({ run }) => run === lastAnswer?.run)
      .map(({ organisation, count, interval }) => ({ organisation, count, interval }));
  }

  private removeIdle(now: Millis): void {
    this.holdings.forEach((holding, organisation) => {
      this.removeEnded(organisation, holding, now);
      if (holding.isIdle(now)) this.holdings.delete(organisation);
    });
  }
}
