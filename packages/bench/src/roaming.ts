import { setTimeout as sleep } from 'node:timers/promises';
import type { CreateDeployment, Deployment } from './cluster.js';
import { PgClient } from './pgclient.js';
import type { Profile } from './profile.js';
import { createRandom, type Random } from './random.js';

const RUN_MS = 10_000;
/** Time of the run at which one proxy is drained under load. */
const DRAIN_AFTER_MS = 5_000;
const CALLERS_PER_GROUP = 6;
const THINK_MS = 10;
const APPLY_LAG_MS = 50;
const STATEMENT_COST_MS = 2;
const PAYMENT_ATTEMPTS = 20;
/** Share of payments whose caller drops its connection while the statement runs. */
const BREAK_SHARE = 0.3;
const ALREADY_RAN = 'SP004';
const UNIQUE_VIOLATION = '23505';

/** Figures of the scenario `roaming`. */
export interface RoamingResult {
  readonly moves: number;
  readonly payments: number;
  readonly readYourWritesViolations: number;
  readonly ranTwice: number;
  readonly cutInDrain: number;
}

/** Counts of all callers together. */
interface RoamingCounts {
  moves: number;
  payments: number;
  missed: number;
  cut: number;
}

/** A caller that moves between proxies, with what it shares with the others. */
interface RoamingCaller {
  readonly client: PgClient;
  readonly deployment: Deployment;
  readonly random: Random;
  readonly tally: RoamingCounts;
  readonly end: number;
  /** Index of the drained proxy, or -1. */
  readonly findDrained: () => number;
}

async function moveToRandomProxy(caller: RoamingCaller): Promise<void> {
  const { client, deployment, random, tally, findDrained } = caller;
  const live = deployment.daemons.map((_, index) => index).filter((i) => i !== findDrained());
  const target = live[random.nextInt(live.length)] ?? 0;
  if (target !== client.readProxyIndex()) tally.moves += 1;
  await client.connect(target).catch(() => undefined);
}

/** Runs a statement, counts it if the drained proxy gave no answer, and moves after a failure. */
async function runStatement(
  caller: RoamingCaller,
  text: string,
  values: readonly string[],
): ReturnType<PgClient['run']> {
  const { client, tally, findDrained } = caller;
  const outcome = await client.run(text, values);
  if (outcome.kind === 'lost' && client.readProxyIndex() === findDrained()) tally.cut += 1;
  if (outcome.kind !== 'done') await moveToRandomProxy(caller);
  return outcome;
}

/** Writes a row, moves to another proxy without a token, and checks that a read sees the write. */
async function writeAndRead(caller: RoamingCaller, version: number): Promise<void> {
  const { client, tally } = caller;
  const key = `own-${client.name}`;
  const insert = 'INSERT INTO items (key, value) VALUES ($1, $2)';
  const written = await runStatement(caller, insert, [key, String(version)]);
  await moveToRandomProxy(caller);
  const read = '/* shallotpick contract=availability */ SELECT value FROM items WHERE key = $1';
  const back = await runStatement(caller, read, [key]);
  if (written.kind !== 'done' || back.kind !== 'done') return;
  if (Number(back.rows[0]?.value ?? 0) < version) tally.missed += 1;
}

/** Sends a payment with an idempotency key; retries through other proxies until it is known to have run. */
async function pay(caller: RoamingCaller, key: string): Promise<void> {
  const { client, random, tally } = caller;
  const text = `/* shallotpick once=${key} */ UPDATE items SET value = value + 1 WHERE key = '${key}'`;
  tally.payments += 1;
  for (let attempt = 0; attempt < PAYMENT_ATTEMPTS; attempt++) {
    const isBroken = attempt === 0 && random.next() < BREAK_SHARE;
    const paying = client.run(text);
    if (isBroken) {
      await sleep(random.next() * 2 * STATEMENT_COST_MS);
      client.breakConnection();
      await paying;
      await moveToRandomProxy(caller);
      continue;
    }
    const outcome = await paying;
    if (outcome.kind === 'done') return;
    if (outcome.kind === 'error' && [ALREADY_RAN, UNIQUE_VIOLATION].includes(outcome.code)) return;
    if (outcome.kind === 'lost' && client.readProxyIndex() === caller.findDrained()) tally.cut += 1;
    await moveToRandomProxy(caller);
  }
}

async function runCaller(caller: RoamingCaller): Promise<void> {
  const { client, random, end } = caller;
  await moveToRandomProxy(caller);
  for (let version = 1; performance.now() < end; version++) {
    if (random.next() < 0.3) await pay(caller, `pay-${client.name}-${version}`);
    else await writeAndRead(caller, version);
    await sleep(random.next() * 2 * THINK_MS);
  }
  await client.close();
}

function countRanTwice(deployment: Deployment): number {
  return deployment.groups
    .flatMap((group) => group.findPrimary()?.storage.listRows('items') ?? [])
    .filter(([key, value]) => key.startsWith('pay-') && Number(value) > 1).length;
}

/** Measures sessions that move between proxies and retry payments while one proxy is drained. */
export async function measureRoaming(
  create: CreateDeployment,
  profile: Profile,
  seed: number,
): Promise<RoamingResult> {
  const deployment = await create({ profile, statementCostMs: STATEMENT_COST_MS });
  const random = createRandom(seed);
  const tally: RoamingCounts = { moves: 0, payments: 0, missed: 0, cut: 0 };
  const end = performance.now() + RUN_MS;
  let drained = -1;
  const callers = deployment.groups.flatMap((group, groupIndex) => {
    group.instances.forEach((instance) => instance.setApplyLag(APPLY_LAG_MS));
    return Array.from({ length: CALLERS_PER_GROUP }, (_, index): RoamingCaller => {
      const client = new PgClient(deployment, `guest-${groupIndex}-${index}`, group.options.name);
      return { client, deployment, random, tally, end, findDrained: () => drained };
    });
  });
  const drain = async (): Promise<void> => {
    await sleep(DRAIN_AFTER_MS);
    drained = deployment.daemons.length - 1;
    await deployment.daemons[drained]?.drain();
  };
  await Promise.all([...callers.map(runCaller), drain()]);
  const ranTwice = countRanTwice(deployment);
  await deployment.stop();
  const { moves, payments, missed, cut } = tally;
  return { moves, payments, readYourWritesViolations: missed, ranTwice, cutInDrain: cut };
}
