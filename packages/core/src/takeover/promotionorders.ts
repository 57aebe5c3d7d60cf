import type { Millis } from '../clock.js';
import type { PromotionGrant } from './promotiongate.js';
import { LATE_CALL_MS, LEASE_MARGIN_MS, LEASE_MS, PROMOTION_TIMEOUT_MS } from './takeoverstep.js';
import type { PromotionAnswer, PromotionRecord } from './takeovertypes.js';

/** An order to promote that may still take effect. */
export interface InFlightOrder {
  readonly token: number;
  readonly grant: PromotionGrant;
  readonly sentAt: Millis;
  /** True once the platform has accepted it: no newer token outdates it then. */
  readonly isAccepted: boolean;
  /** Until when it may take effect: it may be carried out late, and takes effect later still. */
  readonly until: Millis;
}

/** The orders to promote that this VM has sent: which may be in flight, and when the next may be. */
export class PromotionOrders {
  /** When this VM may order again after another one has taken over the record. */
  private mayOrderAt: Millis = Number.NEGATIVE_INFINITY;

  /** Orders that may take effect, oldest first. */
  private inFlight: readonly InFlightOrder[] = [];

  /** Fencing token of this VM's last order. */
  private token = 0;

  /** True when another VM may have taken over the record since this VM's last order. */
  private isSuperseded = false;

  /** Notes that another VM may have taken over the record. */
  markSuperseded(): void {
    this.isSuperseded = true;
  }

  /**
   * Notes the first record that this process reads: a former process of this VM may have ordered
   * until now, and what it ordered under an open record of its own may still be carried out.
   */
  adopt({ holder, phase }: PromotionRecord, vm: string, now: Millis): void {
    const lateMs = holder === vm && phase === 'open' ? LATE_CALL_MS : 0;
    this.mayOrderAt = now + LEASE_MS + LEASE_MARGIN_MS + lateMs;
  }

  /** True unless another VM may hold the record, and an order of this one may still count. */
  mayOrder(now: Millis): boolean {
    return !this.isSuperseded || now >= this.mayOrderAt;
  }

  recordOrder(token: number, grant: PromotionGrant, now: Millis): void {
    this.token = token;
    this.mayOrderAt = now + LEASE_MS + LEASE_MARGIN_MS;
    this.isSuperseded = false;
    const until = now + LATE_CALL_MS + PROMOTION_TIMEOUT_MS;
    const sent = { token, grant, sentAt: now, isAccepted: false, until };
    this.inFlight = [...this.listInFlight(now), sent];
  }

  handleAnswer(token: number, answer: PromotionAnswer, now: Millis): void {
    // The platform may see the order only when it is carried out.
    if (token === this.token && answer === 'unknown') this.mayOrderAt += LATE_CALL_MS;
    if (answer === 'refused') this.removeOrder(token);
    if (answer === 'accepted') this.acceptOrder(token, now);
  }

  /** Removes all orders: none can take effect any more. */
  removeAll(): void {
    this.inFlight = [];
  }

  /** True while an order for an instance other than `id` may still take effect. */
  mayPromoteOther(id: string | undefined, now: Millis): boolean {
    return this.listInFlight(now).some(({ grant }) => grant.candidate.id !== id);
  }

  /** Lists the orders that may still take effect, oldest first. */
  listInFlight(now: Millis): readonly InFlightOrder[] {
    return this.inFlight.filter(({ until }) => now < until);
  }

  private removeOrder(token: number): void {
    this.inFlight = this.inFlight.filter((order) => order.token !== token);
  }

  /**
   * An accepted order takes effect soon or not at all. It outdates those with older tokens that the
   * platform has not seen yet; one that got no answer may have been accepted just before.
   */
  private acceptOrder(token: number, now: Millis): void {
    this.inFlight = this.inFlight.map((order) => {
      if (order.token === token) {
        return { ...order, isAccepted: true, until: now + PROMOTION_TIMEOUT_MS };
      }
      if (order.token > token || order.isAccepted) return order;
      return { ...order, until: Math.min(order.until, now + PROMOTION_TIMEOUT_MS) };
    });
  }
}
