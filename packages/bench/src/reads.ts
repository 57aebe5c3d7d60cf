import { setTimeout as sleep } from 'node:timers/promises';
import type { CreateDeployment, Deployment } from './cluster.js';
import { PgClient } from './pgclient.js';
import type { Profile } from './profile.js';
import { createRandom, type Random } from './random.js';
import { formatNumber } from './stats.js';

const RUN_MS = 10_000;
const READERS_PER_GROUP = 6;
const THINK_MS = 20;
const WRITE_EVERY_MS = 50;
const APPLY_LAG_MS = 20;
const STATEMENT_COST_MS = 2;
/** Maximum age of the contract `availability`; see createFirstNote. */
const MAX_AGE_MS = 2_000;

/** Figures of the scenario `reads`. */
export interface ReadsResult {
  readonly reads: number;
  readonly replicaReadShare: number;
  readonly staleReads: number;
  readonly readYourWritesViolations: number;
}

/** Reads so far, those older than the maximum age, and those that missed an own write. */
interface ReadCounts {
  reads: number;
  stale: number;
  missed: number;
}

/** Acknowledged versions of a row with the time of each acknowledgement. */
class AcknowledgedVersions {
  private readonly acknowledged: { readonly version: number; readonly at: number }[] = [];

  add(version: number): void {
    this.acknowledged.push({ version, at: performance.now() });
  }

  /** Returns the newest version that was acknowledged by the time `at`. */
  findVersion(at: number): number {
    return this.acknowledged.findLast((one) => one.at <= at)?.version ?? 0;
  }
}

const readVersion = (rows: readonly Readonly<Record<string, string>>[]): number =>
  Number(rows[0]?.value ?? 0);

async function runWriter(
  client: PgClient,
  key: string,
  history: AcknowledgedVersions,
  end: number,
): Promise<void> {
  for (let version = 1; performance.now() < end; version++) {
    const text = 'INSERT INTO items (key, value) VALUES ($1, $2)';
    const outcome = await client.run(text, [key, String(version)]);
    if (outcome.kind === 'done') history.add(version);
    await sleep(WRITE_EVERY_MS);
  }
}

/** What a reader works with. */
interface ReaderOptions {
  readonly client: PgClient;
  readonly shared: string;
  readonly history: AcknowledgedVersions;
  readonly end: number;
  readonly tally: ReadCounts;
  readonly random: Random;
}

/** Reads the shared key under a maximum age; about one time in ten writes and reads its own key. */
async function runReader(options: ReaderOptions): Promise<void> {
  const { client, shared, history, end, tally, random } = options;
  const own = `own-${client.name}`;
  const read = '/* shallotpick contract=availability */ SELECT value FROM items WHERE key = $1';
  for (let version = 1; performance.now() < end; version++) {
    const isOwn = random.next() < 0.1;
    const startedAt = performance.now();
    if (isOwn) {
      const text = 'INSERT INTO items (key, value) VALUES ($1, $2)';
      const written = await client.run(text, [own, String(version)]);
      const back = await client.run(read, [own]);
      const isMissed = back.kind === 'done' && readVersion(back.rows) < version;
      if (written.kind === 'done' && isMissed) tally.missed += 1;
      tally.reads += 1;
    } else {
      const outcome = await client.run(read, [shared]);
      const expected = history.findVersion(startedAt - MAX_AGE_MS);
      if (outcome.kind === 'done' && readVersion(outcome.rows) < expected) tally.stale += 1;
      tally.reads += 1;
    }
    await sleep(random.next() * 2 * THINK_MS);
  }
}

function countReplicaReads(deployment: Deployment): number {
  return deployment.groups
    .flatMap(({ instances }) => instances)
    .filter(({ role }) => role === 'replica')
    .reduce((sum, { statementCounts: served }) => sum + served.reads, 0);
}

/** Measures the share of reads served by replicas and counts reads that were too old. */
export async function measureReads(
  create: CreateDeployment,
  profile: Profile,
  seed: number,
): Promise<ReadsResult> {
  const deployment = await create({ profile, statementCostMs: STATEMENT_COST_MS });
  const random = createRandom(seed);
  const tally: ReadCounts = { reads: 0, stale: 0, missed: 0 };
  const end = performance.now() + RUN_MS;
  const runs = deployment.groups.flatMap((group, groupIndex) => {
    const { name } = group.options;
    group.instances.forEach((instance) => instance.setApplyLag(APPLY_LAG_MS));
    const history = new AcknowledgedVersions();
    const clients = Array.from(
      { length: READERS_PER_GROUP + 1 },
      (_, index) => new PgClient(deployment, `guest-${groupIndex}-${index}`, name),
    );
    return clients.map(async (client, index) => {
      await client.connect((groupIndex + index) % deployment.daemons.length);
      if (index === 0) await runWriter(client, 'shared', history, end);
      else await runReader({ client, shared: 'shared', history, end, tally, random });
      await client.close();
    });
  });
  await Promise.all(runs);
  const replicaReads = countReplicaReads(deployment);
  await deployment.stop();
  return {
    reads: tally.reads,
    replicaReadShare: formatNumber(replicaReads / Math.max(1, tally.reads)),
    staleReads: tally.stale,
    readYourWritesViolations: tally.missed,
  };
}
