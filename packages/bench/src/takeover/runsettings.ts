import { LOST_LOG_TIMEOUT_MS } from '@shallotpick/core';
import { chooseOverlapRules, choosePromotionRules, type PromotionRules } from './promotionrules.js';

/** Every fault starts within this time. */
export const FAULT_WINDOW_MS = 8_000;
export const MAX_FAULT_MS = 6_000;
/** Longest fault of runs with outages. */
export const MAX_OUTAGE_FAULT_MS = 12_000;
/** Longest time for which a fault cuts an instance from the store. */
export const MAX_STORE_CUT_MS = 26_000;
/** Longer than a delayed order is in flight. */
const LATE_ORDERS_MS = 13_000;
const SETTLE_MS = 15_000;

/** How long a run lasts after its warm-up, and what the VMs notice. */
export interface RunSettings {
  /** By this time every fault has ended and every delayed order has been carried out. */
  readonly faultsEndMs: number;
  /** Once the faults have ended, the group must have a leader and replicating replicas in this time. */
  readonly settleMs: number;
  /** Whether a VM notices at its next tick when the process of an instance that it reaches ends. */
  readonly showsCrashes: boolean;
  /**
   * Whether the entry of an instance that is down expires, and a fault that ends an instance leaves
   * alone one that is down already.
   */
  readonly hasOutages: boolean;
  /** What the platform does with calls to promote, by the seed; `PROMOTION_RULES.lasting` if absent. */
  readonly choosePromotionRules?: (seed: number) => PromotionRules;
}

/** Settings of runs without restarts that lose a log. */
export const DEFAULT_RUN_SETTINGS: RunSettings = {
  faultsEndMs: FAULT_WINDOW_MS + MAX_FAULT_MS + LATE_ORDERS_MS,
  settleMs: SETTLE_MS,
  showsCrashes: false,
  hasOutages: false,
};

/** Settings of runs in which the group may wait for a log that only the former leader holds. */
export const RESTART_RUN_SETTINGS: RunSettings = {
  faultsEndMs: FAULT_WINDOW_MS + MAX_STORE_CUT_MS + LATE_ORDERS_MS,
  settleMs: LOST_LOG_TIMEOUT_MS + SETTLE_MS,
  showsCrashes: true,
  hasOutages: false,
};

/** Settings of runs in which VMs differ in what they reach. */
export const PARTITION_RUN_SETTINGS: RunSettings = {
  ...DEFAULT_RUN_SETTINGS,
  showsCrashes: true,
  choosePromotionRules: chooseOverlapRules,
};

/**
 * Settings of runs with faults of up to MAX_OUTAGE_FAULT_MS. Two of them in a row, as of a new leader
 * that crashes, end within MAX_STORE_CUT_MS, and so does the delay of their last orders.
 */
export const OUTAGE_RUN_SETTINGS: RunSettings = {
  ...RESTART_RUN_SETTINGS,
  hasOutages: true,
  choosePromotionRules,
};
