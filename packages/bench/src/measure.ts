import { readFile, writeFile } from 'node:fs/promises';
import { parseArgs } from 'node:util';
import { z } from 'zod';
import { createCluster, type CreateDeployment } from './cluster.js';
import { measureFailover } from './failover.js';
import { measureOverload } from './overload.js';
import { measureMixed } from './mixed.js';
import { createNaiveDeployment } from './naive.js';
import { type Profile, PROFILES } from './profile.js';
import { measureReads } from './reads.js';
import { createReport } from './report.js';
import { measureRoaming } from './roaming.js';

/** Runs a scenario on one version of the proxy. */
type Measure = (create: CreateDeployment, profile: Profile, seed: number) => Promise<object>;

/** Each cause once per group; with both proxies the scenario takes about a minute. */
const FAILOVER_ROUNDS = 3;

const SCENARIOS: Readonly<Record<string, Measure>> = {
  failover: (create, profile, seed) => measureFailover(profile, seed, create, FAILOVER_ROUNDS),
  reads: measureReads,
  roaming: measureRoaming,
  crest: measureOverload,
  mixed: measureMixed,
};

const EXIT_BAD_OPTION = 2;

const optionsSchema = z.object({
  profile: z.enum(['walks', 'water-board']),
  scenario: z.enum(Object.keys(SCENARIOS) as [string, ...string[]]),
  seed: z.coerce.number().int().default(1),
  json: z.boolean().default(false),
  html: z.string().optional(),
  against: z.string().optional(),
});

/** Result of a scenario that both proxies ran with the same offered work. */
export interface Measurement {
  readonly profile: string;
  readonly scenario: string;
  readonly seed: number;
  readonly shallotpick: Readonly<Record<string, number>>;
  readonly naive: Readonly<Record<string, number>>;
}

function readOptions(): z.infer<typeof optionsSchema> | undefined {
  const { values } = parseArgs({
    options: {
      profile: { type: 'string' },
      scenario: { type: 'string' },
      seed: { type: 'string' },
      json: { type: 'boolean' },
      html: { type: 'string' },
      against: { type: 'string' },
    },
  });
  const parsed = optionsSchema.safeParse(values);
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map(
    ({ path, message }) => `--${path.join('.')}: ${message}`,
  );
  process.stderr.write(`${problems.join('\n')}\n`);
  process.exitCode = EXIT_BAD_OPTION;
  return undefined;
}

async function run(): Promise<void> {
  const options = readOptions();
  const measure = options && SCENARIOS[options.scenario];
  if (!options || !measure) return;
  const { scenario, seed } = options;
  const profile = PROFILES[options.profile];
  const shallotpick = await measure(createCluster, profile, seed);
  const naive = await measure(createNaiveDeployment, profile, seed);
  const measurement = { profile: profile.name, scenario, seed, shallotpick, naive } as Measurement;
  if (options.html) {
    const against = options.against
      ? (JSON.parse(await readFile(options.against, 'utf8')) as Measurement)
      : undefined;
    await writeFile(options.html, await createReport(measurement, against));
  }
  const indent = options.json ? 0 : 2;
  process.stdout.write(`${JSON.stringify(measurement, undefined, indent)}\n`);
}

await run();
