import type { Millis } from '../clock.js';
import { rankVms } from '../membership/rendezvous.js';

const SECOND_MS: Millis = 1_000;
/** Length of the intervals in which operations are counted. */
export const COUNT_INTERVAL_MS: Millis = 100;
const MIN_PERMIT_MS: Millis = 200;
/** Share of the slack that VMs without a lender may use; the rest of it is lent. */
const FLOOR_SHARE = 0.5;
/** Largest share of a limit that is lent before a quorum has a copy of the accounts. */
const UNCONFIRMED_SHARE = 0.5;
const MIN_UNCONFIRMED = 10;

/** The rate at which an organisation may start operations, over all VMs. */
export interface OperationRate {
  readonly ratePerSecond: number;
  /** Operations that may start at once after a pause. */
  readonly burst: number;
}

/**
 * How strictly rate limits hold: in each window the fleet may start
 * `(rate * window + burst) * (1 + excess) + slack` operations of an organisation.
 */
export interface QuotaRule {
  readonly windowMs: Millis;
  readonly excess: number;
  readonly slack: number;
}

/** Time from the request for a permit until the permit ends. */
export function computePermitLifetime({ windowMs, excess }: QuotaRule): Millis {
  return Math.max(MIN_PERMIT_MS, windowMs * excess - COUNT_INTERVAL_MS);
}

/** Time for which a permit counts: it may be used at the end of its life. */
export function computeAccountSpan(rule: QuotaRule): Millis {
  return rule.windowMs + computePermitLifetime(rule);
}

/** Permits that may be issued within an account's span. */
export function computeIssueLimit(rate: OperationRate, rule: QuotaRule): number {
  const owed = (rate.ratePerSecond * rule.windowMs) / SECOND_MS + rate.burst;
  return Math.floor(owed * (1 + rule.excess) + rule.slack * (1 - FLOOR_SHARE));
}

/** Permits that may be issued before a quorum knows of them. */
export function computeUnconfirmedLimit(issueLimit: number): number {
  return Math.max(MIN_UNCONFIRMED, Math.floor(issueLimit * UNCONFIRMED_SHARE));
}

/**
 * Operations of an organisation that a VM may start in a window without a lender. Where the VMs
 * outnumber the operations, some VMs may start one and the others none.
 */
export function computeFloor(
  vm: string,
  vms: readonly string[],
  organisation: string,
  { slack }: QuotaRule,
): number {
  const total = Math.floor(slack * FLOOR_SHARE);
  if (!vms.includes(vm)) return 0;
  if (vms.length <= total) return Math.floor(total / vms.length);
  return rankVms(`floor|${organisation}`, vms).indexOf(vm) < total ? 1 : 0;
}
