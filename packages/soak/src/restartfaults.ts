import type { Millis } from '@shallotpick/core';
import type { EmulatedGroup, EmulatedPlatform } from '@shallotpick/emulator';
import { wait } from '@shallotpick/engine';
import { match } from 'ts-pattern';
import { crash, crashAndStart, restartEmpty } from './instancefaults.js';
import { chooseInstance, chooseReplica } from './targets.js';

/** Kinds in which instances lose their log or their id, or reach all but the store. */
export const RESTART_KINDS = [
  'restartReplicaEmpty',
  'restartUnderNewId',
  'cutInstanceFromStore',
  'loseOnlyHolder',
] as const;

/** A kind of fault of runs with restarts. */
export type RestartFaultKind = (typeof RESTART_KINDS)[number];

/** An entry expires only after a while, so a cut from the store lasts longer than other faults. */
export const STORE_CUT_FACTOR = 3;
/** Time in which a single replica receives every commit, before it loses them. */
const SINGLE_HOLDER_MS: Millis = 800;
const EMPTY_RESTART_MS: Millis = 400;

async function cutFromStore(group: EmulatedGroup, durationMs: Millis, targetSeed: number) {
  const instance = chooseInstance(group, targetSeed);
  if (!instance) return;
  instance.isCutFromStore = true;
  await wait(durationMs);
  instance.isCutFromStore = false;
}

/**
 * A replica receives nothing while the other one acknowledges alone. That one restarts empty and
 * the leader crashes, so that only the leader's log holds the latest commits until it is back.
 */
async function dropOnlyHolder(group: EmulatedGroup, durationMs: Millis, targetSeed: number) {
  const leader = group.findLeader();
  const deaf = chooseReplica(group, targetSeed);
  const holder = group.instances.find((one) => one !== deaf && !one.isLeader && one.isAlive);
  if (!deaf?.isAlive || !leader?.isAlive || !holder) return;
  deaf.isReplicationStopped = true;
  await wait(SINGLE_HOLDER_MS);
  await Promise.all([restartEmpty(holder, EMPTY_RESTART_MS), crash(leader, durationMs)]);
  deaf.isReplicationStopped = false;
}

/** Injects a fault of one of the restart kinds, which ends after its duration. */
export async function injectRestartFault(
  kind: RestartFaultKind,
  platform: EmulatedPlatform,
  group: EmulatedGroup,
  { durationMs, targetSeed }: { readonly durationMs: Millis; readonly targetSeed: number },
): Promise<void> {
  await match(kind)
    .with('restartReplicaEmpty', () => restartEmpty(chooseReplica(group, targetSeed), durationMs))
    .with('restartUnderNewId', () =>
      crashAndStart(chooseInstance(group, targetSeed), durationMs, (one) =>
        platform.restartUnderNewId(one),
      ),
    )
    .with('cutInstanceFromStore', () => cutFromStore(group, durationMs, targetSeed))
    .with('loseOnlyHolder', () => dropOnlyHolder(group, durationMs, targetSeed))
    .exhaustive();
}
