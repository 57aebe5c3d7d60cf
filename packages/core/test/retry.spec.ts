import { expect } from 'earl';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createRetryDelay, RetryBudget, SessionPositions } from '../src/index.js';

describe('RetryBudget', () => {
  // Guards against retries that multiply the load on instances that fail.
  it('limits retries to a share of the requests', () => {
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

describe('createBackoff', () => {
  // A delay that is not bounded or not repeatable would break seeded runs.
  it('grows up to its limit and repeats for the same generator', () => {
    const list = (): readonly number[] => {
      const backoff = createRetryDelay({ baseMs: 10, maxMs: 100 }, xoroshiro128plus(7));
      return [1, 2, 3, 4, 5, 60].map(backoff);
    };
    const limits = [10, 20, 40, 80, 100, 100];
    list().forEach((delay, index) => {
      const limit = limits[index] ?? 0;
      expect(delay >= limit / 2 && delay <= limit).toEqual(true);
    });
    expect(list()).toEqual(list());
  });
});

describe('SessionFloors', () => {
  // A floor that falls would let a session miss its own earlier write.
  it('only rises, by group, and survives as a token', () => {
    const floors = new SessionPositions();
    floors.update('a', { term: 2, offset: 9 });
    expect(floors.update('a', { term: 1, offset: 50 })).toEqual({ term: 2, offset: 9 });
    expect([floors.formatToken('a'), floors.formatToken('b')]).toEqual(['2/9', undefined]);
    expect([floors.applyToken('b', '3/1'), floors.applyToken('b', 'x')]).toEqual([true, false]);
    expect(floors.findPosition('b')).toEqual({ term: 3, offset: 1 });
  });
});
