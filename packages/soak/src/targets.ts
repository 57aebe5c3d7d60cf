import type { EmulatedGroup, EmulatedInstance } from '@shallotpick/emulator';

/** Chooses a replica of the group; undefined when it has none. */
export function chooseReplica(
  { instances }: EmulatedGroup,
  targetSeed: number,
): EmulatedInstance | undefined {
  const replicas = instances.filter(({ isLeader }) => !isLeader);
  return replicas[targetSeed % Math.max(1, replicas.length)];
}

/** Chooses any instance of the group; undefined when it has none. */
export function chooseInstance(
  { instances }: EmulatedGroup,
  targetSeed: number,
): EmulatedInstance | undefined {
  return instances[targetSeed % Math.max(1, instances.length)];
}
