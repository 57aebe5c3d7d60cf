import { createCluster, type CreateDeployment } from './cluster.js';
import { PgClient } from './pgclient.js';
import { createNaiveDeployment } from './naive.js';
import { type Profile, PROFILES } from './profile.js';
import { computeQuantile, formatNumber } from './stats.js';

const WRITES_PER_CALLER = 300;
const WARM_UP = 30;
const CALLERS = [1, 8];

async function measureWrites(
  create: CreateDeployment,
  profile: Profile,
  callers: number,
): Promise<readonly number[]> {
  const deployment = await create({ profile, statementCostMs: 0 });
  const [group] = profile.groups;
  const runCaller = async (index: number): Promise<readonly number[]> => {
    const client = new PgClient(deployment, `guest-${index}`, group ?? '');
    await client.connect(index % deployment.daemons.length);
    const times: number[] = [];
    for (let write = 0; write < WRITES_PER_CALLER + WARM_UP; write++) {
      const startedAt = performance.now();
      const key = `${index}-${write}`;
      const { kind } = await client.run('INSERT INTO items (key, value) VALUES ($1, $2)', [
        key,
        '',
      ]);
      if (kind !== 'done') throw new Error(`a write ended with the outcome ${kind}`);
      if (write >= WARM_UP) times.push(performance.now() - startedAt);
    }
    await client.close();
    return times;
  };
  const times = await Promise.all(Array.from({ length: callers }, (_, index) => runCaller(index)));
  await deployment.stop();
  return times.flat();
}

/** Compares the latency of writes acknowledged by a majority with those of the primary alone. */
async function run(): Promise<void> {
  for (const profile of Object.values(PROFILES)) {
    for (const callers of CALLERS) {
      const majority = await measureWrites(createCluster, profile, callers);
      const alone = await measureWrites(createNaiveDeployment, profile, callers);
      const format = (times: readonly number[]): string =>
        [0.5, 0.99].map((share) => formatNumber(computeQuantile(times, share), 2)).join(' / ');
      process.stdout.write(
        `${profile.name}, ${callers} callers, p50 / p99 ms: majority ${format(majority)}, primary alone ${format(alone)}\n`,
      );
    }
  }
}

await run();
