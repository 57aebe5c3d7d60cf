import { expect } from 'earl';
import { computeCostKey, CostEstimator } from '../src/index.js';

const createKey = (text: string): string => computeCostKey(text, 'default');

describe('CostBook', () => {
  // Guards against statements that differ only in values and are learned one by one.
  it('gives equal work one key and other work another', () => {
    const keys = [
      "SELECT value FROM items WHERE key = 'a''b' AND n IN (1, 2, 3)",
      "select  value from items where key = 'c' and n in (7)",
    ].map(createKey);
    expect(keys[0]).toEqual(keys[1] ?? '');
    expect(createKey('SELECT value FROM items') === keys[0]).toEqual(false);
    expect(computeCostKey('SELECT 1', 'report') === createKey('SELECT 1')).toEqual(false);
  });

  // Guards against long work without a hint that takes the slots of short work again and again.
  it('treats a statement that turned out long as long, until it is short again', () => {
    const book = new CostEstimator();
    const [long, short] = [createKey('SELECT pg_sleep(1)'), createKey('SELECT 1')];
    for (let run = 0; run < 20; run++) book.add(short, 4);
    book.add(long, 1_000);
    expect([book.isLong(long), book.isLong(short)]).toEqual([true, false]);
    for (let run = 0; run < 10; run++) book.add(long, 4);
    expect(book.isLong(long)).toEqual(false);
  });

  // Guards against one wait at a paused instance that makes a known short statement long.
  it('is not misled by one outlier', () => {
    const book = new CostEstimator();
    for (let run = 0; run < 20; run++) book.add('k', 10);
    book.add('k', 5_000);
    expect(book.isLong('k')).toEqual(false);
  });

  // Guards against short work that was blocked by long work and then waits like long work.
  it('is not misled by several short runs that were blocked at once', () => {
    const book = new CostEstimator();
    for (let run = 0; run < 20; run++) book.add('k', 5);
    for (let run = 0; run < 6; run++) book.add('k', 450);
    expect(book.isLong('k')).toEqual(false);
  });

  // Guards against a deployment of slow statements whose whole work counts as long.
  it('learns what is typical from all statements', () => {
    const book = new CostEstimator();
    for (let run = 0; run < 200; run++) book.add(`k${run % 5}`, 150);
    expect([book.isLong('k0'), book.readTypicalCost() > 100]).toEqual([false, true]);
  });

  // Guards against generated texts that fill the memory or push out what is in use.
  it('keeps a bounded number of shapes, the used ones first', () => {
    const book = new CostEstimator(100);
    for (let index = 0; index < 10_000; index++) {
      book.add('used', 1_000);
      book.add(createKey(`SELECT c${index} FROM t`), 1);
    }
    expect([book.countFingerprints(), book.isLong('used')]).toEqual([100, true]);
  });
});
