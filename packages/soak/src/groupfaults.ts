import type { Millis } from '@shallotpick/core';
import type { EmulatedGroup, EmulatedInstance, EmulatedPlatform } from '@shallotpick/emulator';
import { wait } from '@shallotpick/engine';
import { match } from 'ts-pattern';
import { crash, stopReceiving } from './instancefaults.js';
import { injectInstanceFault, PROXY_FAULTS, type ProxyFault } from './proxyfaults.js';
import { chooseInstance, chooseReplica } from './targets.js';
import { DRAIN_MS } from './vm.js';

/** Kinds that affect the instances of a group. */
export const GROUP_KINDS = [
  'crashLeader',
  'crashReplica',
  'silenceLeader',
  'silenceReplica',
  'cutLeaderOneWay',
  'delayInstance',
  'resetInstance',
  'resetLeader',
  'abandonInstance',
  'replaceLeader',
  'replaceReplica',
  'splitGroup',
  'deafReplica',
] as const;

/** A kind of fault of the instances of a group. */
export type GroupFaultKind = (typeof GROUP_KINDS)[number];

/** Adds an instance in the place of another one, which drains; false if that can't begin. */
export async function startReplacing(
  platform: EmulatedPlatform,
  group: EmulatedGroup,
  leaving: EmulatedInstance | undefined,
): Promise<boolean> {
  // A group replaces one instance at a time.
  if (!leaving?.isAlive || group.instances.some((one) => one.isLeaving)) return false;
  const old = leaving;
  await platform.addInstance(
    group,
    platform.zones[group.instances.length % platform.zones.length] ?? '',
  );
  old.isLeaving = true;
  platform.reportInstance(old);
  return true;
}

/** Adds a new instance, then drains and removes the old one. */
async function replace(
  platform: EmulatedPlatform,
  group: EmulatedGroup,
  leaving: EmulatedInstance | undefined,
): Promise<void> {
  if (!leaving || !(await startReplacing(platform, group, leaving))) return;
  await wait(DRAIN_MS);
  await platform.removeInstance(leaving);
}

/** Injects a fault of the instances of a group, which ends after its duration. */
export async function injectGroupFault(
  kind: GroupFaultKind,
  platform: EmulatedPlatform,
  group: EmulatedGroup,
  { durationMs, targetSeed }: { readonly durationMs: Millis; readonly targetSeed: number },
): Promise<void> {
  const { silence, cutOneWay, delay, refuse, reset, abandon } = PROXY_FAULTS;
  const disturb = (instance: EmulatedInstance | undefined, apply: ProxyFault, ms = durationMs) =>
    injectInstanceFault(platform, instance, ms, apply);
  const findReplica = () => chooseReplica(group, targetSeed);
  const findAny = () => chooseInstance(group, targetSeed);
  await match(kind)
    .with('crashLeader', () => crash(group.findLeader(), durationMs))
    .with('crashReplica', () => crash(findReplica(), durationMs))
    .with('silenceLeader', () => disturb(group.findLeader(), silence))
    .with('silenceReplica', () => disturb(findReplica(), silence))
    .with('cutLeaderOneWay', () => disturb(group.findLeader(), cutOneWay))
    .with('delayInstance', () => disturb(findAny(), delay))
    .with('resetInstance', () => disturb(findAny(), refuse))
    .with('resetLeader', () => disturb(group.findLeader(), reset, 0))
    .with('abandonInstance', () => disturb(findAny(), abandon, 0))
    .with('replaceLeader', () => replace(platform, group, group.findLeader()))
    .with('replaceReplica', () => replace(platform, group, findReplica()))
    .with('splitGroup', async () => {
      const split = group;
      split.isPartitioned = true;
      await wait(durationMs);
      split.isPartitioned = false;
    })
    .with('deafReplica', () => stopReceiving(findReplica(), durationMs))
    .exhaustive();
}
