import * as fc from 'fast-check';
import type { TakeoverViolation } from './group.js';
import { restorationArbitrary, takeoverArbitrary, type TakeoverScenario } from './scenario.js';
import { DEFAULT_TAKEOVER_RULES, type TakeoverRules, TakeoverSimulation } from './simulation.js';

/** Summary of the runs of the takeover simulation. */
export interface TakeoverReport {
  readonly runs: number;
  readonly acknowledged: number;
  readonly promotions: number;
  /** Undefined if every guarantee held. */
  readonly failure:
    { readonly scenario: TakeoverScenario; readonly violation: TakeoverViolation } | undefined;
}

/** Random scenarios, by the name that the command line gives them. */
export const TAKEOVER_SCENARIOS = {
  takeovers: takeoverArbitrary,
  restorations: restorationArbitrary,
} as const;

/** Runs random takeover scenarios until one violates a guarantee. */
export function runTakeovers(
  seed: number,
  runs: number,
  rules: TakeoverRules = DEFAULT_TAKEOVER_RULES,
  scenarios: keyof typeof TAKEOVER_SCENARIOS = 'takeovers',
): TakeoverReport {
  let acknowledged = 0;
  let promotions = 0;
  let failure: TakeoverReport['failure'];
  const property = fc.property(TAKEOVER_SCENARIOS[scenarios], (scenario) => {
    const simulation = new TakeoverSimulation(scenario, rules);
    const violation = simulation.run();
    acknowledged += simulation.group.acknowledged.length;
    promotions += simulation.group.promotions;
    if (violation) failure = { scenario, violation };
    return violation === undefined;
  });
  const details = fc.check(property, { seed, numRuns: runs, endOnFailure: true });
  if (details.failed && !failure) throw details.errorInstance ?? new Error('a run threw an error');
  return { runs: details.numRuns, acknowledged, promotions, failure };
}
