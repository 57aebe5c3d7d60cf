import { expect } from 'earl';
import type { Fault, Scenario } from '../src/harness/scenario.js';
import { Simulation } from '../src/harness/simulation.js';
import { runInvariants } from '../src/invariants.js';
import { MUTANTS } from './mutants/index.js';

const SEED = 2;
const MAX_RUNS = 300;
const KEPT_RUNS = 40;

const createScenario = (seed: number, ...faults: readonly Fault[]): Scenario => ({
  seed,
  zones: 3,
  messageFaults: { lossRate: 0, duplicateRate: 0, lateRate: 0, delayFactor: 1 },
  faults,
});

describe('the invariants', () => {
  it('hold under random faults', () => {
    expect(runInvariants(SEED, KEPT_RUNS).failure).toEqual(undefined);
  });

  // Guards against runs that check nothing: each broken rule must be noticed.
  Object.entries(MUTANTS).forEach(([name, rules]) => {
    it(`are broken by a version that ${name}`, () => {
      expect(runInvariants(SEED, MAX_RUNS, rules).failure).not.toEqual(undefined);
    }).timeout(120_000);
  });

  // A primary in a zone cut off with its proxy was read without regard to the stated age.
  it('hold for stated-age reads in a zone that is cut off with the primary', () => {
    const cut: Fault = { kind: 'cutZones', at: 500, duration: 1_500, pick: 0, secondPick: 0 };
    const violations = [1, 3, 5, 7, 8].map((seed) =>
      new Simulation(createScenario(seed, cut)).run(),
    );
    expect(violations.filter(Boolean)).toEqual([]);
  });

  // Guards against a needless failover when one zone loses a primary that most zones reach.
  it('keep a primary that most zones reach', () => {
    const terms = [1, 2, 3].map((seed) => {
      const cut: Fault = { kind: 'cutZones', at: 1_200, duration: 1_500, pick: 1, secondPick: 0 };
      const simulation = new Simulation(createScenario(seed, cut));
      expect(simulation.run()).toEqual(undefined);
      return simulation.platform.record?.term;
    });
    expect(terms).toEqual([1, 1, 1]);
  });

  // Guards against a promotion without the platform, and one that never comes afterwards.
  it('promote nothing while the platform is down, and go on when it returns', () => {
    const down: Fault = {
      kind: 'platformDown',
      at: 1_000,
      duration: 1_500,
      pick: 0,
      secondPick: 0,
    };
    const crash: Fault = {
      kind: 'crashPrimary',
      at: 1_100,
      duration: 3_500,
      pick: 0,
      secondPick: 0,
    };
    const simulation = new Simulation(createScenario(1, down, crash));
    expect(simulation.run()).toEqual(undefined);
    const [, second] = simulation.checker.promotions;
    expect(second?.at ?? 0).toBeGreaterThan(2_500);
  });
});
