import type { Millis } from '../clock.js';
import { isSamePlace } from './incarnation.js';
import { findLeader, hasAnswered, isAlive } from './instanceview.js';
import { PROMOTION_TIMEOUT_MS } from './takeoverstep.js';
import type { InstanceView, PromotionRecord } from './takeovertypes.js';

/** Longest wait of a handover for a group that is not complete, before the leader is stopped. */
export const INCOMPLETE_GROUP_WAIT_MS: Millis = 3_000;
/** Longer than a registration outlives its instance, so that a missing one has been noticed. */
const MIN_OBSERVED_MS: Millis = 10_000;

/** True for an instance that cannot restart, and so lose an order to stop, without being noticed. */
function isSteady(one: InstanceView): boolean {
  return !one.leaving && one.isRegistered && isAlive(one);
}

function compareLags(a: InstanceView, b: InstanceView): number {
  return (a.lagMs ?? Infinity) - (b.lagMs ?? Infinity) || a.id.localeCompare(b.id);
}

/**
 * Chooses the replica to promote in a handover: the one chosen before while that is possible, since
 * all others were stopped meanwhile, else the one with the smallest lag.
 */
export function chooseHandoverTarget(
  instances: readonly InstanceView[],
  leader: InstanceView | undefined,
  chosen?: string,
): InstanceView | undefined {
  const [target] = instances
    .filter((one) => one.id !== leader?.id && isSteady(one) && one.health === 'answering')
    .sort((a, b) => Number(b.id === chosen) - Number(a.id === chosen) || compareLags(a, b));
  return target;
}

/**
 * Finds a former leader that must not acknowledge commits, because a promotion that was ordered
 * under this record may still be carried out. A handover's leader serves on while no replica can
 * have restarted, and with that have lost the order to stop; only the holder judges this.
 */
export function findLeaderToStop(
  { phase, plan, term, leader: former }: PromotionRecord,
  instances: readonly InstanceView[],
  isHolder: boolean,
): InstanceView | undefined {
  const leader = findLeader(instances);
  if (phase !== 'open' || plan === 'raise' || !leader) return undefined;
  if ((leader.position?.term ?? 0) > term) return undefined;
  // The promoted instance leads; it has no entry of the new term yet.
  if (former && !isSamePlace(leader, former)) return undefined;
  if (plan === 'takeover') return leader;
  const areReplicasSteady = instances.every((one) => one === leader || isSteady(one));
  return isHolder && !areReplicasSteady ? leader : undefined;
}

/**
 * True when another replica may take the place of a leaving one before a promotion that is ordered
 * now has taken effect. A former leader that this VM does not reach could let it acknowledge.
 */
export function mayReplicaBeReplaced(
  instances: readonly InstanceView[],
  formerLeader: string | undefined,
  now: Millis,
): boolean {
  return instances.some(
    ({ id, leaving, mayEndAt = 0 }) =>
      leaving && id !== formerLeader && mayEndAt < now + PROMOTION_TIMEOUT_MS,
  );
}

/**
 * Tells whether a group is complete. While a leader serves during its handover, a replica that
 * starts at the same time could acknowledge a commit alone before any VM knows of it. A replica
 * starts only in place of one that has ended, so none does while all instances run and none but
 * the leader leaves.
 */
export class GroupCompleteness {
  private observedSince: Millis | undefined;

  /** Most members at once; two entries with one address are of an instance and its replacement. */
  private largestSize = 0;

  updateInstances(instances: readonly InstanceView[], now: Millis): void {
    this.observedSince ??= now;
    const addresses = new Set(instances.filter(hasAnswered).map(({ address }) => address));
    this.largestSize = Math.max(this.largestSize, addresses.size);
  }

  isComplete(instances: readonly InstanceView[], now: Millis): boolean {
    if (now - (this.observedSince ?? now) < MIN_OBSERVED_MS) return false;
    if (instances.length < this.largestSize) return false;
    return instances.every((one) => one.leads || isSteady(one));
  }
}
