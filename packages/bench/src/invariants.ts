import { parseArgs } from 'node:util';
import * as fc from 'fast-check';
import type { Violation } from './harness/checker.js';
import { DEFAULT_RULES, type SimulationRules } from './harness/rules.js';
import {
  dataLossArbitrary,
  lossAndRestorationArbitrary,
  restorationArbitrary,
  type Scenario,
  scenarioArbitrary,
} from './harness/scenario.js';
import { Simulation } from './harness/simulation.js';
import { type SeedReport, SeedSummary } from './seedsummary.js';
import type { TakeoverViolation } from './takeover/group.js';
import {
  runTakeovers,
  type TAKEOVER_SCENARIOS,
  type TakeoverReport,
} from './takeover/invariants.js';
import { DEFAULT_TAKEOVER_RULES } from './takeover/simulation.js';

const SHRINK_LIMIT_MS = 30_000;

/** Summary of the runs of the failover simulation. */
export interface InvariantReport {
  readonly seed: number;
  readonly runs: number;
  readonly acknowledged: number;
  readonly promotions: number;
  /** Undefined if every guarantee held. */
  readonly failure: { readonly scenario: Scenario; readonly violation: Violation } | undefined;
}

const isKept = (scenario: Scenario, rules: SimulationRules): boolean =>
  new Simulation(scenario, rules).run() === undefined;

/** Shrinks a failed scenario for a limited time; undefined if no failure was found again. */
function findSmaller(
  failed: fc.RunDetails<[Scenario]>,
  rules: SimulationRules,
  scenarios: fc.Arbitrary<Scenario>,
): Scenario | undefined {
  const property = fc.property(scenarios, (scenario) => isKept(scenario, rules));
  const details = fc.check(property, {
    seed: failed.seed,
    path: failed.counterexamplePath ?? '',
    interruptAfterTimeLimit: SHRINK_LIMIT_MS,
  });
  return details.counterexample?.[0];
}

/**
 * Runs random scenarios until one violates a guarantee.
 *
 * @param shrinks whether to look for a smaller scenario that fails as well
 */
export function runInvariants(
  seed: number,
  runs: number,
  rules: SimulationRules = DEFAULT_RULES,
  shrinks = false,
  scenarios = scenarioArbitrary,
): InvariantReport {
  let acknowledged = 0;
  let promotions = 0;
  const property = fc.property(scenarios, (scenario) => {
    const simulation = new Simulation(scenario, rules);
    const violation = simulation.run();
    acknowledged += simulation.checker.acknowledged.length;
    promotions += simulation.checker.promotions.length - 1;
    return violation === undefined;
  });
  const details = fc.check(property, { seed, numRuns: runs, endOnFailure: true });
  const smaller = details.failed && shrinks ? findSmaller(details, rules, scenarios) : undefined;
  const scenario = smaller ?? details.counterexample?.[0];
  const violation = scenario && new Simulation(scenario, rules).run();
  const failure = scenario && violation ? { scenario, violation } : undefined;
  if (details.failed && !failure) {
    throw (
      details.errorInstance ??
      new Error('the failed scenario passed when it ran again: runs must be deterministic')
    );
  }
  return { seed, runs: details.numRuns, acknowledged, promotions, failure };
}

/** Share of the runs for takeovers, since each covers tens of virtual seconds. */
const TAKEOVER_PART = 0.25;

function reportViolation(
  seed: number,
  runs: number,
  { scenario, violation }: { readonly scenario: unknown; readonly violation: TakeoverViolation },
): void {
  const { guarantee, at, detail } = violation;
  process.stdout.write(
    `seed ${seed}: violated after ${runs} runs: ${guarantee}\n` +
      `at ${Math.round(at)} ms: ${detail}\n` +
      `counterexample: ${JSON.stringify(scenario)}\n`,
  );
}

/** Reports how many runs lost entries in a way that violates no guarantee. */
function reportExceptions(report: TakeoverReport): void {
  const { unrecoverableRuns, lostInPromotionRuns, unconfirmedRuns } = report;
  if (unrecoverableRuns + lostInPromotionRuns + unconfirmedRuns === 0) return;
  process.stdout.write(
    `not counted as violations: acknowledged entries on no log any more when the order was given in ${unrecoverableRuns} runs, lost by an instance while it was promoted, too late for any VM to outdate the order, in ${lostInPromotionRuns} runs, lost with an unknown outcome for the caller in ${unconfirmedRuns} runs\n`,
  );
}

function checkTakeovers(
  seed: number,
  runs: number,
  scenarios: keyof typeof TAKEOVER_SCENARIOS,
): SeedReport {
  const report = runTakeovers(seed, runs, DEFAULT_TAKEOVER_RULES, scenarios);
  if (report.failure) {
    reportViolation(seed, report.runs, report.failure);
    return report;
  }
  process.stdout.write(
    `seed ${seed}: ${report.runs} runs of ${scenarios}, ${report.acknowledged} acknowledged writes, ${report.promotions} promotions, no violation\n`,
  );
  reportExceptions(report);
  return report;
}

function checkFailovers(
  seed: number,
  maxRuns: number,
  shrinks: boolean,
  scenarios: fc.Arbitrary<Scenario>,
): SeedReport {
  const report = runInvariants(seed, maxRuns, DEFAULT_RULES, shrinks, scenarios);
  const { runs, acknowledged, promotions, failure } = report;
  if (failure) {
    reportViolation(seed, runs, failure);
  } else {
    process.stdout.write(
      `seed ${seed}: ${runs} runs, ${acknowledged} acknowledged writes, ${promotions} promotions, no violation\n`,
    );
  }
  return report;
}

/** Which random scenarios are run. */
interface ScenarioOptions {
  readonly restorations: boolean;
  readonly restarts: boolean;
  readonly outages: boolean;
  readonly partitions: boolean;
  readonly claims: boolean;
  readonly 'data-losses': boolean;
}

/** Runs the scenarios of one seed, and reports on each kind. */
function checkSeed(
  seed: number,
  runs: number,
  shrinks: boolean,
  options: ScenarioOptions,
): readonly SeedReport[] {
  if (options.outages) return [checkTakeovers(seed, runs, 'outages')];
  if (options.claims) return [checkTakeovers(seed, runs, 'claims')];
  if (options.partitions) return [checkTakeovers(seed, runs, 'partitions')];
  if (options.restarts) return [checkTakeovers(seed, runs, 'restarts')];
  const withDataLosses = options['data-losses'];
  const faults = options.restorations ? restorationArbitrary : scenarioArbitrary;
  const losses = options.restorations ? lossAndRestorationArbitrary : dataLossArbitrary;
  const failovers = checkFailovers(seed, runs, shrinks, withDataLosses ? losses : faults);
  if (withDataLosses) return [failovers];
  if (options.restorations) return [failovers, checkTakeovers(seed, runs, 'restorations')];
  return [failovers, checkTakeovers(seed, Math.ceil(runs * TAKEOVER_PART), 'takeovers')];
}

function runCommand(): void {
  const { values } = parseArgs({
    options: {
      seed: { type: 'string', default: '1' },
      /** Number of consecutive seeds from the first one; with several, the last line sums up. */
      seeds: { type: 'string', default: '1' },
      runs: { type: 'string', default: '200' },
      /** Lets the platform's store come back from older copies. */
      restorations: { type: 'boolean', default: false },
      /** Lets instances start again without their log or under another id; takeovers only. */
      restarts: { type: 'boolean', default: false },
      /** The same with outages of several instances, of all VMs, and of candidates; takeovers only. */
      outages: { type: 'boolean', default: false },
      /** Lets VMs differ in what they reach while instances start again; takeovers only. */
      partitions: { type: 'boolean', default: false },
      /** Lets VMs learn of their claims late, and orders to promote take effect late; takeovers only. */
      claims: { type: 'boolean', default: false },
      /** Lets instances lose their data and come back empty under their ids. */
      'data-losses': { type: 'boolean', default: false },
    },
  });
  const [firstSeed, seeds, maxRuns] = [values.seed, values.seeds, values.runs].map(Number);
  if (firstSeed === undefined || maxRuns === undefined || seeds === undefined || !(seeds >= 1)) {
    throw new Error('--seed, --seeds and --runs need numbers, and at least one seed');
  }
  const summary = new SeedSummary();
  for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) {
    checkSeed(seed, maxRuns, seeds === 1, values).forEach((report) => summary.add(seed, report));
  }
  if (seeds > 1) process.stdout.write(`${summary.describe()}\n`);
  if (summary.hasViolation()) process.exitCode = 1;
}

if (process.argv[1]?.endsWith('invariants.ts')) runCommand();
