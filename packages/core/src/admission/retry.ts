import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { Millis } from '../clock.js';

/** Options of a `RetryBudget`. */
export interface RetryBudgetOptions {
  /** Retries that each first attempt adds to the budget, such as 0.2. */
  readonly ratio: number;
  /** Largest number of retries that can accumulate; the budget starts full. */
  readonly capacity: number;
}

/**
 * Limits retries to a fraction of the first attempts, so that they cannot multiply the load on
 * instances that are already failing.
 */
export class RetryBudget {
  private available: number;

  constructor(private readonly options: RetryBudgetOptions) {
    this.available = options.capacity;
  }

  /** Counts a first attempt. */
  addRequest(): void {
    this.available = Math.min(this.options.capacity, this.available + this.options.ratio);
  }

  /** Takes one retry from the budget; false when it is exhausted. */
  requestRetry(): boolean {
    if (this.available < 1) return false;
    this.available -= 1;
    return true;
  }
}

/** Organisations whose budgets are kept; the least recently used goes first. */
const MAX_ORGANISATIONS = 1_000;

/** Budgets of a `RetryBudgets`. */
export interface RetryBudgetsOptions {
  readonly total: RetryBudgetOptions;
  readonly organisation: RetryBudgetOptions;
}

/** One retry budget for all callers, and one for each organisation, which must both allow a retry. */
export class RetryBudgets {
  private readonly total: RetryBudget;

  // A Map iterates in insertion order; each first attempt moves its organisation to the end.
  private readonly organisations = new Map<string, RetryBudget>();

  constructor(private readonly options: RetryBudgetsOptions) {
    this.total = new RetryBudget(options.total);
  }

  /** Counts a first attempt; `organisation` is undefined for callers without a key. */
  addRequest(organisation: string | undefined): void {
    this.total.addRequest();
    if (organisation === undefined) return;
    const known = this.organisations.get(organisation);
    const budget = known ?? new RetryBudget(this.options.organisation);
    this.organisations.delete(organisation);
    this.organisations.set(organisation, budget);
    budget.addRequest();
    if (this.organisations.size <= MAX_ORGANISATIONS) return;
    const [oldest] = this.organisations.keys();
    if (oldest !== undefined) this.organisations.delete(oldest);
  }

  /** Takes one retry from the budgets; false when one of them is exhausted. */
  requestRetry(organisation: string | undefined): boolean {
    const own = organisation === undefined ? undefined : this.organisations.get(organisation);
    return own?.requestRetry() !== false && this.total.requestRetry();
  }
}

/** Bounds of the exponential delay between retries. */
export interface RetryDelayOptions {
  readonly baseMs: Millis;
  readonly maxMs: Millis;
}

/**
 * Creates a function that maps the number of a retry (1 for the first) to a delay, uniformly
 * distributed between half and all of the exponential delay. Deterministic for a given generator.
 */
export function createRetryDelay(
  { baseMs, maxMs }: RetryDelayOptions,
  generator: RandomGenerator,
): (retry: number) => Millis {
  return (retry) => {
    const limit = Math.min(maxMs, baseMs * 2 ** Math.min(retry - 1, 30));
    return uniformInt(generator, Math.ceil(limit / 2), limit);
  };
}
