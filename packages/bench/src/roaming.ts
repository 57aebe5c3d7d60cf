import { setTimeout as sleep } from 'node:timers/promises';
import type { CreateDeployment, Deployment } from './cluster.js';
import { PgClient } from './pgclient.js';
import type { Profile } from './profile.js';
import { createRandom, type Random } from './random.js';

const RUN_MS = 10_000;
/** When one proxy is drained under load. */
const DRAIN_AFTER_MS = 5_000;
const GUESTS_PER_GROUP = 6;
const THINK_MS = 10;
const APPLY_LAG_MS = 50;
const STATEMENT_COST_MS = 2;
const PAYMENT_ATTEMPTS = 20;
/** Share of payments whose caller loses its connection while the work runs. */
const BREAK_SHARE = 0.3;
const ALREADY_RAN = 'SP004';
const UNIQUE_VIOLATION = '23505';

export interface RoamingResult {
  readonly moves: number;
  readonly payments: number;
  readonly readYourWritesViolations: number;
  readonly ranTwice: number;
  readonly cutInDrain: number;
}

interface Tally {
  moves: number;
  payments: number;
  missed: number;
  cut: number;
}

interface Visit {
  readonly guest: PgClient;
  readonly deployment: Deployment;
  readonly random: Random;
  readonly tally: Tally;
  readonly end: number;
  /** Proxy that is being drained, if any. */
  readonly findDrained: () => number;
}

async function move(visit: Visit): Promise<void> {
  const { guest, deployment, random, tally, findDrained } = visit;
  const live = deployment.daemons.map((_, index) => index).filter((i) => i !== findDrained());
  const target = live[random.nextInt(live.length)] ?? 0;
  if (target !== guest.readProxyIndex()) tally.moves += 1;
  await guest.connect(target).catch(() => undefined);
}

/** Counts a request that the drained proxy left without any verdict. */
async function run(
  visit: Visit,
  text: string,
  values: readonly string[],
): ReturnType<PgClient['run']> {
  const { guest, tally, findDrained } = visit;
  const outcome = await guest.run(text, values);
  if (outcome.kind === 'cut' && guest.readProxyIndex() === findDrained()) tally.cut += 1;
  if (outcome.kind !== 'done') await move(visit);
  return outcome;
}

/** Writes, moves, and reads through another proxy without any token. */
async function writeAndRead(visit: Visit, version: number): Promise<void> {
  const { guest, tally } = visit;
  const key = `own-${guest.name}`;
  const insert = 'INSERT INTO items (key, value) VALUES ($1, $2)';
  const written = await run(visit, insert, [key, String(version)]);
  await move(visit);
  const read = '/* shallotpick contract=availability */ SELECT value FROM items WHERE key = $1';
  const back = await run(visit, read, [key]);
  if (written.kind !== 'done' || back.kind !== 'done') return;
  if (Number(back.rows[0]?.value ?? 0) < version) tally.missed += 1;
}

/** Pays once, repeating through other proxies until a verdict says that the payment ran. */
async function pay(visit: Visit, key: string): Promise<void> {
  const { guest, random, tally } = visit;
  const text = `/* shallotpick once=${key} */ UPDATE items SET value = value + 1 WHERE key = '${key}'`;
  tally.payments += 1;
  for (let attempt = 0; attempt < PAYMENT_ATTEMPTS; attempt++) {
    const isBroken = attempt === 0 && random.next() < BREAK_SHARE;
    const paying = guest.run(text);
    if (isBroken) {
      await sleep(random.next() * 2 * STATEMENT_COST_MS);
      guest.breakConnection();
      await paying;
      await move(visit);
      continue;
    }
    const outcome = await paying;
    if (outcome.kind === 'done') return;
    if (outcome.kind === 'error' && [ALREADY_RAN, UNIQUE_VIOLATION].includes(outcome.code)) return;
    if (outcome.kind === 'cut' && guest.readProxyIndex() === visit.findDrained()) tally.cut += 1;
    await move(visit);
  }
}

async function runGuest(visit: Visit): Promise<void> {
  const { guest, random, end } = visit;
  await move(visit);
  for (let version = 1; performance.now() < end; version++) {
    if (random.next() < 0.3) await pay(visit, `pay-${guest.name}-${version}`);
    else await writeAndRead(visit, version);
    await sleep(random.next() * 2 * THINK_MS);
  }
  await guest.close();
}

function countRanTwice(deployment: Deployment): number {
  return deployment.groups
    .flatMap((group) => group.findPrimary()?.storage.listRows('items') ?? [])
    .filter(([key, value]) => key.startsWith('pay-') && Number(value) > 1).length;
}

/** Moves sessions between proxies, repeats payments through others, and drains one proxy. */
export async function measureRoaming(
  create: CreateDeployment,
  profile: Profile,
  seed: number,
): Promise<RoamingResult> {
  const deployment = await create({ profile, statementCostMs: STATEMENT_COST_MS });
  const random = createRandom(seed);
  const tally: Tally = { moves: 0, payments: 0, missed: 0, cut: 0 };
  const end = performance.now() + RUN_MS;
  let drained = -1;
  const visits = deployment.groups.flatMap((group, groupIndex) => {
    group.instances.forEach((instance) => instance.setApplyLag(APPLY_LAG_MS));
    return Array.from({ length: GUESTS_PER_GROUP }, (_, index): Visit => {
      const guest = new PgClient(deployment, `guest-${groupIndex}-${index}`, group.options.name);
      return { guest, deployment, random, tally, end, findDrained: () => drained };
    });
  });
  const drain = async (): Promise<void> => {
    await sleep(DRAIN_AFTER_MS);
    drained = deployment.daemons.length - 1;
    await deployment.daemons[drained]?.drain();
  };
  await Promise.all([...visits.map(runGuest), drain()]);
  const ranTwice = countRanTwice(deployment);
  await deployment.stop();
  const { moves, payments, missed, cut } = tally;
  return { moves, payments, readYourWritesViolations: missed, ranTwice, cutInDrain: cut };
}
