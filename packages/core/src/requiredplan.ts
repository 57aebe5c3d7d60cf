import type { Millis } from './clock.js';
import type { InstanceView, TakeoverPlan } from './takeovertypes.js';

/** A leader that refuses connections for this long is down. */
const REFUSED_MS: Millis = 150;
/** A group whose instances all answer and none leads waits this long for a change in progress. */
const LEADERLESS_MS: Millis = 400;
/** An instance that this VM has not yet reached since it started counts as lost after this long. */
const UNKNOWN_MS: Millis = 1_500;
/** Instances that have answered for this long show that this VM itself is not cut off. */
const CONNECTED_MS: Millis = 600;

/** How long the former leader must have been in a state before it counts as lost. */
const LOST_AFTER_MS: Readonly<Record<InstanceView['health'], Millis>> = {
  // Silence has taken a probe and a new connection to establish.
  silent: 0,
  refusing: REFUSED_MS,
  unknown: UNKNOWN_MS,
  answering: LEADERLESS_MS,
  // It lives, and only has no room for a probe.
  full: Number.POSITIVE_INFINITY,
};

const LIVE: ReadonlySet<InstanceView['health']> = new Set<InstanceView['health']>([
  'answering',
  'full',
]);

function isCandidate({ leaving, health }: InstanceView): boolean {
  return !leaving && health === 'answering';
}

/**
 * True when the reports that a choice needs can come: from the former leader, or else from every
 * other instance. A VM in a zone that is cut off sees one instance of the group and must not stop it.
 */
function mayChoose(instances: readonly InstanceView[], former: InstanceView): boolean {
  if (former.health === 'answering') return true;
  return instances.every(({ id, health }) => id === former.id || LIVE.has(health));
}

/** The instance that leads, by its last answer. */
export function findLeader(instances: readonly InstanceView[]): InstanceView | undefined {
  return instances.find(({ leads, health }) => leads && health === 'answering');
}

/**
 * Finds what has to be done about the leader of a group.
 *
 * @param suspect the instance that led last, as far as known
 */
export function findRequiredPlan(
  instances: readonly InstanceView[],
  suspect: string | undefined,
  now: Millis,
): Exclude<TakeoverPlan, 'raise'> | undefined {
  const leader = findLeader(instances);
  const candidates = instances.filter((one) => isCandidate(one) && one.id !== leader?.id);
  if (leader) return leader.leaving && candidates.length > 0 ? 'handover' : undefined;
  const connected = candidates.filter(({ since }) => now - since >= CONNECTED_MS);
  if (connected.length === 0) return undefined;
  const former = instances.find(({ id }) => id === suspect);
  // The entry of a former leader goes seconds after the instance itself.
  if (!former) return 'takeover';
  const isLost = now - former.since >= LOST_AFTER_MS[former.health];
  return isLost && mayChoose(instances, former) ? 'takeover' : undefined;
}
