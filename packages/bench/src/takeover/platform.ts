import type { PromotionRecord, StoreVersion } from '@shallotpick/core';
import type { Random } from '../random.js';
import type { SyncGroup, TakeoverViolation } from './group.js';
import type { VirtualClock } from './clock.js';

/** Time in which a call reaches the store or the platform, and in which its answer returns. */
export const CALL_MS = 4;
/** Time in which an order reaches an instance, and in which its answer returns. */
export const INSTANCE_CALL_MS = 2;
/** Longest delay after which a call without an answer still takes effect. */
const MAX_LATE_MS = 12_000;
const LEASE_MS = 3_000;
const LOSS_RATE = 0.4;

/** Checks of the platform; specs switch them off. */
export interface PlatformRules {
  /** Whether the store rejects a write whose expected version is not the current one. */
  readonly checksVersions: boolean;
  /** Whether a promotion is refused if its token is lower than one already seen. */
  readonly checksFence: boolean;
}

/** A promotion that the platform accepted from a VM. */
interface PromotionOrder {
  readonly vm: string;
  readonly token: number;
  readonly at: number;
}

/** A call to promote that the platform has not carried out yet. */
interface CallInFlight {
  readonly instance: string;
  readonly token: number;
}

/** The record at some time, and the store's revision at its last change. */
interface RecordCopy {
  readonly record: PromotionRecord | undefined;
  readonly version: number;
  readonly at: number;
}

/** Simulates the store with one record, the promotion service and the delivery of orders. */
export class SimulatedPlatform {
  record: PromotionRecord | undefined;

  version = 0;

  /** Rises each time the store comes back from an older copy. */
  era = 1;

  isDown = false;

  losesAnswers = false;

  losesOrders = false;

  losesPromotions = false;

  /** Every call to promote is carried out late, without an answer. */
  delaysPromotions = false;

  violation: TakeoverViolation | undefined;

  private readonly history: RecordCopy[] = [];

  private highestToken = 0;

  private readonly promotionOrders: PromotionOrder[] = [];

  private readonly callsInFlight = new Set<CallInFlight>();

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: Random,
    private readonly group: SyncGroup,
    private readonly rules: PlatformRules,
  ) {}

  write(
    record: PromotionRecord,
    expected: number,
    answer: (outcome: 'written' | 'conflict' | 'unknown', version: StoreVersion) => void,
  ): void {
    const apply = (): boolean => {
      if (this.rules.checksVersions && expected !== this.version) return false;
      this.version += 1;
      this.record = record;
      this.history.push({ record, version: this.version, at: this.clock.now });
      if (record.phase === 'settled') this.checkSettled(record);
      return true;
    };
    const isLost = this.losesAnswers && this.random.next() < LOSS_RATE;
    if (this.isDown || isLost) {
      if (!this.isDown) this.clock.schedule(this.random.nextInt(MAX_LATE_MS / 2), apply);
      this.clock.schedule(1_000, () => answer('unknown', { era: 0, revision: 0 }));
      return;
    }
    this.clock.schedule(CALL_MS, () => {
      const isWritten = apply();
      const version = this.readVersion();
      this.clock.schedule(CALL_MS, () => answer(isWritten ? 'written' : 'conflict', version));
    });
  }

  /** Finds the record as it was at a time. */
  findCopy(at: number): RecordCopy {
    const copy = this.history.findLast((one) => one.at <= at);
    return copy ?? { record: undefined, version: 0, at };
  }

  /** Comes back from an older copy, which loses what was written since. */
  restore({ record, version, at }: RecordCopy): void {
    this.isDown = false;
    this.era += 1;
    this.record = record;
    this.version = version;
    this.history.splice(0, this.history.length, { record, version, at });
  }

  readVersion(): StoreVersion {
    return { era: this.era, revision: this.version };
  }

  read(answer: (record: PromotionRecord | undefined, version: StoreVersion) => void): void {
    if (this.isDown) return;
    this.clock.schedule(CALL_MS, () => answer(this.record, this.readVersion()));
  }

  promote(
    vm: string,
    instance: string,
    token: number,
    answer: (result: 'accepted' | 'refused' | 'unknown') => void,
  ): void {
    const isLost = this.losesPromotions && this.random.next() < LOSS_RATE;
    const isLate = isLost || this.delaysPromotions;
    const call: CallInFlight = { instance, token };
    this.callsInFlight.add(call);
    const apply = (): 'accepted' | 'refused' => {
      this.callsInFlight.delete(call);
      return this.applyPromotion(vm, instance, token);
    };
    if (isLate) {
      this.clock.schedule(2_000 + this.random.nextInt(MAX_LATE_MS - 2_000), apply);
      this.clock.schedule(400, () => answer('unknown'));
      return;
    }
    this.clock.schedule(CALL_MS, () => {
      const result = apply();
      this.clock.schedule(CALL_MS, () => answer(result));
    });
  }

  /** Delivers an order to an instance; during a fault it may run seconds later, without an answer. */
  sendOrder(run: () => void, answer: () => void): void {
    if (this.losesOrders && this.random.next() < LOSS_RATE) {
      this.clock.schedule(2_000 + this.random.nextInt(MAX_LATE_MS - 2_000), run);
      return;
    }
    this.clock.schedule(INSTANCE_CALL_MS, () => {
      run();
      this.clock.schedule(INSTANCE_CALL_MS, answer);
    });
  }

  private applyPromotion(vm: string, instance: string, token: number): 'accepted' | 'refused' {
    if (!this.isInForce(token)) return 'refused';
    this.checkPromotionOrder({ vm, token, at: this.clock.now });
    const isRunning = this.group.promote(instance, token, this.clock.now);
    if (isRunning || this.group.promotionRules.raisesFenceWhenStopped) {
      this.highestToken = Math.max(this.highestToken, token);
    }
    return isRunning ? 'accepted' : 'refused';
  }

  private checkPromotionOrder(order: PromotionOrder): void {
    const shared = this.promotionOrders.find(
      ({ vm, token }) => token === order.token && vm !== order.vm,
    );
    const last = this.promotionOrders.at(-1);
    const isTurn = this.isTurn(order.vm, order.at);
    this.promotionOrders.push(order);
    if (shared) {
      this.report(`${shared.vm} and ${order.vm} share token ${order.token}`, order.at);
    } else if (isTurn) {
      this.report(`${order.vm} and ${last?.vm} alternate as holder`, order.at);
    }
  }

  /** True if an order of the VM at this time takes turns with another VM inside the lease. */
  isTurn(vm: string, at: number): boolean {
    const last = this.promotionOrders.at(-1);
    const own = this.promotionOrders.findLast((one) => one.vm === vm);
    return last !== undefined && last.vm !== vm && own !== undefined && at - own.at < LEASE_MS;
  }

  /** True while every call is carried out and answered at once. */
  isCalm(): boolean {
    const { isDown, losesAnswers, losesOrders, losesPromotions, delaysPromotions } = this;
    return !(isDown || losesAnswers || losesOrders || losesPromotions || delaysPromotions);
  }

  private report(detail: string, at: number): void {
    this.violation ??= { guarantee: 'one holder orders promotions', at, detail };
  }

  /** Checks a record that was written as settled: no order may change the leader any more. */
  private checkSettled({ holder, generation }: PromotionRecord): void {
    const leader = this.group.findLeader()?.id;
    const called = [...this.callsInFlight].find(
      ({ instance, token }) => instance !== leader && this.isInForce(token),
    );
    const ordered = called?.instance ?? this.group.findPendingPromotion();
    if (ordered === undefined) return;
    const state = called ? 'may still be carried out' : 'has not taken effect';
    this.violation ??= {
      guarantee: 'no record is settled while an order may change the leader',
      at: this.clock.now,
      detail: `${holder} settled claim ${generation}; an order for ${ordered} ${state}`,
    };
  }

  /** False for a token that is older than one which the platform has seen. */
  private isInForce(token: number): boolean {
    return !this.rules.checksFence || token >= this.highestToken;
  }
}
