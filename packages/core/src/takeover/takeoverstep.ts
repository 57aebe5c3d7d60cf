import type { Millis } from '../clock.js';
import type { LogPosition } from '../position.js';
import type { PromotionGrant } from './promotiongate.js';
import type { StoreVersion } from '../configuration/storeversion.js';
import type {
  PromotionAnswer,
  PromotionRecord,
  TakeoverAction,
  TakeoverPlan,
} from './takeovertypes.js';

/** Added delay per rank before a VM acts. */
export const RANK_STAGGER_MS: Millis = 300;
/** Another VM's attempt is not interfered with for this long. */
export const ATTEMPT_TIMEOUT_MS: Millis = 2_500;
/** Gap between two raises of a holder whose order for the leader was refused. */
export const RAISE_RETRY_MS: Millis = 1_000;
/** A holder whose claim is older than this claims the record again before it promotes. */
export const RECORD_TTL_MS: Millis = 1_500;
/** A handover that has not ordered its promotion within this time becomes a takeover. */
export const HANDOVER_TIMEOUT_MS: Millis = 1_000;
/** A promotion call without an answer for this long is superseded by a newer generation. */
export const PROMOTION_ANSWER_TIMEOUT_MS: Millis = 400;
/** A promoted instance that does not lead after this long is abandoned. */
export const PROMOTION_TIMEOUT_MS: Millis = 2_000;
/** Set by the platform: a superseded VM orders no further promotion of the group for this long. */
export const LEASE_MS: Millis = 3_000;
/** The order of another VM for the leader that stays, and its wait for older ones, are left alone. */
export const RAISE_TIMEOUT_MS: Millis = ATTEMPT_TIMEOUT_MS + PROMOTION_TIMEOUT_MS;
/** A call to the platform without an answer may be carried out this much later. */
export const LATE_CALL_MS: Millis = 12_000;
/** Margin for the network latency of an order. */
export const LEASE_MARGIN_MS: Millis = 400;
/** A claim whose answer took longer is based on outdated information and is abandoned. */
export const MAX_CLAIM_LATENCY_MS: Millis = 400;
/** A claim that has not appeared in the store after this long is abandoned and made again. */
export const CLAIM_TIMEOUT_MS: Millis = 800;
/** A replica this far behind the leader may still be paused by a late order. */
export const STUCK_LAG_MS: Millis = 1_500;
/** Gap between status requests to a replica that seems stuck. */
export const STUCK_CHECK_INTERVAL_MS: Millis = 1_000;
/** Gap between repeated reads and list requests without an answer. */
export const READ_INTERVAL_MS: Millis = 500;

/** Wait for missing reports while an order to promote may still take effect. */
export const REPEAT_PROMOTION_MS: Millis = 400;
/** The same while that order is for an instance that has lost its log. */
export const REPLACE_FAILED_MS: Millis = 150;
/** Gap between status requests to a candidate, before and after the order to promote it. */
export const VERIFY_INTERVAL_MS: Millis = 50;
/** Reports older than this are asked for again when an attempt continues under a new claim. */
export const CONTINUED_REPORT_TTL_MS: Millis = 300;
/** A candidate is asked again when its last report is older than this at the order. */
export const CONFIRMATION_TTL_MS: Millis = 150;
/** Most incarnations that a record names. */
export const MAX_RECORD_MEMBERS = 32;
/** Gap between two writes that note a changed membership of the group. */
export const MEMBERS_INTERVAL_MS: Millis = 2_000;

/** What a `TakeoverCoordinator` asks its driver to do. */
export type TakeoverActions = readonly TakeoverAction[];

/** The step that a coordinator's change of the leader has reached. */
export type TakeoverStep =
  | { readonly kind: 'watching' }
  | {
      readonly kind: 'claiming';
      readonly plan: TakeoverPlan;
      /** The reports of the attempt before stay in use. */
      readonly isContinued: boolean;
      readonly record: PromotionRecord;
      /** Version of the record that the claim replaces. */
      readonly expected: StoreVersion;
      readonly sentAt: Millis;
    }
  | {
      readonly kind: 'fencing';
      readonly plan: TakeoverPlan;
      readonly since: Millis;
      /** The replica that a handover promotes; the others stop before it. */
      readonly target?: string | undefined;
      /** End of the leader's log, read after all replicas but the handover's candidate stopped. */
      readonly leaderEnd?: LogPosition | undefined;
    }
  | {
      readonly kind: 'promoting';
      readonly grant: PromotionGrant;
      /** Term of the orders to stop receiving; one that is late does nothing in the next term. */
      readonly fenceTerm: number;
      readonly sentAt: Millis;
      readonly answer: PromotionAnswer | undefined;
    }
  | { readonly kind: 'settling'; readonly since: Millis };

/** The variant of `TakeoverStep` of the given kind. */
export type StepOf<K extends TakeoverStep['kind']> = TakeoverStep & { readonly kind: K };

/** The step without a change in progress. */
export const WATCHING: TakeoverStep = { kind: 'watching' };
