import type { Millis } from '../clock.js';
import type { PromotionOrders } from './promotionorders.js';
import type { PromotionAnswer, PromotionRecord } from './takeovertypes.js';
import { PROMOTION_TIMEOUT_MS } from './takeoverstep.js';

/** A claim of the record that this VM has made. */
export interface Claim {
  readonly record: PromotionRecord;
  /** Fencing token of the orders that rest on it. */
  readonly token: number;
  /** When this VM learnt that it had been written. */
  readonly at: Millis;
}

/**
 * Proof that no order to promote can change the leader until the record is claimed again: neither
 * one of the claim nor one of an earlier claim, whoever sent it. Only a `Settlement` creates one.
 */
class Proof {
  /** Keeps other objects from being taken for a proof. */
  private readonly isProven = true;

  constructor(private readonly claimed: PromotionRecord) {}

  /** Creates the record that tells other VMs of the proof; `attempt` identifies the write. */
  createRecord(
    attempt: string,
    members: Pick<PromotionRecord, 'leader' | 'members'>,
  ): PromotionRecord {
    return {
      ...{ ...this.claimed, attempt, phase: 'settled', failedCandidate: undefined },
      ...members,
    };
  }
}

export type { Proof as SettlementProof };

/** The claim that this VM sent last. */
interface SentClaim {
  readonly attempt: string;
  /** True when only orders of this process may be in flight. */
  readonly isOnlyOwn: boolean;
}

/** The last order that the platform has accepted from this VM. */
interface AcceptedOrder {
  readonly token: number;
  readonly at: Millis;
  /** True once the instance that it names leads in a new term. */
  readonly isEffective: boolean;
}

/**
 * Decides when the group's record may be settled. An order without an answer may be carried out
 * seconds later, unless the platform has seen a newer token by then. So one of these must hold:
 * - the platform has accepted an order of the present claim, and what it may have accepted just
 *   before that has had the time to take effect;
 * - the claim, or the own claims before it, replaced a settled record, and each order that this
 *   process has sent since then can't be carried out any more.
 *
 * A claim alone outdates nothing, and orders of other VMs or of a former process are known to nobody
 * else, so that no time which passes here proves that they have ended.
 */
export class Settlement {
  private sent: SentClaim | undefined;

  private accepted: AcceptedOrder | undefined;

  constructor(protected readonly promotions: PromotionOrders) {}

  /**
   * Notes that this VM claims the record.
   *
   * @param replaced the record that the claim replaces, if it is of the store's present era
   */
  recordClaim(attempt: string, replaced: PromotionRecord | undefined): void {
    const isOnlyOwn = replaced?.phase === 'settled' || this.knowsOrdersOf(replaced);
    this.sent = { attempt, isOnlyOwn };
  }

  /** Handles the platform's answer to an order of this VM. */
  handleAnswer(token: number, answer: PromotionAnswer, now: Millis): void {
    if (answer !== 'accepted' || token < (this.accepted?.token ?? 0)) return;
    this.accepted = { token, at: now, isEffective: false };
  }

  /** Notes that the instance of the last accepted order leads in a new term, which ends all others. */
  handlePromoted(): void {
    this.promotions.removeAll();
    if (this.accepted) this.accepted = { ...this.accepted, isEffective: true };
  }

  /** Finds the proof that lets a claim be settled; undefined while there is none. */
  findProof(claim: Claim, leader: string | undefined, now: Millis): Proof | undefined {
    if (this.promotions.mayPromoteOther(leader, now)) return undefined;
    const isProven = this.knowsOrdersOf(claim.record) || this.hasOutdated(claim.token, now);
    return isProven ? this.createProof(claim) : undefined;
  }

  /** True when time alone leads to a proof, since the platform has seen the claim's token. */
  isPending({ token }: Claim): boolean {
    return this.accepted?.token === token;
  }

  protected createProof({ record }: Claim): Proof {
    return new Proof(record);
  }

  /** True for the last own claim, if only orders of this process may be in flight. */
  private knowsOrdersOf(record: PromotionRecord | undefined): boolean {
    const { sent } = this;
    return sent !== undefined && sent.isOnlyOwn && sent.attempt === record?.attempt;
  }

  /** True when no order with an older token can take effect any more. */
  private hasOutdated(token: number, now: Millis): boolean {
    const { accepted } = this;
    if (accepted?.token !== token) return false;
    return accepted.isEffective || now - accepted.at >= PROMOTION_TIMEOUT_MS;
  }
}
