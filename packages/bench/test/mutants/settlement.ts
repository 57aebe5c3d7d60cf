import {
  type Claim,
  type PromotionOrders,
  Settlement,
  type SettlementProof,
} from '@shallotpick/core';

/** How long the product waited before it called a record settled in any case. */
const GIVE_UP_MS = 2_500;

/** Settles a claim after some time, whatever is in flight. */
export class TimedSettlement extends Settlement {
  private since: { readonly token: number; readonly at: number } | undefined;

  override findProof(
    claim: Claim,
    leader: string | undefined,
    now: number,
  ): SettlementProof | undefined {
    const { token } = claim;
    if (this.since?.token !== token) this.since = { token, at: now };
    if (now - this.since.at >= GIVE_UP_MS) return this.createProof(claim);
    return super.findProof(claim, leader, now);
  }

  /** Waits in place of an order that outdates the others. */
  override isPending(): boolean {
    return true;
  }
}

/** Takes a claim for the end of all earlier orders. */
export class ClaimingSettlement extends Settlement {
  override findProof(claim: Claim): SettlementProof | undefined {
    return this.createProof(claim);
  }
}

/** Takes the orders of this process for all that may be in flight. */
export class OwnOrdersSettlement extends Settlement {
  override findProof(
    claim: Claim,
    leader: string | undefined,
    now: number,
  ): SettlementProof | undefined {
    return this.promotions.mayPromoteOther(leader, now) ? undefined : this.createProof(claim);
  }
}

/** How a version of the product settles the record. */
export type SettlementConstructor = new (promotions: PromotionOrders) => Settlement;
