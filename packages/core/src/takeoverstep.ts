import type { Millis } from './clock.js';
import type { LogPosition } from './position.js';
import type {
  InstanceView,
  PromotionAnswer,
  PromotionRecord,
  TakeoverAction,
  TakeoverPlan,
} from './takeovertypes.js';

/** Each later rank waits this much longer before it acts. */
export const RANK_STAGGER_MS: Millis = 300;
/** An attempt of another VM is left alone for this long. */
export const ATTEMPT_TIMEOUT_MS: Millis = 2_500;
/** A holder that has not ordered the promotion after this long claims the record anew. */
export const RECORD_TTL_MS: Millis = 1_500;
/** Gap between repeated orders to an instance that has not answered. */
export const ORDER_REPEAT_MS: Millis = 150;
/** A planned handover that cannot fence the other replicas in this time becomes a takeover. */
export const HANDOVER_TIMEOUT_MS: Millis = 1_000;
/** A promotion call without an answer for this long is superseded by a newer generation. */
export const PROMOTION_ANSWER_TIMEOUT_MS: Millis = 400;
/** A promoted instance that does not lead after this long is given up. */
export const PROMOTION_TIMEOUT_MS: Millis = 2_000;
/** Two VMs do not order promotions of a group by turns within this time, set by the platform. */
export const LEASE_MS: Millis = 3_000;
/** Allows for the time that an order travels. */
export const LEASE_MARGIN_MS: Millis = 400;
/** A claim whose answer took longer rests on an old view and is given up. */
export const MAX_CLAIM_LATENCY_MS: Millis = 400;
/** A claim that is not found in the store after this long is made anew. */
export const CLAIM_TIMEOUT_MS: Millis = 800;
/** A replica this far behind the leader may still be paused by a late order. */
export const STUCK_LAG_MS: Millis = 1_500;
/** Gap between status requests to a replica that seems stuck. */
export const STUCK_CHECK_INTERVAL_MS: Millis = 1_000;
/** Gap between reads of a record that could not be read. */
export const READ_INTERVAL_MS: Millis = 500;

/** What a coordinator asks its driver to do. */
export type TakeoverActions = readonly TakeoverAction[];

/** The step of a change of the leader in which a coordinator is. */
export type TakeoverStep =
  | { readonly kind: 'watching' }
  | {
      readonly kind: 'claiming';
      readonly plan: TakeoverPlan;
      readonly record: PromotionRecord;
      readonly sentAt: Millis;
    }
  | {
      readonly kind: 'fencing';
      readonly plan: TakeoverPlan;
      readonly since: Millis;
      /** End of the leader's log once the replicas but the candidate of a handover had stopped. */
      readonly leaderEnd?: LogPosition | undefined;
    }
  | {
      readonly kind: 'promoting';
      readonly candidate: string;
      /** The instances that were known when the promotion was ordered. */
      readonly members: ReadonlySet<string>;
      readonly sentAt: Millis;
      readonly answer: PromotionAnswer | undefined;
    }
  | { readonly kind: 'settling'; readonly since: Millis };

/** The step of the given kind. */
export type StepOf<K extends TakeoverStep['kind']> = TakeoverStep & { readonly kind: K };

export const WATCHING: TakeoverStep = { kind: 'watching' };

/** The replica that a planned change prefers: the one that is least behind. */
export function chooseHandoverTarget(
  instances: readonly InstanceView[],
  leader: InstanceView | undefined,
): string | undefined {
  const [heir] = instances
    .filter(({ id, leaving, health }) => id !== leader?.id && !leaving && health === 'answering')
    .sort((a, b) => (a.lagMs ?? Infinity) - (b.lagMs ?? Infinity) || a.id.localeCompare(b.id));
  return heir?.id;
}
