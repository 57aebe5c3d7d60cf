import type { GroupCompleteness } from './handover.js';
import type { FencingOrders } from './fencing.js';
import type { OrderTimer } from './ordertimer.js';
import type { PromotionGate, PromotionGrant } from './promotiongate.js';
import type { PromotionOrders } from './promotionorders.js';
import type { Settlement } from './settlement.js';
import type { SuccessorSelector } from './successor.js';
import type { StepOf, TakeoverActions } from './takeoverstep.js';
import type { TakeoverPlan } from './takeovertypes.js';

/** What the steps of an attempt to change the leader work with. */
export interface AttemptContext {
  readonly selector: SuccessorSelector;
  readonly gate: PromotionGate;
  readonly orders: FencingOrders;
  readonly promotions: PromotionOrders;
  readonly settlement: Settlement;
  readonly completeness: GroupCompleteness;
  readonly timer: OrderTimer;
}

/** What an attempt does next. */
export type AttemptDecision =
  | { readonly kind: 'act'; readonly actions: TakeoverActions }
  | { readonly kind: 'promote'; readonly grant: PromotionGrant }
  /** Continues with a changed step. */
  | { readonly kind: 'update'; readonly step: StepOf<'fencing'>; readonly actions: TakeoverActions }
  /** Claims the record anew, for another plan or since this claim can't go on. */
  | { readonly kind: 'claim'; readonly plan: TakeoverPlan }
  /** Claims it anew to replace an order for an instance that has lost its log, on the same reports. */
  | { readonly kind: 'replaceOrder' }
  /** Ends the attempt: settles the record, or makes sure first that no older order is in flight. */
  | { readonly kind: 'settle' }
  /** Abandons the attempt and reads the record again. */
  | { readonly kind: 'restart' };

/** Creates the decision to take actions and stay in the step. */
export function createAction(actions: TakeoverActions): AttemptDecision {
  return { kind: 'act', actions };
}

/** Nothing to do until the next tick. */
export const WAIT: AttemptDecision = { kind: 'act', actions: [] };
