import type { Millis } from '@shallotpick/core';
import type { EmulatedInstance } from '@shallotpick/emulator';
import { wait } from '@shallotpick/engine';
import { match } from 'ts-pattern';
import { loseTwoLogs } from './doublelossfault.js';
import { startReplacing } from './groupfaults.js';
import { crash, crashAndStart, restartEmpty } from './instancefaults.js';
import { injectInstanceFault, PROXY_FAULTS } from './proxyfaults.js';
import { createSubRandom } from './subrandom.js';
import {
  crashNewLeader,
  emptyHeldReplica,
  emptyNamedInstance,
  type OutageContext,
  provokeTakeover,
} from './takeoverfaults.js';
import { chooseReplica } from './targets.js';
import { DRAIN_MS } from './vm.js';
import { killAll } from './vmfaults.js';

/** Kinds in which more than one part fails within a takeover, or for longer than in others. */
export const OUTAGE_KINDS = [
  'emptyNamedInstance',
  'emptyHeldReplica',
  'lateOrders',
  'killAllBesideCrash',
  'killAllBesideSilence',
  'loseTwoLogs',
  'crashNewLeader',
  'emptyNewLeader',
  'crashLeavingInstance',
  'renameLeavingInstance',
  'losePower',
] as const;

/** A kind of fault of runs with outages. */
export type OutageFaultKind = (typeof OUTAGE_KINDS)[number];

/** Kinds that last up to 12 s, with their factor to the duration of other faults. */
export const LONG_OUTAGE_KINDS: ReadonlySet<string> = new Set<OutageFaultKind>([
  'killAllBesideCrash',
  'killAllBesideSilence',
]);
export const LONG_OUTAGE_FACTOR = 8 / 3;

/** Limit of the time between the end of all VMs and the outage of a leader. */
const MAX_KILL_OFFSET_MS: Millis = 1_000;
const LATE_ORDER_SHARE = 0.5;

/** All VMs are killed at one moment, up to a second before or after the leader fails. */
async function killAllBeside(
  { vms, group, targetSeed }: OutageContext,
  fail: (leader: EmulatedInstance | undefined) => Promise<void>,
): Promise<void> {
  const offsetMs = createSubRandom(targetSeed).nextInt(2 * MAX_KILL_OFFSET_MS) - MAX_KILL_OFFSET_MS;
  const killVms = async (): Promise<void> => {
    await wait(Math.max(0, offsetMs));
    await killAll(vms);
  };
  const failLeader = async (): Promise<void> => {
    await wait(Math.max(0, -offsetMs));
    await fail(group.findLeader());
  };
  await Promise.all([killVms(), failLeader()]);
}

/**
 * An instance that leaves crashes within its drain time. It comes back under its id, draining or as
 * a member again, or its log comes back under another id at its address and stays.
 */
async function crashLeaving(context: OutageContext, isRenamed: boolean): Promise<void> {
  const { platform, group, durationMs, targetSeed } = context;
  const random = createSubRandom(targetSeed);
  const isOfLeader = random.nextInt(2) === 0;
  const crashesAfterMs = random.nextInt(DRAIN_MS);
  const keepsLeaving = !isRenamed && random.nextInt(2) === 0;
  const leaving = isOfLeader ? group.findLeader() : chooseReplica(group, targetSeed);
  if (!leaving || !(await startReplacing(platform, group, leaving))) return;
  const drainedAt = performance.now() + DRAIN_MS;
  await wait(crashesAfterMs);
  await crashAndStart(leaving, durationMs, async (one) => {
    const restarted = one;
    restarted.isLeaving = keepsLeaving;
    await (isRenamed ? platform.restartUnderNewId(one) : one.start());
  });
  if (!leaving.isLeaving) return;
  await wait(Math.max(0, drainedAt - performance.now()));
  await platform.removeInstance(leaving);
}

/** All instances of a group lose power at once; each comes back with its log at a time of its own. */
async function losePower({ group, durationMs, targetSeed }: OutageContext): Promise<void> {
  const random = createSubRandom(targetSeed);
  await Promise.all(group.instances.map((one) => crash(one, durationMs * random.next())));
}

/** Orders get no response and are carried out 2 to 12 s late, while the group needs a leader. */
async function delayOrders(context: OutageContext): Promise<void> {
  const { promotionService } = context.platform;
  promotionService.lateShare = LATE_ORDER_SHARE;
  const isProvoked = provokeTakeover(context, createSubRandom(context.targetSeed));
  await wait(context.durationMs);
  promotionService.lateShare = 0;
  await promotionService.waitForLateOrders();
  await isProvoked;
}

/** Injects a fault of one of the outage kinds; done when all of it has ended. */
export async function injectOutageFault(
  kind: OutageFaultKind,
  context: OutageContext,
): Promise<void> {
  const { platform, durationMs } = context;
  await match(kind)
    .with('emptyNamedInstance', () => emptyNamedInstance(context))
    .with('emptyHeldReplica', () => emptyHeldReplica(context))
    .with('lateOrders', () => delayOrders(context))
    .with('killAllBesideCrash', () => killAllBeside(context, (leader) => crash(leader, durationMs)))
    .with('killAllBesideSilence', () =>
      killAllBeside(context, (leader) =>
        injectInstanceFault(platform, leader, durationMs, PROXY_FAULTS.silence),
      ),
    )
    .with('loseTwoLogs', () => loseTwoLogs(context))
    .with('crashNewLeader', () => crashNewLeader(context, crash))
    .with('emptyNewLeader', () => crashNewLeader(context, restartEmpty))
    .with('crashLeavingInstance', () => crashLeaving(context, false))
    .with('renameLeavingInstance', () => crashLeaving(context, true))
    .with('losePower', () => losePower(context))
    .exhaustive();
}
