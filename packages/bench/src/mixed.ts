import { setTimeout as sleep } from 'node:timers/promises';
import { SocketClient } from './socketclient.js';
import type { CreateDeployment, Deployment } from './cluster.js';
import type { Profile } from './profile.js';
import { createRandom, type Random } from './random.js';
import { computeQuantile, formatNumber } from './stats.js';

const SHORT_COST_MS = 5;
const LONG_SECONDS = 0.5;
const WARM_UP_MS = 4_000;
const PHASE_MS = 7_000;
const SHORT_CALLERS = 12;
const SHORT_THINK_MS = 50;
const WRITE_SHARE = 0.1;
/** Each of these callers sends its next long statement as soon as one has ended. */
const LONG_CALLERS = 8;

/** Figures of the scenario `mixed`. */
export interface MixedResult {
  readonly shortP99Ms: number;
  readonly shortP99AloneMs: number;
  readonly longCompleted: number;
}

/** Long statements: one under a contract for long work, one whose length has to be learned. */
const LONG_TEXTS = [
  `/* shallotpick contract=report */ SELECT pg_sleep(${LONG_SECONDS})`,
  `/* shallotpick contract=availability */ SELECT pg_sleep(${LONG_SECONDS})`,
];

/** Runs short statements until `end` and returns their latencies. */
async function runShort(client: SocketClient, random: Random, end: number): Promise<number[]> {
  const latencies: number[] = [];
  while (performance.now() < end) {
    const key = `key-${random.nextInt(1_000)}`;
    const text =
      random.next() < WRITE_SHARE
        ? `INSERT INTO items (key, value) VALUES ('${key}', 'x')`
        : `/* shallotpick contract=availability */ SELECT value FROM items WHERE key = '${key}'`;
    latencies.push((await client.run(text)).tookMs);
    await sleep(random.next() * 2 * SHORT_THINK_MS);
  }
  return latencies;
}

/** Runs long statements until `end` and returns the number that succeeded. */
async function runLong(client: SocketClient, text: string, end: number): Promise<number> {
  let completed = 0;
  while (performance.now() < end) {
    if ((await client.run(text)).code === undefined) completed += 1;
    else await sleep(SHORT_THINK_MS);
  }
  return completed;
}

async function openClients(
  deployment: Deployment,
  database: string,
  kind: string,
  count: number,
): Promise<readonly SocketClient[]> {
  const { daemons } = deployment;
  return Promise.all(
    Array.from({ length: count }, (_, index) => {
      const port = daemons[index % daemons.length]?.readCallerPort() ?? 0;
      return SocketClient.open(port, `${kind}-${index}`, database);
    }),
  );
}

/** Measures the latency of short statements, alone and under a steady load of long ones. */
export async function measureMixed(
  create: CreateDeployment,
  profile: Profile,
  seed: number,
): Promise<MixedResult> {
  const [database = ''] = profile.groups;
  const deployment = await create({
    profile: { ...profile, groups: [database] },
    statementCostMs: SHORT_COST_MS,
  });
  const random = createRandom(seed);
  const short = await openClients(deployment, database, 'clerk', SHORT_CALLERS);
  const long = await openClients(deployment, database, 'office', LONG_CALLERS);
  const runShorts = async (durationMs: number): Promise<readonly number[]> => {
    const end = performance.now() + durationMs;
    return (await Promise.all(short.map((client) => runShort(client, random, end)))).flat();
  };
  await runShorts(WARM_UP_MS);
  const alone = await runShorts(PHASE_MS);
  const end = performance.now() + PHASE_MS;
  const longs = long.map((client, index) =>
    runLong(client, LONG_TEXTS[index % LONG_TEXTS.length] ?? '', end),
  );
  const latenciesBesideLong = await runShorts(PHASE_MS);
  const completed = await Promise.all(longs);
  [...short, ...long].forEach((client) => client.close());
  await deployment.stop();
  return {
    shortP99Ms: formatNumber(computeQuantile(latenciesBesideLong, 0.99)),
    shortP99AloneMs: formatNumber(computeQuantile(alone, 0.99)),
    longCompleted: completed.reduce((sum, count) => sum + count, 0),
  };
}
