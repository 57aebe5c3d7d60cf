import { parseArgs } from 'node:util';
import * as fc from 'fast-check';
import { TAKEOVER_SCENARIOS } from '../../src/takeover/invariants.js';
import {
  DEFAULT_TAKEOVER_RULES,
  type TakeoverRules,
  TakeoverSimulation,
} from '../../src/takeover/simulation.js';
import {
  OUTAGE_MUTANTS,
  PARTITION_MUTANTS,
  RESTART_MUTANTS,
  RESTORATION_MUTANTS,
  TAKEOVER_MUTANTS,
} from './takeover.js';

/** Name of a set of random scenarios. */
type SetName = keyof typeof TAKEOVER_SCENARIOS;

/** A run in which a broken version violates a guarantee. */
interface FoundRun {
  /** Number of runs up to this one. */
  readonly runs: number;
  readonly guarantee: string;
}

/** The broken versions by the set of scenarios in which they must be found. */
const MUTANTS_BY_SET: Readonly<Partial<Record<SetName, Readonly<Record<string, TakeoverRules>>>>> =
  {
    takeovers: TAKEOVER_MUTANTS,
    restorations: RESTORATION_MUTANTS,
    restarts: RESTART_MUTANTS,
    outages: OUTAGE_MUTANTS,
    partitions: PARTITION_MUTANTS,
  };

/**
 * Finds the first run of a seed in which the broken version violates a guarantee and the product's
 * version holds it, since a failure that both have shows nothing of the mutant.
 */
export function findRun(
  seed: number,
  runs: number,
  rules: TakeoverRules,
  set: SetName,
): FoundRun | undefined {
  const { scenarios, settings } = TAKEOVER_SCENARIOS[set];
  let guarantee: string | undefined;
  const property = fc.property(scenarios, (scenario) => {
    const violation = new TakeoverSimulation(scenario, rules, settings).run();
    if (!violation) return true;
    if (new TakeoverSimulation(scenario, DEFAULT_TAKEOVER_RULES, settings).run()) return true;
    guarantee = violation.guarantee;
    return false;
  });
  const details = fc.check(property, { seed, numRuns: runs, endOnFailure: true });
  if (!details.failed) return undefined;
  if (guarantee === undefined) throw details.errorInstance ?? new Error('a run threw an error');
  return { runs: details.numRuns, guarantee };
}

/** Reports on one mutant; false if no seed finds it. */
function reportMutant(
  [name, rules]: readonly [string, TakeoverRules],
  set: SetName,
  seeds: readonly number[],
  runs: number,
): boolean {
  const found = seeds.map((seed) => ({ seed, run: findRun(seed, runs, rules, set) }));
  const described = found.map(({ seed, run }) =>
    run
      ? `seed ${seed} after ${run.runs} runs ("${run.guarantee}")`
      : `seed ${seed} not in ${runs} runs`,
  );
  process.stdout.write(`${set}: ${name}: ${described.join(', ')}\n`);
  return found.some(({ run }) => run !== undefined);
}

function runCommand(): void {
  const { values } = parseArgs({
    options: {
      seed: { type: 'string', default: '1' },
      /** Number of consecutive seeds from the first one. */
      seeds: { type: 'string', default: '1' },
      runs: { type: 'string', default: '150' },
      /** Only the mutants of this set of scenarios. */
      set: { type: 'string' },
      /** Only the mutants whose description contains this text. */
      name: { type: 'string', default: '' },
    },
  });
  const [seed = 1, count = 1, runs = 0] = [values.seed, values.seeds, values.runs].map(Number);
  const seeds = Array.from({ length: count }, (_, index) => seed + index);
  const sets = Object.entries(MUTANTS_BY_SET).filter(
    ([set]) => values.set === undefined || set === values.set,
  );
  const results = sets.flatMap(([set, mutants]) =>
    Object.entries(mutants)
      .filter(([name]) => name.includes(values.name))
      .map((mutant) => reportMutant(mutant, set as SetName, seeds, runs)),
  );
  const missed = results.filter((isFound) => !isFound).length;
  process.stdout.write(`${results.length} mutants, ${missed} found by no seed\n`);
  if (results.length === 0 || missed > 0) process.exitCode = 1;
}

if (process.argv[1]?.endsWith('report.ts')) runCommand();
