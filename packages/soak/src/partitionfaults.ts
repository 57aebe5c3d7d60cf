import type { Random } from '@shallotpick/bench';
import type { Millis } from '@shallotpick/core';
import type { EmulatedInstance, EmulatedPlatform, FaultProxy } from '@shallotpick/emulator';
import { wait } from '@shallotpick/engine';
import { match } from 'ts-pattern';
import { crash } from './instancefaults.js';
import { injectProxyFault, PROXY_FAULTS } from './proxyfaults.js';
import { createSubRandom } from './subrandom.js';
import { type OutageContext, waitForOrder } from './takeoverfaults.js';
import { chooseInstance } from './targets.js';
import type { SoakVm } from './vm.js';

/** Kinds in which VMs differ in what they reach. */
export const PARTITION_KINDS = ['cutPath', 'slowStore', 'splitVm', 'restartInPromotion'] as const;

/** A kind of fault of VMs that differ in what they reach. */
export type PartitionFaultKind = (typeof PARTITION_KINDS)[number];

/** A group needs as long to notice that its leader is lost, and to promote another instance. */
export const PARTITION_FACTOR = 2;
/** Limit of the time from an order until an instance restarts with its log. */
const MAX_AFTER_ORDER_MS: Millis = 400;
const MAX_DOWN_MS: Millis = 150;
/** Delays of the store's answers to one VM. */
const MIN_DELAY_MS: Millis = 300;
const MAX_DELAY_MS: Millis = 1_500;

async function findPath(
  platform: EmulatedPlatform,
  vm: SoakVm,
  instance: EmulatedInstance,
): Promise<FaultProxy | undefined> {
  const proxy = platform.findProxy(instance);
  return proxy && vm.paths.findProxy(`127.0.0.1:${proxy.port}`);
}

async function cutPaths(
  platform: EmulatedPlatform,
  vms: readonly SoakVm[],
  instance: EmulatedInstance | undefined,
  durationMs: Millis,
): Promise<void> {
  await Promise.all(
    vms.map(async (vm) => {
      const path = instance && (await findPath(platform, vm, instance));
      if (path) await injectProxyFault(path, durationMs, PROXY_FAULTS.silence);
    }),
  );
}

async function slowStore(vm: SoakVm, durationMs: Millis, random: Random): Promise<void> {
  const delayMs = MIN_DELAY_MS + random.nextInt(MAX_DELAY_MS - MIN_DELAY_MS);
  await injectProxyFault(vm.storeProxy, durationMs, (proxy) => proxy.delay(delayMs));
}

/**
 * A replica that the next order does not name restarts with its log before the promotion takes
 * effect, or one time in four the named instance does.
 */
async function restartInPromotion({ group }: OutageContext, random: Random): Promise<void> {
  const named = await waitForOrder(group);
  if (!named) return;
  await wait(random.nextInt(MAX_AFTER_ORDER_MS));
  const others = group.instances.filter((one) => one !== named && !one.isLeader);
  const other = others[random.nextInt(Math.max(1, others.length))];
  await crash(random.nextInt(4) === 0 ? named : other, 1 + random.nextInt(MAX_DOWN_MS));
}

/** One VM alone reaches the leader, and the store late or not at all, while an instance restarts. */
async function splitVm(context: OutageContext, vm: SoakVm, random: Random): Promise<void> {
  const { platform, vms, group, durationMs } = context;
  const others = vms.filter((one) => one !== vm);
  const isCut = random.nextInt(2) === 0;
  await Promise.all([
    isCut
      ? injectProxyFault(vm.storeProxy, durationMs, PROXY_FAULTS.silence)
      : slowStore(vm, durationMs, random),
    cutPaths(platform, others, group.findLeader(), durationMs),
    restartInPromotion(context, random),
  ]);
}

/** Injects a fault of one of the partition kinds, which ends after its duration. */
export async function injectPartitionFault(
  kind: PartitionFaultKind,
  context: OutageContext,
  vm: SoakVm,
): Promise<void> {
  const { platform, group, durationMs, targetSeed } = context;
  const random = createSubRandom(targetSeed);
  await match(kind)
    .with('cutPath', () => cutPaths(platform, [vm], chooseInstance(group, targetSeed), durationMs))
    .with('slowStore', () => slowStore(vm, durationMs, random))
    .with('splitVm', () => splitVm(context, vm, random))
    .with('restartInPromotion', () => restartInPromotion(context, random))
    .exhaustive();
}
