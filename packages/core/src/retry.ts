import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { Millis } from './clock.js';

export interface RetryBudgetOptions {
  /** Retries that each first attempt adds to the budget, for instance 0.2. */
  readonly ratio: number;
  /** Most retries that can be saved up; the budget starts full. */
  readonly capacity: number;
}

/**
 * Limits retries to a share of the first attempts, so that retries cannot multiply the load on
 * instances that already fail.
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

  /** Takes one retry from the budget; false when there is none. */
  requestRetry(): boolean {
    if (this.available < 1) return false;
    this.available -= 1;
    return true;
  }
}

export interface RetryDelayOptions {
  readonly baseMs: Millis;
  readonly maxMs: Millis;
}

/**
 * Creates a function that maps the number of the retry (1 for the first) to a delay: uniform
 * between half of and the whole exponential delay. Deterministic for a given generator.
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
