import { expect } from 'earl';
import { ConcurrencyLimit, UsualLatencies } from '../src/index.js';

const RANGE = { least: 2, most: 7 };
const USUAL_MS = 10;
const TICK_MS = 50;

/** Records one latency a tick, and returns the limit after each. */
function runTicks(limit: ConcurrencyLimit, latencies: readonly number[]): readonly number[] {
  return latencies.map((tookMs, index) => {
    limit.add(tookMs, USUAL_MS);
    return limit.update(RANGE, index * TICK_MS);
  });
}

describe('ConcurrencyLimit', () => {
  // Instances five times slower: work that waits there could not be ordered, or go elsewhere.
  it('falls to its least while work takes much longer than usual, and rises afterwards', () => {
    const limit = new ConcurrencyLimit();
    expect(runTicks(limit, Array(20).fill(USUAL_MS)).at(-1)).toEqual(RANGE.most);
    expect(runTicks(limit, Array(60).fill(5 * USUAL_MS)).at(-1)).toEqual(RANGE.least);
    expect(runTicks(limit, Array(60).fill(USUAL_MS)).at(-1)).toEqual(RANGE.most);
  });

  // One lost answer must not take work from a sound instance.
  it('does not follow a single latency', () => {
    const limit = new ConcurrencyLimit();
    expect(runTicks(limit, [10, 10, 100, 10, 10]).at(-1)).toEqual(RANGE.most);
  });

  // A slow instance that gets no work would be slow for ever.
  it('rises without samples, so that the instance is tried again', () => {
    const limit = new ConcurrencyLimit();
    runTicks(limit, Array(60).fill(5 * USUAL_MS));
    expect(limit.update(RANGE, 10_000)).toEqual(RANGE.least + 1);
    expect(limit.update(RANGE, 10_001)).toEqual(RANGE.least + 1);
  });

  // A share of no slot would end the service of a slow instance that only one home uses.
  it('never falls below one', () => {
    const limit = new ConcurrencyLimit();
    limit.add(100 * USUAL_MS, USUAL_MS);
    expect(limit.update({ least: 0, most: 0.5 }, 0)).toEqual(1);
  });
});

describe('UsualLatencies', () => {
  // Overload that lasts: the crowded latency must not become the usual one within seconds.
  it('follows the median down at once, and up slowly', () => {
    const latencies = new UsualLatencies();
    const addMany = (tookMs: number, now: number): number | undefined => {
      for (let sample = 0; sample < 40; sample += 1) latencies.add('k', tookMs, now);
      return latencies.add('k', tookMs, now);
    };
    expect(latencies.add('k', 20, 0)).toEqual(undefined);
    expect(addMany(20, 0)).toEqual(20);
    expect(addMany(10, 0)).toEqual(10);
    expect(addMany(100, 5_000)).toEqual(10);
    expect(latencies.add('k', 100, 10_000)).toEqual(11);
  });
});
