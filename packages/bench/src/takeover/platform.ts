import type { PromotionRecord } from '@shallotpick/core';
import type { Random } from '../random.js';
import type { SyncGroup, TakeoverViolation } from './group.js';
import type { VirtualClock } from './clock.js';

const CALL_MS = 4;
/** An order whose answer is lost is carried out this much later, at most. */
const MAX_LATE_MS = 12_000;
const LEASE_MS = 3_000;
const LOSS_RATE = 0.4;

export interface PlatformRules {
  /** Whether the store refuses a write whose expected version is not the current one. */
  readonly checksVersions: boolean;
  /** Whether promotions are refused under a generation lower than one already seen. */
  readonly checksFence: boolean;
}

interface Ordered {
  readonly vm: string;
  readonly generation: number;
  readonly at: number;
}

/** The store's record, the promotion service, and the orders to instances, with their faults. */
export class SimulatedPlatform {
  record: PromotionRecord | undefined;

  version = 0;

  isDown = false;

  losesAnswers = false;

  losesOrders = false;

  losesPromotions = false;

  violation: TakeoverViolation | undefined;

  private highest = 0;

  private readonly ordered: Ordered[] = [];

  constructor(
    private readonly timeline: VirtualClock,
    private readonly random: Random,
    private readonly group: SyncGroup,
    private readonly rules: PlatformRules,
  ) {}

  write(
    record: PromotionRecord,
    expected: number,
    answer: (outcome: 'written' | 'conflict' | 'unknown', version: number) => void,
  ): void {
    const apply = (): boolean => {
      if (this.rules.checksVersions && expected !== this.version) return false;
      this.version += 1;
      this.record = record;
      return true;
    };
    const isLost = this.losesAnswers && this.random.next() < LOSS_RATE;
    if (this.isDown || isLost) {
      if (!this.isDown) this.timeline.schedule(this.random.nextInt(MAX_LATE_MS / 2), apply);
      this.timeline.schedule(1_000, () => answer('unknown', 0));
      return;
    }
    this.timeline.schedule(CALL_MS, () => {
      const isWritten = apply();
      const { version } = this;
      this.timeline.schedule(CALL_MS, () => answer(isWritten ? 'written' : 'conflict', version));
    });
  }

  read(answer: (record: PromotionRecord | undefined, version: number) => void): void {
    if (this.isDown) return;
    this.timeline.schedule(CALL_MS, () => answer(this.record, this.version));
  }

  promote(
    vm: string,
    instance: string,
    generation: number,
    answer: (result: 'accepted' | 'refused' | 'unknown') => void,
  ): void {
    const isLate = this.losesPromotions && this.random.next() < LOSS_RATE;
    const apply = (): 'accepted' | 'refused' => this.applyPromotion(vm, instance, generation);
    if (isLate) {
      this.timeline.schedule(2_000 + this.random.nextInt(MAX_LATE_MS - 2_000), apply);
      this.timeline.schedule(400, () => answer('unknown'));
      return;
    }
    this.timeline.schedule(CALL_MS, () => {
      const result = apply();
      this.timeline.schedule(CALL_MS, () => answer(result));
    });
  }

  /** Delivers an order to an instance; one that is lost is carried out seconds later. */
  sendOrder(run: () => void, answer: () => void): void {
    if (this.losesOrders && this.random.next() < LOSS_RATE) {
      this.timeline.schedule(2_000 + this.random.nextInt(MAX_LATE_MS - 2_000), run);
      return;
    }
    this.timeline.schedule(2, () => {
      run();
      this.timeline.schedule(2, answer);
    });
  }

  private applyPromotion(vm: string, instance: string, generation: number): 'accepted' | 'refused' {
    if (this.rules.checksFence && generation < this.highest) return 'refused';
    this.highest = Math.max(this.highest, generation);
    this.checkOrder({ vm, generation, at: this.timeline.now });
    return this.group.promote(instance, this.timeline.now) ? 'accepted' : 'refused';
  }

  private checkOrder(order: Ordered): void {
    const shared = this.ordered.find(
      ({ vm, generation }) => generation === order.generation && vm !== order.vm,
    );
    const last = this.ordered.at(-1);
    const own = this.ordered.findLast(({ vm }) => vm === order.vm);
    const isTurn = last !== undefined && last.vm !== order.vm && own !== undefined;
    this.ordered.push(order);
    if (shared) {
      this.report(`${shared.vm} and ${order.vm} share generation ${order.generation}`, order.at);
    } else if (isTurn && order.at - own.at < LEASE_MS) {
      this.report(`${order.vm} and ${last.vm} take turns`, order.at);
    }
  }

  private report(detail: string, at: number): void {
    this.violation ??= { guarantee: 'one holder orders promotions', at, detail };
  }
}
