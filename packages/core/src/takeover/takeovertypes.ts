import type { Millis } from '../clock.js';
import type { Incarnation } from './incarnation.js';
import type { LogPosition } from '../position.js';

/** A group's record in the platform's store: which VM may order a promotion. */
export interface PromotionRecord {
  readonly group: string;
  /** Era of the store in which the holder claimed the record. */
  readonly era: number;
  /** Counts the attempts; builds without eras send it as fencing token. */
  readonly generation: number;
  /** The VM that may order a promotion. */
  readonly holder: string;
  /** Identifies the write, so that reading back shows the outcome when the answer was lost. */
  readonly attempt: string;
  /** `open`: orders of this holder may still be in flight. */
  readonly phase: 'open' | 'settled';
  /** The change that the holder intends. */
  readonly plan: TakeoverPlan;
  /** Newest term that the holder knew; the former leader's term is not above it. */
  readonly term: number;
  /** The leader at the time of the write, as far as known. */
  readonly leader?: Incarnation | undefined;
  /**
   * A candidate that has lost its log although an order to promote it may still take effect: what it
   * then acknowledged would be lost to the next promotion.
   */
  readonly failedCandidate?: Incarnation | undefined;
  /** Incarnations whose logs may hold acknowledged commits, for VMs that did not see them. */
  readonly members?: readonly Incarnation[] | undefined;
}

/** One VM's knowledge of an instance. */
export interface InstanceView {
  readonly id: string;
  /** Start time in Unix milliseconds as registered; distinguishes restarts under the same id. */
  readonly startedAt: number;
  /** `HOST:PORT`; another instance there takes the place of this one. */
  readonly address: string;
  /**
   * False once its registration has expired. It gets no work then, but may still run, hold
   * acknowledged commits and acknowledge further ones.
   */
  readonly isRegistered: boolean;
  readonly leaving: boolean;
  /** Earliest time at which a leaving instance may end; undefined while that is not known. */
  readonly mayEndAt?: Millis | undefined;
  /** The instance registered itself as primary. */
  readonly reportsPrimary: boolean;
  /** `full`: it is alive but accepts no further connection. */
  readonly health: 'answering' | 'refusing' | 'silent' | 'full' | 'unknown';
  /** Time of the last change of `health`. */
  readonly since: Millis;
  /** The last answer proved that the instance leads. */
  readonly leads: boolean;
  /** Last known end of the log. */
  readonly position: LogPosition | undefined;
  /** When the request was sent whose reply told `position`. */
  readonly positionAt: Millis;
  /** How far the log is behind the leader's. */
  readonly lagMs: Millis | undefined;
}

/** An instance's answer to an order to stop receiving log entries, or to a status request. */
export interface FenceReport {
  readonly role: 'primary' | 'replica';
  /** Newest term that the instance knows. */
  readonly term: number;
  /** End of the received log. */
  readonly received: LogPosition;
  /** Term up to which the instance receives no log entries; 0 when it receives them. */
  readonly heldTerm: number;
}

/** A request of a `TakeoverCoordinator` to the store, an instance or the platform. */
export type TakeoverAction =
  | { readonly kind: 'write'; readonly record: PromotionRecord; readonly expectedVersion: number }
  | { readonly kind: 'read' }
  /** Lists the registered instances again; the new list is used once it has arrived. */
  | { readonly kind: 'refresh'; readonly attempt: string }
  | { readonly kind: 'pause'; readonly instance: string; readonly term: number }
  | { readonly kind: 'stepDown'; readonly instance: string; readonly term: number }
  | { readonly kind: 'status'; readonly instance: string }
  | { readonly kind: 'resume'; readonly instance: string }
  /** Promotes an instance; the platform refuses a token below one that it has seen. */
  | {
      readonly kind: 'promote';
      readonly instance: string;
      readonly token: number;
      readonly ground: PromotionGround;
      readonly evidence: SuccessorEvidence;
    };

/**
 * Why no acknowledged commit can be missing from the log of an instance that is to be promoted:
 * - `leads`: it reported that it leads, so that the order changes nothing;
 * - `leaderEnd`: its log reaches the end that the former leader reported after its step-down;
 * - `allReplicas`: it is the furthest log, and every replica that may have acknowledged has stopped;
 * - `handover`: all other replicas stopped before it reported all that they and the leader held;
 * - `inFlight`: its log still is what an order in flight was granted for;
 * - `formerLeader`: it led last, and its log holds whatever was acknowledged; the order outdates one
 *   in flight for an instance that has lost its log.
 */
export type PromotionGround =
  'leads' | 'leaderEnd' | 'allReplicas' | 'handover' | 'inFlight' | 'formerLeader';

/** An instance's report with the start that it was told by. */
export interface StartReport {
  readonly instance: string;
  readonly startedAt: number;
  readonly role: FenceReport['role'];
  /** `TERM/OFFSET` */
  readonly received: string;
  readonly heldTerm: number;
  /** When the VM that logs this asked for the report, on its own clock. */
  readonly at: Millis;
}

/** What a choice of a successor rests on, for the log. */
export interface SuccessorEvidence {
  readonly formerLeader: string | undefined;
  /** Incarnations whose logs may hold acknowledged commits, as `ID@START`. */
  readonly holders: readonly string[];
  /** Those that may run and have not reported, the former leader among them. */
  readonly unreported: readonly string[];
  /** Those whose logs are gone, or have been missing for longer than a takeover waits. */
  readonly givenUp: readonly string[];
  readonly reports: readonly StartReport[];
}

/**
 * `takeover`: the leader is lost. `handover`: it is leaving. `raise`: the leader stays and only
 * the fencing token is raised, which invalidates earlier orders.
 */
export type TakeoverPlan = 'takeover' | 'handover' | 'raise';

/** `unknown`: no answer arrived, and the order may still take effect. */
export type PromotionAnswer = 'accepted' | 'refused' | 'unknown';
