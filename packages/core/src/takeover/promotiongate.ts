import type { Millis } from '../clock.js';
import { type Incarnation, isSameIncarnation } from './incarnation.js';
import { isAlive } from './instanceview.js';
import type { LogPosition } from '../position.js';
import type { InFlightOrder } from './promotionorders.js';
import type { SuccessorSelector } from './successor.js';
import { CONFIRMATION_TTL_MS } from './takeoverstep.js';
import type { InstanceView, PromotionGround } from './takeovertypes.js';

/** Grounds under which the candidate and all other replicas have stopped receiving. */
const FROZEN_GROUNDS: ReadonlySet<PromotionGround> = new Set([
  'leaderEnd',
  'allReplicas',
  'inFlight',
]);

/**
 * A candidate that refuses connections for this long is down: the first failure may be that of an
 * old connection, and new ones have been tried since.
 */
const REFUSING_CANDIDATE_MS: Millis = 60;

/** Permission to order a promotion; only a `PromotionGate` creates one. */
class Grant {
  /** Keeps other objects from being taken for a grant. */
  private readonly isGranted = true;

  constructor(
    readonly candidate: Incarnation,
    readonly ground: PromotionGround,
    /** End of the candidate's log as it reported; undefined if it was not asked. */
    readonly received: LogPosition | undefined,
    /** Later starts under the candidate's incarnation that reports had shown by then. */
    readonly unlistedStarts: number,
    /** Newest term that was known by then. */
    readonly term: number,
  ) {}
}

export type { Grant as PromotionGrant };

/** A grant, or the instance that has to be asked once more before there can be one. */
export type GateAnswer =
  | { readonly kind: 'granted'; readonly grant: Grant }
  | { readonly kind: 'unconfirmed'; readonly instance: string };

/** A candidate that is being asked for its state before it is promoted. */
interface Confirmation {
  readonly instance: string;
  readonly askedAt: Millis;
}

/**
 * Decides whether an instance may be promoted. Every order to promote needs a grant, whose ground
 * states why no acknowledged commit can be missing from the candidate's log. A choice without a
 * ground waits.
 */
export class PromotionGate {
  private confirmation: Confirmation | undefined;

  /** Grants whose candidates were seen to be down after the order, and have lost their logs. */
  private readonly lost = new WeakSet<Grant>();

  constructor(protected readonly selector: SuccessorSelector) {}

  /** Notes that an instance is asked for its state. */
  startConfirmation(instance: string, now: Millis): void {
    this.confirmation = { instance, askedAt: now };
  }

  /** Grants the leader that stays, once it has reported under the present claim that it leads. */
  grantLeader(leader: InstanceView): Grant | undefined {
    const report = this.selector.findReport(leader.id);
    const isLeading = report?.role === 'primary' && report.startedAt === leader.startedAt;
    if (
      !isLeading ||
      !this.selector.isIntact(leader, leader.position, this.selector.countUnlistedStarts(leader))
    ) {
      return undefined;
    }
    return this.createGrant(leader, 'leads');
  }

  /** Grants the successor that the reports show to hold every acknowledged commit. */
  grantSuccessor(instances: readonly InstanceView[], now: Millis): GateAnswer | undefined {
    const chosen = this.selector.chooseSuccessor(instances);
    const candidate = instances.find(({ id }) => id === chosen);
    if (!candidate) return undefined;
    const ground = this.selector.knowsLeaderEnd() ? 'leaderEnd' : 'allReplicas';
    return this.grantConfirmed(candidate, ground, now);
  }

  /** Grants the replica that holds what the stopped ones held, and the leader at `end`. */
  grantHandover(
    candidate: InstanceView,
    others: readonly string[],
    end: LogPosition | undefined,
  ): Grant | undefined {
    const { selector } = this;
    const isReceiving = selector.findReport(candidate.id)?.heldTerm === 0;
    if (!isReceiving || !selector.isUpToDate(candidate.id, others, end)) return undefined;
    return this.createGrant(candidate, 'handover');
  }

  /**
   * Grants an order that repeats the one in flight although reports are missing: for the same
   * candidate, while it has its log.
   */
  grantRepeat(
    { grant }: InFlightOrder,
    instances: readonly InstanceView[],
    now: Millis,
  ): GateAnswer | undefined {
    const same = instances.find((one) => isSameIncarnation(one, grant.candidate));
    if (!same || !this.selector.findReport(same.id) || !isAlive(same)) return undefined;
    return this.grantConfirmed(same, 'inFlight', now);
  }

  /**
   * Grants an order that replaces one for an instance which has lost its log. All others had stopped
   * when that one was granted, so a log that reaches as far holds as much.
   */
  grantEqual(
    { grant }: InFlightOrder,
    instances: readonly InstanceView[],
    now: Millis,
  ): GateAnswer | undefined {
    const { received, ground } = grant;
    if (!received || !FROZEN_GROUNDS.has(ground)) return undefined;
    const id = this.selector.findStoppedAt(received, instances);
    const equal = instances.find((one) => one.id === id);
    return equal && this.grantConfirmed(equal, 'inFlight', now);
  }

  /**
   * Grants the former leader in place of an instance that has lost its log, if a replica shows that
   * no other one has led since.
   */
  grantFormerLeader({ grant }: InFlightOrder): GateAnswer | undefined {
    const leader = this.selector.findCompleteLeader();
    const { id } = grant.candidate;
    if (!leader || leader.id === id) return undefined;
    if (!this.selector.hasOtherReport(id)) return undefined;
    return {
      kind: 'granted',
      grant: new Grant(leader, 'formerLeader', undefined, 0, this.selector.newestTerm),
    };
  }

  /**
   * Notes the candidates of orders in flight that refuse connections since the order: the process has
   * ended, and a later start of it will know nothing. Waiting for that start would be too late, since
   * it may be back just before it leads.
   */
  updateInFlight(
    orders: readonly InFlightOrder[],
    instances: readonly InstanceView[],
    now: Millis,
  ): void {
    orders.forEach(({ grant, sentAt }) => {
      // One that leads is the concern of the next takeover, which needs new reports.
      const hasLed = grant.ground === 'leads' || this.selector.newestTerm > grant.term;
      if (hasLed || this.lost.has(grant)) return;
      const view = instances.find((one) => isSameIncarnation(one, grant.candidate));
      if (view?.health !== 'refusing' || view.since < sentAt) return;
      if (now - view.since < REFUSING_CANDIDATE_MS) return;
      this.lost.add(grant);
      this.selector.removeReport(view.id);
    });
  }

  /**
   * False once the candidate has lost the log for which it was chosen. A stopped replica that has
   * received more since its report is no reason to name another one: no VM hands on what it
   * acknowledged since (`CommitGate`), and an accepted order may take effect beside a later one.
   */
  isValid(grant: Grant): boolean {
    const { candidate, received, unlistedStarts } = grant;
    return !this.lost.has(grant) && this.selector.isIntact(candidate, received, unlistedStarts);
  }

  /** True once the instance has answered again after all that a choice among them needs. */
  protected isConfirmed(instance: string, now: Millis): boolean {
    const { confirmation } = this;
    const report = this.selector.findReport(instance);
    if (!report || confirmation?.instance !== instance) return false;
    return report.at >= confirmation.askedAt && now - report.at <= CONFIRMATION_TTL_MS;
  }

  /** Grants a candidate that has answered once more: a restart may have lost its log. */
  private grantConfirmed(
    candidate: InstanceView,
    ground: PromotionGround,
    now: Millis,
  ): GateAnswer {
    if (!this.isConfirmed(candidate.id, now)) {
      return { kind: 'unconfirmed', instance: candidate.id };
    }
    return { kind: 'granted', grant: this.createGrant(candidate, ground) };
  }

  protected createGrant(candidate: InstanceView, ground: PromotionGround): Grant {
    const received = this.selector.findReport(candidate.id)?.received;
    const unlistedStarts = this.selector.countUnlistedStarts(candidate);
    return new Grant(candidate, ground, received, unlistedStarts, this.selector.newestTerm);
  }
}
