import type { Random } from '@shallotpick/bench';
import type { Millis } from '@shallotpick/core';
import type { EmulatedGroup, EmulatedInstance, EmulatedPlatform } from '@shallotpick/emulator';
import { wait } from '@shallotpick/engine';
import { startReplacing } from './groupfaults.js';
import { crash, restartEmpty } from './instancefaults.js';
import { injectInstanceFault, PROXY_FAULTS } from './proxyfaults.js';
import { createSubRandom } from './subrandom.js';
import { DRAIN_MS, type SoakVm } from './vm.js';

/** What a fault affects, and for how long. */
export interface OutageContext {
  readonly platform: EmulatedPlatform;
  readonly vms: readonly SoakVm[];
  readonly group: EmulatedGroup;
  readonly durationMs: Millis;
  readonly targetSeed: number;
}

/** Limit for the takeover that a fault provokes. */
const TAKEOVER_LIMIT_MS: Millis = 10_000;
/** Limit of the time from an order until its instance starts again. */
const MAX_AFTER_ORDER_MS: Millis = 600;
/** One in so many orders finds its instance started again empty as it arrives. */
const ORDERS_PER_LOSS_AT_ARRIVAL = 4;
/** Limit of the time from the moment when a replica is held until it starts again. */
const MAX_AFTER_HOLD_MS: Millis = 60;
/** Limit of the time from the moment when an instance took the lead until it crashes. */
const MAX_AFTER_PROMOTION_MS: Millis = 500;
const POLL_MS: Millis = 2;

/** Makes the group need another leader: the present one crashes, goes dark or is replaced. */
export async function provokeTakeover(context: OutageContext, random: Random): Promise<void> {
  const { platform, group, durationMs } = context;
  const leader = group.findLeader();
  const kind = random.nextInt(3);
  if (kind === 0) await crash(leader, durationMs);
  else if (kind === 1) {
    await injectInstanceFault(platform, leader, durationMs, PROXY_FAULTS.silence);
  } else if (leader && (await startReplacing(platform, group, leader))) {
    await wait(DRAIN_MS);
    await platform.removeInstance(leader);
  }
}

/** Waits for a call of the handlers in a set with an accepted value; undefined if none comes in time. */
async function waitForCall<T>(
  handlers: Set<(value: T) => void>,
  limitMs: Millis,
  isAccepted: (value: T) => boolean = () => true,
): Promise<T | undefined> {
  return new Promise((resolve) => {
    const handle = (value: T): void => {
      if (!isAccepted(value)) return;
      handlers.delete(handle);
      resolve(value);
    };
    handlers.add(handle);
    setTimeout(() => {
      handlers.delete(handle);
      resolve(undefined);
    }, limitMs);
  });
}

/** Waits for the next order to promote a replica; undefined if none comes in time. */
export async function waitForOrder({
  orders,
}: EmulatedGroup): Promise<EmulatedInstance | undefined> {
  const isReplica = ({ isLeader, isAlive }: EmulatedInstance): boolean => !isLeader && isAlive;
  return waitForCall(orders.arrivalHandlers, TAKEOVER_LIMIT_MS, isReplica);
}

/**
 * The instance that the next order names starts again empty: up to 600 ms after the order has
 * arrived at the platform, or between its last report and the platform's decision.
 */
export async function emptyNamedInstance(context: OutageContext): Promise<void> {
  const random = createSubRandom(context.targetSeed);
  const isAtArrival = random.nextInt(ORDERS_PER_LOSS_AT_ARRIVAL) === 0;
  const delayMs = random.nextInt(MAX_AFTER_ORDER_MS);
  const { arrivalHandlers } = context.group.orders;
  const isLost = new Promise<void>((resolve, reject) => {
    const handleArrival = async (named: EmulatedInstance): Promise<void> => {
      if (named.isLeader || !named.isAlive) return;
      arrivalHandlers.delete(handleArrival);
      if (isAtArrival) await restartEmpty(named, 0).then(resolve, reject);
      else {
        wait(delayMs)
          .then(() => restartEmpty(named, 0))
          .then(resolve, reject);
      }
    };
    arrivalHandlers.add(handleArrival);
    setTimeout(() => {
      if (arrivalHandlers.delete(handleArrival)) resolve();
    }, TAKEOVER_LIMIT_MS);
  });
  await Promise.all([provokeTakeover(context, random), isLost]);
}

function findHeldReplica({ instances }: EmulatedGroup): EmulatedInstance | undefined {
  const held = instances.filter((one) => one.isAlive && !one.isLeader && one.heldTerm > 0);
  return held.reduce<EmulatedInstance | undefined>(
    (best, one) => (best && best.log.entries.length >= one.log.entries.length ? best : one),
    undefined,
  );
}

/**
 * The furthest replica that a takeover holds starts again empty within 60 ms, which is mostly after
 * its report and before the order that names it.
 */
export async function emptyHeldReplica(context: OutageContext): Promise<void> {
  const random = createSubRandom(context.targetSeed);
  const delayMs = random.nextInt(MAX_AFTER_HOLD_MS);
  const isProvoked = provokeTakeover(context, random);
  const deadline = performance.now() + TAKEOVER_LIMIT_MS;
  while (!findHeldReplica(context.group) && performance.now() < deadline) await wait(POLL_MS);
  await wait(delayMs);
  await restartEmpty(findHeldReplica(context.group), 0);
  await isProvoked;
}

/** A new leader crashes within 500 ms, and starts again with its log or empty. */
export async function crashNewLeader(
  context: OutageContext,
  restart: (leader: EmulatedInstance, durationMs: Millis) => Promise<void>,
): Promise<void> {
  const random = createSubRandom(context.targetSeed);
  const delayMs = random.nextInt(MAX_AFTER_PROMOTION_MS);
  const isProvoked = provokeTakeover(context, random);
  const leader = await waitForCall(context.group.promotionHandlers, TAKEOVER_LIMIT_MS);
  if (leader) {
    await wait(delayMs);
    await restart(leader, context.durationMs);
  }
  await isProvoked;
}
