import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { Millis } from './clock.js';

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
