import { expect } from 'earl';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createRetryDelay, RetryBudget, RetryBudgets, SessionPositions } from '../src/index.js';

describe('RetryBudget', () => {
  // Guards against retries that multiply the load on failing instances.
  it('limits retries to a fraction of the requests', () => {
    const budget = new RetryBudget({ ratio: 0.25, capacity: 2 });
    const first = [budget.requestRetry(), budget.requestRetry(), budget.requestRetry()];
    expect(first).toEqual([true, true, false]);
    let granted = 0;
    for (let request = 0; request < 100; request++) {
      budget.addRequest();
      if (budget.requestRetry()) granted += 1;
    }
    expect(granted).toEqual(25);
  });
});

describe('RetryBudgets', () => {
  // One organisation at many times its usual: its retries must leave some to the others.
  it('gives each organisation its own share of the retries of all', () => {
    const budgets = new RetryBudgets({
      total: { ratio: 0, capacity: 4 },
      organisation: { ratio: 0, capacity: 3 },
    });
    ['hot', 'small', undefined].forEach((name) => budgets.addRequest(name));
    const granted = ['hot', 'hot', 'hot', 'hot', 'small', undefined].map((name) =>
      budgets.requestRetry(name),
    );
    expect(granted).toEqual([true, true, true, false, true, false]);
  });
});

describe('createRetryDelay', () => {
  // Guards against delays that are unbounded, or not reproducible in seeded runs.
  it('grows up to its limit and is reproducible for a given generator', () => {
    const list = (): readonly number[] => {
      const computeDelay = createRetryDelay({ baseMs: 10, maxMs: 100 }, xoroshiro128plus(7));
      return [1, 2, 3, 4, 5, 60].map(computeDelay);
    };
    const limits = [10, 20, 40, 80, 100, 100];
    list().forEach((delay, index) => {
      const limit = limits[index] ?? 0;
      expect(delay >= limit / 2 && delay <= limit).toEqual(true);
    });
    expect(list()).toEqual(list());
  });
});

describe('SessionPositions', () => {
  // Guards against a position that moves back, so that a session misses its own earlier write.
  it('only advances, by group, and can be restored from a token', () => {
    const positions = new SessionPositions();
    positions.update('a', { term: 2, offset: 9 });
    expect(positions.update('a', { term: 1, offset: 50 })).toEqual({ term: 2, offset: 9 });
    expect([positions.formatToken('a'), positions.formatToken('b')]).toEqual(['2/9', undefined]);
    expect([positions.applyToken('b', '3/1'), positions.applyToken('b', 'x')]).toEqual([
      true,
      false,
    ]);
    expect(positions.findPosition('b')).toEqual({ term: 3, offset: 1 });
  });
});
