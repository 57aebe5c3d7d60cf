import type { Millis } from '@shallotpick/core';
import { wait } from '@shallotpick/engine';
import * as z from 'zod';
import type { EmulatedGroup } from './group.js';
import { type HttpRequest, type HttpResult, HttpService } from './httpservice.js';
import type { EmulatorObserver } from './observer.js';

const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_CONFLICT = 409;
/** Delays between which a late order is carried out. */
const MIN_LATE_ORDER_MS: Millis = 2_000;
const MAX_LATE_ORDER_MS: Millis = 12_000;

const promotionSchema = z.object({ service: z.string(), id: z.string() });

/** Finds the group that a promotion request names. */
type FindGroup = (name: string) => EmulatedGroup | undefined;

/**
 * The platform's promotion service. It rejects a generation below the highest one seen for the
 * group, and reports the others to the observer. A share of the requests may get no response and be
 * carried out late; their generation is checked then.
 */
export class PromotionService extends HttpService {
  /** Share of the requests that get no response and are carried out 2 to 12 s late. */
  lateShare = 0;

  private readonly highestGenerations = new Map<string, number>();

  private readonly late = new Set<Promise<void>>();

  constructor(
    private readonly findGroup: FindGroup,
    private readonly observer: EmulatorObserver,
    private readonly random: () => number,
  ) {
    super(async (request) => this.receive(request));
  }

  /** Waits until no request is left that is carried out late. */
  async waitForLateOrders(): Promise<void> {
    while (this.late.size > 0) await Promise.all(this.late);
  }

  private async receive(request: HttpRequest): Promise<HttpResult | undefined> {
    if (this.lateShare === 0 || this.random() >= this.lateShare) return this.carryOut(request);
    const done = this.carryOutLate(request).finally(() => this.late.delete(done));
    this.late.add(done);
    return undefined;
  }

  private async carryOutLate(request: HttpRequest): Promise<void> {
    await wait(MIN_LATE_ORDER_MS + this.random() * (MAX_LATE_ORDER_MS - MIN_LATE_ORDER_MS));
    await this.carryOut(request);
  }

  private async carryOut({ headers, body }: HttpRequest): Promise<HttpResult> {
    const parsed = promotionSchema.safeParse(body);
    if (!parsed.success) return { status: STATUS_BAD_REQUEST };
    const { service: name, id } = parsed.data;
    const generation = Number(headers['x-fencing-token']);
    const highest = this.highestGenerations.get(name) ?? 0;
    if (generation < highest) return { status: STATUS_CONFLICT };
    this.highestGenerations.set(name, generation);
    const holder = String(headers['x-lease-holder']);
    this.observer.handlePromotionRequest({ group: name, holder, generation });
    const orders = this.findGroup(name)?.orders;
    if (!orders) return { status: STATUS_CONFLICT };
    const order = orders.receive(id);
    if (orders.arrivalHandlers.size > 0) await orders.notifyArrival(order);
    const decision = orders.decide(order, generation > highest);
    return { status: decision === 'refused' ? STATUS_CONFLICT : STATUS_OK };
  }
}
