import type { Millis } from './clock.js';
import type { LogPosition } from './position.js';

/** The group's object in the platform's store: who may order a promotion, and under which number. */
export interface PromotionRecord {
  readonly group: string;
  /** Rises with each attempt; sent as the fencing token of the promotion. */
  readonly generation: number;
  /** The VM that holds this generation. */
  readonly holder: string;
  /** Identifies the write, so that a lost answer is settled by reading back. */
  readonly attempt: string;
  /** `open`: orders under this generation may be on their way. */
  readonly phase: 'open' | 'settled';
  /** What the holder set out to do. */
  readonly plan: TakeoverPlan;
  /** Newest term of the group that the holder knew; the former leader leads in it or before. */
  readonly term: number;
}

/** What one VM knows of an instance. */
export interface InstanceView {
  readonly id: string;
  readonly leaving: boolean;
  /** Registered as primary, by its own report. */
  readonly reportsPrimary: boolean;
  /** `full`: it lives, and has no room for another connection. */
  readonly health: 'answering' | 'refusing' | 'silent' | 'full' | 'unknown';
  /** Since when `health` has been what it is. */
  readonly since: Millis;
  /** The last answer proved that the instance leads. */
  readonly leads: boolean;
  /** Last known position of the log. */
  readonly position: LogPosition | undefined;
  /** How far the log is behind the leader's. */
  readonly lagMs: Millis | undefined;
}

/** What an instance answered to an order to stop receiving, or to a status request. */
export interface FenceReport {
  readonly role: 'primary' | 'replica';
  /** Newest term that the instance knows. */
  readonly term: number;
  /** End of the received log. */
  readonly received: LogPosition;
  /** Term up to which the instance receives nothing; 0 when it receives. */
  readonly heldTerm: number;
}

export type TakeoverAction =
  | { readonly kind: 'write'; readonly record: PromotionRecord; readonly expectedVersion: number }
  | { readonly kind: 'read' }
  /** Lists the registered instances anew; they count from the answer on. */
  | { readonly kind: 'refresh'; readonly attempt: string }
  | { readonly kind: 'pause'; readonly instance: string; readonly term: number }
  | { readonly kind: 'stepDown'; readonly instance: string; readonly term: number }
  | { readonly kind: 'status'; readonly instance: string }
  | { readonly kind: 'resume'; readonly instance: string }
  | { readonly kind: 'promote'; readonly instance: string; readonly generation: number };

/** `takeover`: the leader is lost. `handover`: it is leaving. `raise`: only outdates old orders. */
export type TakeoverPlan = 'takeover' | 'handover' | 'raise';

/** `unknown`: no answer came, the order may still be carried out. */
export type PromotionAnswer = 'accepted' | 'refused' | 'unknown';
