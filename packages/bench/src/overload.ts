import { setTimeout as sleep } from 'node:timers/promises';
import { SocketClient } from './socketclient.js';
import type { CreateDeployment, Deployment } from './cluster.js';
import type { Profile } from './profile.js';
import { createRandom } from './random.js';
import { computeFairness, formatNumber } from './stats.js';

/** Long enough that this process, which runs all proxies and stand-ins, is not the bottleneck. */
const COST_PER_SLOT_MS = 10;
const INSTANCES = 3;
const RUN_MS = 12_000;
const WARM_UP_MS = 4_000;
/** The offered load alternates between these multiples of the capacity of the slots. */
const LOW_LOAD = 0.5;
const PEAK_LOAD = 4;
const LOAD_PERIOD_MS = 6_000;
const DEADLINE_MS = 1_000;
/** Shorter than DEADLINE_MS, so that a caller that is refused has time to go elsewhere. */
const QUEUE_DEADLINE_MS = 850;
const CALLERS = 12;
const SESSIONS_PER_CALLER = 32;
/** One caller has this many times the sessions and the load of each other caller. */
const GREEDY_FACTOR = 4;
const WRITE_SHARE = 0.1;
/** SQLSTATE of a request that did not run. */
const NOT_RUN = 'SP001';

/** Figures of the scenario `crest`. */
export interface OverloadResult {
  /** Requests completed within the deadline, as a share of those that ideal slots could complete. */
  readonly goodputShare: number;
  readonly refused: number;
  readonly refusedButRan: number;
  /** Jain's fairness index over the callers with equal load. */
  readonly fairness: number;
}

/** A request to send at a time of the run. */
interface Arrival {
  readonly at: number;
  readonly caller: number;
  readonly key: string;
  readonly isWrite: boolean;
}

/** Creates Poisson arrivals: the rate is a square wave, the callers are drawn by their weights. */
function createArrivals(seed: number, slots: number, costMs: number): readonly Arrival[] {
  const random = createRandom(seed);
  const weights = CALLERS - 1 + GREEDY_FACTOR;
  const arrivals: Arrival[] = [];
  let at = 0;
  while (at < RUN_MS) {
    const load = Math.floor(at / (LOAD_PERIOD_MS / 2)) % 2 === 0 ? LOW_LOAD : PEAK_LOAD;
    at += (-Math.log(1 - random.next()) * costMs) / (slots * load);
    const drawn = random.nextInt(weights);
    const caller = drawn < CALLERS ? drawn : 0;
    const isWrite = random.next() < WRITE_SHARE;
    arrivals.push({ at, caller, key: `crest-${arrivals.length}`, isWrite });
  }
  return arrivals;
}

/**
 * Counts the arrivals that ideal slots could complete within the deadline: each slot takes the
 * earliest arrival that it can still finish in time, which is optimal for equal costs.
 */
export function countServable(
  arrivals: readonly { readonly at: number }[],
  slots: number,
  costMs: number,
  deadlineMs: number,
): number {
  const freeAt = Array.from({ length: slots }, () => 0);
  return arrivals.reduce((count, { at }) => {
    const slot = freeAt.indexOf(Math.min(...freeAt));
    const end = Math.max(at, freeAt[slot] ?? 0) + costMs;
    if (end > at + deadlineMs) return count;
    freeAt[slot] = end;
    return count + 1;
  }, 0);
}

/** Counts of the outcomes that the callers got. */
class OutcomeCounts {
  readonly done: number[] = [];

  readonly refusedKeys = new Set<string>();

  refused = 0;

  readsDone = 0;

  add({ caller, key, isWrite }: Arrival, code: string | undefined, isInTime: boolean): void {
    if (code === undefined) {
      if (!isWrite) this.readsDone += 1;
      if (isInTime) this.done[caller] = (this.done[caller] ?? 0) + 1;
    } else if (code === NOT_RUN) {
      this.refused += 1;
      if (isWrite) this.refusedKeys.add(key);
    }
  }
}

/** A caller with sessions on all proxies; each request takes an idle session. */
class Caller {
  private readonly idle: SocketClient[] = [];

  constructor(private readonly sessions: readonly SocketClient[]) {
    this.idle.push(...sessions);
  }

  async run(text: string): Promise<string | undefined> {
    const session = this.idle.shift();
    if (!session) return 'busy';
    const { code } = await session.run(text);
    this.idle.push(session);
    return code;
  }

  close(): void {
    this.sessions.forEach((session) => session.close());
  }
}

async function openCaller(
  deployment: Deployment,
  database: string,
  index: number,
): Promise<Caller> {
  const { daemons } = deployment;
  const count = SESSIONS_PER_CALLER * (index === 0 ? GREEDY_FACTOR : 1);
  const sessions = Array.from({ length: count }, (_, session) => {
    const port = daemons[(session + index) % daemons.length]?.readCallerPort() ?? 0;
    return SocketClient.open(port, `caller-${index}`, database);
  });
  return new Caller(await Promise.all(sessions));
}

const formatStatement = ({ key, isWrite }: Arrival): string =>
  isWrite
    ? `INSERT INTO items (key, value) VALUES ('${key}', 'x')`
    : `/* shallotpick contract=availability */ SELECT value FROM items WHERE key = '${key}'`;

async function runArrival(arrival: Arrival, caller: Caller, tally: OutcomeCounts): Promise<void> {
  const startedAt = performance.now();
  const code = await caller.run(formatStatement(arrival));
  tally.add(arrival, code, performance.now() - startedAt <= DEADLINE_MS);
}

/** Sends the requests at their times (open loop), whether earlier ones are answered or not. */
async function submitArrivals(
  arrivals: readonly Arrival[],
  callers: readonly Caller[],
  tally: OutcomeCounts,
): Promise<void> {
  const startedAt = performance.now();
  const runs: Promise<void>[] = [];
  for (const arrival of arrivals) {
    const waitMs = arrival.at - (performance.now() - startedAt);
    if (waitMs > 1) await sleep(waitMs);
    const caller = callers[arrival.caller];
    if (caller) runs.push(runArrival(arrival, caller, tally));
  }
  await Promise.all(runs);
}

/** Opens connections and lets the proxies learn the costs before the measurement. */
async function warmUp(callers: readonly Caller[]): Promise<void> {
  const end = performance.now() + WARM_UP_MS;
  const text = formatStatement({ at: 0, caller: 0, key: 'warm', isWrite: false });
  while (performance.now() < end) {
    await Promise.all(callers.map((caller) => caller.run(text)));
  }
}

/** Measures goodput, refusals and fairness while the offered load peaks far above the capacity. */
export async function measureOverload(
  create: CreateDeployment,
  profile: Profile,
  seed: number,
): Promise<OverloadResult> {
  const [database = ''] = profile.groups;
  const slots = profile.slots * INSTANCES;
  const costMs = COST_PER_SLOT_MS * slots;
  const deployment = await create({
    profile: { ...profile, groups: [database] },
    statementCostMs: costMs,
    environment: { SHALLOTPICK_QUEUE_DEADLINE_MS: String(QUEUE_DEADLINE_MS) },
  });
  const instances = deployment.groups[0]?.instances ?? [];
  const arrivals = createArrivals(seed, slots, costMs);
  const callers = await Promise.all(
    Array.from({ length: CALLERS }, (_, index) => openCaller(deployment, database, index)),
  );
  await warmUp(callers);
  const readsBefore = instances.reduce((sum, { statementCounts: served }) => sum + served.reads, 0);
  const tally = new OutcomeCounts();
  await submitArrivals(arrivals, callers, tally);
  const reads =
    instances.reduce((sum, { statementCounts: served }) => sum + served.reads, 0) - readsBefore;
  const hiddenWrites = [...tally.refusedKeys].filter((key) =>
    instances.some(({ storage: store }) => store.findRow('items', key) !== undefined),
  ).length;
  callers.forEach((caller) => caller.close());
  await deployment.stop();
  const servable = countServable(arrivals, slots, costMs, DEADLINE_MS);
  const done = Array.from({ length: CALLERS }, (_, index) => tally.done[index] ?? 0);
  return {
    goodputShare: formatNumber(done.reduce((sum, count) => sum + count, 0) / servable),
    refused: tally.refused,
    refusedButRan: hiddenWrites + Math.max(0, reads - tally.readsDone),
    fairness: formatNumber(computeFairness(done.slice(1))),
  };
}
