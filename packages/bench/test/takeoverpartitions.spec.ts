import { expect } from 'earl';
import { runTakeovers } from '../src/takeover/invariants.js';
import { PARTITION_RUN_SETTINGS } from '../src/takeover/runsettings.js';
import type { TakeoverFault } from '../src/takeover/scenario.js';
import { DEFAULT_TAKEOVER_RULES, TakeoverSimulation } from '../src/takeover/simulation.js';
import { createFault } from './restartrun.js';
import { PARTITION_MUTANTS } from './mutants/takeover.js';

const SEED = 5;
const RUNS = 40;
const MAX_RUNS = 150;

const findViolation = (seed: number, ...faults: readonly TakeoverFault[]): unknown =>
  new TakeoverSimulation({ seed, faults }, DEFAULT_TAKEOVER_RULES, PARTITION_RUN_SETTINGS).run();

describe('takeovers beside VMs that differ in what they reach', () => {
  // Guards against VMs that hand on acknowledged commits of a takeover that they don't hear of.
  it('hold the invariants under random faults', () => {
    const { failure } = runTakeovers(SEED, RUNS, DEFAULT_TAKEOVER_RULES, 'partitions');
    expect(failure).toEqual(undefined);
  }).timeout(120_000);

  // Guards against checks that pass whatever happens: each mutant must violate a guarantee.
  Object.entries(PARTITION_MUTANTS).forEach(([name, rules]) => {
    it(`violate them in a version that ${name}`, () => {
      const { failure } = runTakeovers(SEED, MAX_RUNS, rules, 'partitions');
      expect(failure?.violation.guarantee).toEqual('nothing acknowledged is lost');
    }).timeout(120_000);
  });

  // A stopped replica had started again and received more than the candidate, so that the order was
  // replaced; the candidate led, acknowledged commits, and the second order took effect without them.
  it('keep an order whose candidate holds its log, since both may be carried out', () => {
    expect(findViolation(-25, createFault('splitVm', 3_592, 2_034, 4))).toEqual(undefined);
  });

  // The same beside a VM that does not reach the store at all.
  it('keep an order beside a VM that is cut from the store', () => {
    const faults = [
      createFault('splitVm', 4_010, 5_997, 0),
      createFault('loseOrders', 3_333, 206, 5),
    ];
    expect(findViolation(7, ...faults)).toEqual(undefined);
  });
});
