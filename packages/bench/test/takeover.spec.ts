import { expect } from 'earl';
import { runTakeovers } from '../src/takeover/invariants.js';
import type { TakeoverFault } from '../src/takeover/scenario.js';
import { TakeoverSimulation } from '../src/takeover/simulation.js';
import { TAKEOVER_MUTANTS } from './mutants/takeover.js';

const SEED = 7;
const KEPT_RUNS = 25;
const MAX_RUNS = 250;

const createFault = (kind: TakeoverFault['kind'], at: number, duration: number): TakeoverFault => ({
  ...{ kind, at, duration, pick: 0 },
});

const runWith = (...faults: readonly TakeoverFault[]): TakeoverSimulation => {
  const simulation = new TakeoverSimulation({ seed: 1, faults });
  expect(simulation.run()).toEqual(undefined);
  return simulation;
};

describe('takeovers of a group with a synchronous replica', () => {
  it('keep the invariants under random faults', () => {
    expect(runTakeovers(SEED, KEPT_RUNS).failure).toEqual(undefined);
  }).timeout(60_000);

  // Guards against runs that check nothing: each broken rule must be noticed.
  Object.entries(TAKEOVER_MUTANTS).forEach(([name, rules]) => {
    it(`break them in a version that ${name}`, () => {
      expect(runTakeovers(SEED, MAX_RUNS, rules).failure).not.toEqual(undefined);
    }).timeout(120_000);
  });

  // A cut between the leader and some VMs ended while their claim was under way.
  it('replace a leader that crashed, once', () => {
    expect(runWith(createFault('crashLeader', 2_000, 6_000)).group.promotions).toEqual(1);
  });

  it('move the lead from a leaving leader, once', () => {
    expect(runWith(createFault('leaveLeader', 2_000, 6_000)).group.promotions).toEqual(1);
  });

  // Guards against a needless change of the leader by a VM that is cut off itself.
  it('keep the leader while the store is down, and while a VM stands still', () => {
    const { group } = runWith(
      createFault('storeDown', 1_000, 4_000),
      createFault('freezeVm', 2_000, 3_000),
    );
    expect(group.promotions).toEqual(0);
  });

  // A VM that the store had turned away promoted over a leader that had joined in the meantime.
  it('promote nothing from a list of instances that is out of date', () => {
    const violations = [1, 2, 3, 4, 5, 6].map((seed) => {
      const cut = { ...createFault('cutVmFromStore', 1_800, 6_000), pick: seed };
      const faults = [cut, createFault('replaceLeader', 2_000, 5_000)];
      return new TakeoverSimulation({ seed, faults }).run();
    });
    expect(violations.filter(Boolean)).toEqual([]);
  });

  // An order to stop receiving came seconds late and left a replica behind for good.
  it('resume a replica that an order stopped late', () => {
    runWith(
      createFault('loseOrders', 1_500, 5_000),
      createFault('leaveLeader', 2_000, 4_000),
      createFault('cutLeaderFromVms', 2_500, 1_500),
    );
  });
});
