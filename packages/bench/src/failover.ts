import { setTimeout as sleep } from 'node:timers/promises';
import type { StandinGroup, StandinInstance } from '@shallotpick/standin';
import { createCluster, type CreateDeployment, type Deployment } from './cluster.js';
import { PgClient } from './pgclient.js';
import type { Profile } from './profile.js';
import { createRandom } from './random.js';
import { computeQuantile } from './stats.js';

/** Number of losses of each group's primary; the groups run in parallel, each cause equally often. */
const ROUNDS = 12;
const CAUSES = ['crash', 'cutOff', 'pause'] as const;
const STATEMENT_COST_MS = 1;
/** Pause between two writes of a caller. */
const WRITE_PAUSE_MS = 4;
/** Longer than the cooldown after a promotion, in which a primary is not replaced. */
const SETTLE_MS = 1_300;
const ANSWER_TIMEOUT_MS = 10_000;
/** Time for which a healthy primary is unreachable from one zone. */
const ZONE_CUT_MS = 300;
const WRITE = 'INSERT INTO items (key, value) VALUES ($1, $2)';

/** Figures of the scenario `failover`. */
export interface FailoverResult {
  readonly gapMsMedian: number;
  readonly gapMsMax: number;
  readonly failovers: number;
  readonly acknowledgedLost: number;
  readonly acknowledgedByReplaced: number;
  readonly needlessFailovers: number;
}

/** An acknowledged write. */
interface Acknowledged {
  readonly key: string;
  readonly startedAt: number;
  readonly endedAt: number;
}

/** A caller that writes rows one after another through one proxy. */
class Writer {
  readonly acknowledged: Acknowledged[] = [];

  acknowledgedByReplaced = 0;

  private stopped = false;

  private running: Promise<void> = Promise.resolve();

  constructor(
    private readonly client: PgClient,
    private readonly proxy: number,
    private readonly group: StandinGroup,
  ) {}

  start(): void {
    this.running = this.run();
  }

  async stop(): Promise<void> {
    this.stopped = true;
    const timer = setTimeout(() => {
      // A write without an answer would otherwise block the whole measurement.
      process.stderr.write(`${this.client.name}: no answer for ${ANSWER_TIMEOUT_MS} ms\n`);
      this.client.breakConnection();
    }, ANSWER_TIMEOUT_MS);
    await this.running;
    clearTimeout(timer);
    await this.client.close();
  }

  /** Returns when the first write that started at or after `time` was acknowledged. */
  findFirstAcknowledgement(time: number): number | undefined {
    const from = this.acknowledged.findLastIndex(({ startedAt }) => startedAt < time) + 1;
    return this.acknowledged[from]?.endedAt;
  }

  /** Counts a write acknowledged by a replaced primary and logs each instance's state for analysis. */
  private recordAcknowledgedByReplaced(key: string): void {
    this.acknowledgedByReplaced += 1;
    const instances = this.group.instances.map((one) => ({
      id: one.options.id,
      role: one.role,
      isUp: one.isUp(),
      fenceTerm: one.fenceTerm,
      durable: one.storage.readDurable(),
      holds: one.storage.findRow('items', key) !== undefined,
    }));
    process.stderr.write(`${JSON.stringify({ acknowledged: key, instances })}\n`);
  }

  private async run(): Promise<void> {
    for (let index = 0; !this.stopped; index++) {
      if (this.client.readProxyIndex() < 0) await this.client.connect(this.proxy);
      const key = `${this.client.name}-${index}`;
      const startedAt = performance.now();
      const outcome = await this.client.run(WRITE, [key, 'paid']);
      if (outcome.kind === 'done') {
        this.acknowledged.push({ key, startedAt, endedAt: performance.now() });
        // When a write is acknowledged, the primary of the highest term must hold it.
        const isHeld = this.group.findPrimary()?.storage.findRow('items', key) !== undefined;
        if (!isHeld) this.recordAcknowledgedByReplaced(key);
      }
      if (outcome.kind === 'lost') await this.client.close();
      await sleep(WRITE_PAUSE_MS);
    }
  }
}

function isolateInstance(
  group: StandinGroup,
  lost: StandinInstance,
  zones: readonly string[],
): void {
  zones.filter((zone) => zone !== lost.options.zone).forEach((zone) => lost.blockZone(zone));
  group.instances
    .filter((instance) => instance !== lost)
    .forEach((other) => group.cutReplication(lost.options.id, other.options.id));
}

async function injectFault(
  group: StandinGroup,
  lost: StandinInstance,
  cause: (typeof CAUSES)[number],
  zones: readonly string[],
): Promise<void> {
  if (cause === 'crash') await lost.stop();
  else if (cause === 'pause') lost.pause();
  else isolateInstance(group, lost, zones);
}

async function repair(group: StandinGroup, lost: StandinInstance): Promise<void> {
  lost.unblockZones();
  group.restoreReplication();
  lost.resume();
  if (!lost.isUp()) await lost.start();
}

const readTerm = (group: StandinGroup): number => group.findPrimary()?.fenceTerm ?? 0;

async function waitForPrimary(group: StandinGroup): Promise<StandinInstance> {
  for (let primary = group.findPrimary(); ; primary = group.findPrimary()) {
    if (primary) return primary;
    await sleep(1);
  }
}

/** Makes a healthy primary unreachable from one zone; returns 1 if it was replaced, else 0. */
async function countNeedlessFailovers(
  group: StandinGroup,
  zones: readonly string[],
): Promise<number> {
  const primary = group.findPrimary();
  const zone = zones.find((other) => other !== primary?.options.zone) ?? '';
  const term = readTerm(group);
  primary?.blockZone(zone);
  await sleep(ZONE_CUT_MS);
  primary?.unblockZones();
  return readTerm(group) === term ? 0 : 1;
}

/** Runs the rounds of one group with a writer per proxy. */
class GroupRun {
  readonly gaps: { readonly cause: string; readonly gapMs: number }[] = [];

  needlessFailovers = 0;

  /** Term of the primary at the end of the last round. */
  private settledTerm = 0;

  private readonly writers: readonly Writer[];

  constructor(
    deployment: Deployment,
    private readonly group: StandinGroup,
    private readonly zones: readonly string[],
    seed: number,
  ) {
    const { name } = group.options;
    this.writers = deployment.daemons.map((_, proxy) => {
      const client = new PgClient(deployment, `guest-${seed}-${proxy}`, name);
      return new Writer(client, proxy, group);
    });
  }

  async run(first: number, rounds: number, random: () => number): Promise<void> {
    this.writers.forEach((writer) => writer.start());
    for (let round = 0; round < rounds; round++) {
      await sleep(SETTLE_MS + random() * 50);
      await this.runRound(CAUSES[(first + round) % CAUSES.length] ?? 'crash');
    }
    await sleep(SETTLE_MS);
    this.needlessFailovers += await countNeedlessFailovers(this.group, this.zones);
    await Promise.all(this.writers.map((writer) => writer.stop()));
  }

  /** Counts the acknowledged writes that the last primary does not hold. */
  countLost(): number {
    const store = this.group.findPrimary()?.storage;
    return this.writers
      .flatMap(({ acknowledged }) => acknowledged)
      .filter(({ key }) => store?.findRow('items', key) === undefined).length;
  }

  countAcknowledgedByReplaced(): number {
    return this.writers.reduce(
      (sum, { acknowledgedByReplaced: byReplaced }) => sum + byReplaced,
      0,
    );
  }

  private async runRound(cause: (typeof CAUSES)[number]): Promise<void> {
    const { group, zones, writers } = this;
    const lost = await waitForPrimary(group);
    const term = readTerm(group);
    // The primary was replaced since the last round although it was healthy.
    if (this.settledTerm > 0 && term !== this.settledTerm) this.needlessFailovers += 1;
    const lostAt = performance.now();
    await injectFault(group, lost, cause, zones);
    const listGaps = (): readonly (number | undefined)[] =>
      writers.map((writer) => writer.findFirstAcknowledgement(lostAt));
    while (listGaps().includes(undefined) && performance.now() - lostAt < ANSWER_TIMEOUT_MS) {
      await sleep(1);
    }
    const last = Math.max(...listGaps().map((at) => at ?? performance.now()));
    this.gaps.push({ cause, gapMs: last - lostAt });
    const newPrimaries = group.instances.filter(
      ({ role, fenceTerm }) => role === 'primary' && fenceTerm > term,
    ).length;
    this.needlessFailovers += Math.max(0, newPrimaries - 1);
    this.settledTerm = readTerm(group);
    await repair(group, lost);
  }
}

/** Runs the failovers and returns each group's run, with the write gaps by cause. */
export async function runFailovers(
  profile: Profile,
  seed: number,
  create: CreateDeployment = createCluster,
  rounds: number = ROUNDS,
): Promise<readonly GroupRun[]> {
  const deployment = await create({
    profile,
    statementCostMs: STATEMENT_COST_MS,
  });
  const random = createRandom(seed);
  const runs = deployment.groups.map(
    (group) => new GroupRun(deployment, group, profile.zones, seed),
  );
  try {
    await Promise.all(runs.map((run, index) => run.run(index, rounds, () => random.next())));
    return runs;
  } finally {
    await deployment.stop();
  }
}

/**
 * Measures the time from the loss of a primary until writes through every proxy succeed again, for
 * crashed, isolated and paused primaries.
 */
export async function measureFailover(
  profile: Profile,
  seed: number,
  create: CreateDeployment = createCluster,
  rounds: number = ROUNDS,
): Promise<FailoverResult> {
  const runs = await runFailovers(profile, seed, create, rounds);
  const gaps = runs.flatMap((run) => run.gaps.map(({ gapMs }) => gapMs));
  const sum = (count: (run: GroupRun) => number): number =>
    runs.reduce((total, run) => total + count(run), 0);
  return {
    gapMsMedian: Math.round(computeQuantile(gaps, 0.5)),
    gapMsMax: Math.round(Math.max(...gaps)),
    failovers: gaps.length,
    acknowledgedLost: sum((run) => run.countLost()),
    acknowledgedByReplaced: sum((run) => run.countAcknowledgedByReplaced()),
    needlessFailovers: sum((run) => run.needlessFailovers),
  };
}
