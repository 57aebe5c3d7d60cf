import type { Random } from '@shallotpick/bench';
import type { Millis } from '@shallotpick/core';
import type { EmulatedInstance } from '@shallotpick/emulator';
import { wait } from '@shallotpick/engine';
import { crash, restartEmpty } from './instancefaults.js';
import { createSubRandom } from './subrandom.js';
import type { OutageContext } from './takeoverfaults.js';

/** Limit for the kept log to receive everything that was acknowledged. */
const KEEPER_LIMIT_MS: Millis = 400;
/** Limit of the time between the two losses. */
const MAX_BETWEEN_LOSSES_MS: Millis = 1_500;
/** Limit of the time for which an instance without a log is down. */
const MAX_EMPTY_DOWN_MS: Millis = 400;
const POLL_MS: Millis = 1;

/** Drops a log, unless it is the last one that holds everything acknowledged. */
async function loseLog(one: EmulatedInstance, downMs: Millis): Promise<void> {
  const { group } = one;
  const others = group.instances.filter((other) => other !== one);
  if (others.some((other) => group.hasEverything(other))) await restartEmpty(one, downMs);
}

/** Tells whether a log holds all that another one holds. */
function hasLogOf(keeper: EmulatedInstance, { log: { entries } }: EmulatedInstance): boolean {
  return entries.length === 0 || keeper.log.entries[entries.length - 1] === entries.at(-1);
}

/**
 * Waits until `keeper` holds everything acknowledged, and all that the others hold, which receive
 * nothing more: a commit that waits is acknowledged by `keeper` alone from then on.
 */
async function isCaughtUpInTime(
  keeper: EmulatedInstance,
  others: readonly EmulatedInstance[],
): Promise<boolean> {
  const deadline = performance.now() + KEEPER_LIMIT_MS;
  const isCaughtUp = (): boolean =>
    keeper.group.hasEverything(keeper) && others.every((one) => hasLogOf(keeper, one));
  while (!isCaughtUp() && performance.now() < deadline) await wait(POLL_MS);
  return isCaughtUp();
}

async function loseBoth(losers: readonly EmulatedInstance[], random: Random): Promise<void> {
  await Promise.all(
    losers.map(async (loser, index) => {
      const downMs = random.nextInt(MAX_EMPTY_DOWN_MS);
      if (index > 0) await wait(random.nextInt(MAX_BETWEEN_LOSSES_MS));
      await loseLog(loser, downMs);
    }),
  );
}

/** The leader crashes with its log; two replicas start again empty meanwhile. */
async function loseReplicas(context: OutageContext, random: Random): Promise<void> {
  const { group, durationMs, targetSeed } = context;
  const leader = group.findLeader();
  const replicas = group.instances.filter((one) => one !== leader && one.isAlive);
  const first = targetSeed % Math.max(1, replicas.length);
  const losers = [...replicas.slice(first), ...replicas.slice(0, first)].slice(0, 2);
  await Promise.all([crash(leader, durationMs), loseBoth(losers, random)]);
}

/**
 * The leader and a replica start again empty; another replica holds everything, and is down for a
 * while in half of the cases.
 */
async function loseLeader(context: OutageContext, random: Random): Promise<void> {
  const { group, durationMs, targetSeed } = context;
  const leader = group.findLeader();
  const replicas = group.instances.filter((one) => one !== leader && one.isAlive);
  const keeper = replicas[targetSeed % Math.max(1, replicas.length)];
  const loser = replicas.find((one) => one !== keeper);
  const isKeeperDown = random.nextInt(2) === 0;
  if (!leader?.isAlive || !keeper || !loser) return;
  const deaf = replicas.filter((one) => one !== keeper);
  const setDeaf = (isReplicationStopped: boolean): void =>
    deaf.forEach((one) => Object.assign(one, { isReplicationStopped }));
  setDeaf(true);
  const isCaughtUp = await isCaughtUpInTime(keeper, deaf);
  const losses = isCaughtUp ? loseBoth([leader, loser], random) : undefined;
  setDeaf(false);
  await Promise.all([losses, isCaughtUp && isKeeperDown ? crash(keeper, durationMs) : undefined]);
}

/**
 * Two instances lose their logs within one takeover, while a log that holds everything acknowledged
 * remains, on an instance that runs or on one that is down and comes back with it.
 */
export async function loseTwoLogs(context: OutageContext): Promise<void> {
  const random = createSubRandom(context.targetSeed);
  if (random.nextInt(2) === 0) await loseReplicas(context, random);
  else await loseLeader(context, random);
}
