import type { Millis } from '@shallotpick/core';
import type { EmulatedInstance } from '@shallotpick/emulator';
import { wait } from '@shallotpick/engine';

type Instance = EmulatedInstance | undefined;

/** Stops an instance and starts it again after `durationMs`, unless it has left its group. */
export async function crashAndStart(
  instance: Instance,
  durationMs: Millis,
  start: (one: EmulatedInstance) => Promise<void>,
): Promise<void> {
  if (!instance?.isAlive) return;
  await instance.stop();
  await wait(durationMs);
  const isMember = instance.group.instances.includes(instance);
  if (isMember && !instance.isAlive) await start(instance);
}

/** Crashes an instance, which starts again with its log under its id. */
export async function crash(instance: Instance, durationMs: Millis): Promise<void> {
  await crashAndStart(instance, durationMs, (one) => one.start());
}

/** Crashes an instance, which starts again under its id without its log. */
export async function restartEmpty(instance: Instance, durationMs: Millis): Promise<void> {
  if (!instance?.isAlive) return;
  const isStarted = crash(instance, durationMs);
  instance.dropLog();
  await isStarted;
}

/** An instance receives no entries for a while. */
export async function stopReceiving(instance: Instance, durationMs: Millis): Promise<void> {
  if (!instance) return;
  const deaf = instance;
  deaf.isReplicationStopped = true;
  await wait(durationMs);
  deaf.isReplicationStopped = false;
}
