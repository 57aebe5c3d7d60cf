import { expect } from 'earl';
import { computeCostKey, CostEstimator } from '../src/index.js';

const createKey = (text: string): string => computeCostKey(text, 'default');

describe('CostEstimator', () => {
  // Guards against statements that differ only in values and are learned separately.
  it('gives statements the same key only if they differ in values alone', () => {
    const keys = [
      "SELECT value FROM items WHERE key = 'a''b' AND n IN (1, 2, 3)",
      "select  value from items where key = 'c' and n in (7)",
    ].map(createKey);
    expect(keys[0]).toEqual(keys[1] ?? '');
    expect(createKey('SELECT value FROM items') === keys[0]).toEqual(false);
    expect(computeCostKey('SELECT 1', 'report') === createKey('SELECT 1')).toEqual(false);
  });

  // Guards against long work without a hint that repeatedly occupies the slots of short work.
  it('classifies a statement as long after a long run, until it is short again', () => {
    const estimator = new CostEstimator();
    const [long, short] = [createKey('SELECT pg_sleep(1)'), createKey('SELECT 1')];
    for (let run = 0; run < 20; run++) estimator.add(short, 4);
    estimator.add(long, 1_000);
    expect([estimator.isLong(long), estimator.isLong(short)]).toEqual([true, false]);
    for (let run = 0; run < 10; run++) estimator.add(long, 4);
    expect(estimator.isLong(long)).toEqual(false);
  });

  // Guards against a short statement that counts as long after one wait at a paused instance.
  it('tolerates a single outlier', () => {
    const estimator = new CostEstimator();
    for (let run = 0; run < 20; run++) estimator.add('k', 10);
    estimator.add('k', 5_000);
    expect(estimator.isLong('k')).toEqual(false);
  });

  // Guards against short work that counts as long after it was blocked by long work.
  it('tolerates several short runs that were blocked at the same time', () => {
    const estimator = new CostEstimator();
    for (let run = 0; run < 20; run++) estimator.add('k', 5);
    for (let run = 0; run < 6; run++) estimator.add('k', 450);
    expect(estimator.isLong('k')).toEqual(false);
  });

  // Guards against a deployment with slow statements in which all work counts as long.
  it('learns the typical cost from all statements', () => {
    const estimator = new CostEstimator();
    for (let run = 0; run < 200; run++) estimator.add(`k${run % 5}`, 150);
    expect([estimator.isLong('k0'), estimator.readTypicalCost() > 100]).toEqual([false, true]);
  });

  // Guards against generated statements that fill the memory or evict fingerprints in use.
  it('keeps a bounded number of fingerprints and evicts the least recently used', () => {
    const estimator = new CostEstimator(100);
    for (let index = 0; index < 10_000; index++) {
      estimator.add('used', 1_000);
      estimator.add(createKey(`SELECT c${index} FROM t`), 1);
    }
    expect([estimator.countFingerprints(), estimator.isLong('used')]).toEqual([100, true]);
  });
});
