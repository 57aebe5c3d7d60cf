import type { Millis } from '../clock.js';
import { findLeader } from './instanceview.js';
import type { SuccessorSelector } from './successor.js';
import type { InstanceView, TakeoverPlan } from './takeovertypes.js';

/** A leader that refuses connections for this long counts as lost. */
const REFUSING_TIMEOUT_MS: Millis = 150;
/**
 * A former leader that answers without leading counts as lost after this long, which gives a change
 * in progress time to finish.
 */
const LEADERLESS_TIMEOUT_MS: Millis = 400;
/** An instance that this VM has not yet reached since it started counts as lost after this long. */
const UNKNOWN_TIMEOUT_MS: Millis = 1_500;
/** An instance that has answered for this long shows that this VM itself is not partitioned. */
const MIN_CONNECTED_MS: Millis = 600;

/** How long the former leader must have been in a state before it counts as lost. */
const LOST_AFTER_MS: Readonly<Record<InstanceView['health'], Millis>> = {
  // Both a probe and a new connection have failed before an instance counts as silent.
  silent: 0,
  refusing: REFUSING_TIMEOUT_MS,
  unknown: UNKNOWN_TIMEOUT_MS,
  answering: LEADERLESS_TIMEOUT_MS,
  // The instance is alive and only has no connection free for a probe.
  full: Number.POSITIVE_INFINITY,
};

function isCandidate({ leaving, health, isRegistered }: InstanceView): boolean {
  return !leaving && isRegistered && health === 'answering';
}

/** True for a leader that has to hand over: it is leaving, or its registration has expired. */
function isDeparting({ leaving, isRegistered }: InstanceView): boolean {
  return leaving || !isRegistered;
}

/**
 * Determines whether and how the leader of a group has to be replaced. A VM that can't get the
 * reports that a choice needs leaves the group alone: the leader, or a log that only it holds, may
 * come back, and a VM in a partitioned zone must not stop the instances that it reaches.
 */
export function findRequiredPlan(
  instances: readonly InstanceView[],
  selector: SuccessorSelector,
  now: Millis,
): Exclude<TakeoverPlan, 'raise'> | undefined {
  const leader = findLeader(instances);
  const candidates = instances.filter((one) => isCandidate(one) && one.id !== leader?.id);
  if (leader) return isDeparting(leader) && candidates.length > 0 ? 'handover' : undefined;
  const connected = candidates.filter(({ since }) => now - since >= MIN_CONNECTED_MS);
  if (connected.length === 0) return undefined;
  if (!selector.canChoose(instances)) return undefined;
  const formerId = selector.findFormerLeader(instances);
  const former = instances.find(({ id }) => id === formerId);
  // A registration expires only seconds after its instance has failed, so no further wait is due.
  if (!former) return 'takeover';
  return now - former.since >= LOST_AFTER_MS[former.health] ? 'takeover' : undefined;
}
