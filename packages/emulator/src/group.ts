import type { Millis } from '@shallotpick/core';
import { wait } from '@shallotpick/engine';
import { EmulatedInstance, type EmulatedInstanceOptions } from './instance.js';
import type { InstanceLog, ItemWrite, LogEntry } from './instancelog.js';
import { LogLedger } from './logledger.js';
import { EmulatorObserver } from './observer.js';
import {
  DEFAULT_PROMOTION_RULES,
  type PromotionOrder,
  PromotionOrders,
  type PromotionRules,
} from './promotionorders.js';

/** Interval between two checks whether replicas have received a commit. */
const POLL_MS: Millis = 1;

/** Timing and replication settings of a group. */
export interface EmulatedGroupOptions {
  readonly name: string;
  readonly synchronousReplicas: number;
  /** Time from a promotion request until the promotion takes effect. */
  readonly promoteMs: Millis;
  /** What the platform does with accepted orders; `DEFAULT_PROMOTION_RULES` unless set. */
  readonly promotionRules?: PromotionRules;
  /** Time that an entry takes to reach a replica. */
  readonly replicationDelayMs: Millis;
  /** Time from the receipt of an entry until it is visible to reads. */
  readonly applyLagMs: Millis;
  readonly instance: Omit<EmulatedInstanceOptions, 'id' | 'zone'>;
}

/**
 * A leader and its replicas. A commit is acknowledged once `synchronousReplicas` replicas have
 * received it; only a promotion request changes the leader.
 */
export class EmulatedGroup {
  instances: readonly EmulatedInstance[] = [];

  term = 1;

  /** Stops replication between the leader and its replicas. */
  isPartitioned = false;

  private nextInstance = 1;

  readonly orders: PromotionOrders;

  /** Called with each new leader. */
  readonly promotionHandlers = new Set<(leader: EmulatedInstance) => void>();

  private readonly ledger = new LogLedger(() => this.instances);

  constructor(
    readonly options: EmulatedGroupOptions,
    readonly observer: EmulatorObserver,
  ) {
    this.orders = new PromotionOrders({
      ...{ rules: options.promotionRules ?? DEFAULT_PROMOTION_RULES, promoteMs: options.promoteMs },
      ...{ ledger: this.ledger, findInstance: (id) => this.findInstance(id) },
      promote: (instance, order) => this.applyPromotion(instance, order),
    });
  }

  get name(): string {
    return this.options.name;
  }

  findLeader(): EmulatedInstance | undefined {
    return this.instances.find(({ isLeader: leads }) => leads);
  }

  findInstance(id: string): EmulatedInstance | undefined {
    return this.instances.find((one) => one.id === id);
  }

  /** Tells whether the log of an instance holds every acknowledged commit. */
  hasEverything({ log }: EmulatedInstance): boolean {
    return this.ledger.hasEverything(log);
  }

  /** Adds and starts an instance; the first one leads, others receive the leader's whole log. */
  async addInstance(zone: string): Promise<EmulatedInstance> {
    const id = this.issueId();
    const instance = new EmulatedInstance({ ...this.options.instance, id, zone }, this);
    instance.term = this.term;
    instance.isLeader = this.instances.length === 0;
    this.instances = [...this.instances, instance];
    await instance.start(0);
    return instance;
  }

  /** Returns an id that no instance of the group has had. */
  issueId(): string {
    const id = `${this.name}-${this.nextInstance}`;
    this.nextInstance += 1;
    return id;
  }

  /** Remembers the entries of a log that an instance has lost. */
  handleDroppedLog(log: InstanceLog): void {
    this.ledger.addDropped(log);
    this.orders.handleDroppedLog(log);
  }

  /** Removes an instance with its log. */
  async removeInstance(instance: EmulatedInstance): Promise<void> {
    await instance.stop();
    this.instances = this.instances.filter((one) => one !== instance);
  }

  /** Commits at the leader and waits for enough replicas; false when the outcome is unknown. */
  async commit(leader: EmulatedInstance, writes: readonly ItemWrite[]): Promise<boolean> {
    const { synchronousReplicas } = this.options;
    const entry: LogEntry = { term: this.term, writes };
    const { log } = leader;
    log.entries.push(entry);
    const { length } = log.entries;
    const { term } = this;
    this.shipEntry(leader, length, entry);
    for (;;) {
      if (!leader.isAlive || !leader.isLeader || this.term !== term) return false;
      const holders = this.instances.filter(
        (one) => one !== leader && this.hasEntry(one, entry, length),
      );
      if (holders.length >= synchronousReplicas) break;
      await wait(POLL_MS);
    }
    log.apply(length);
    this.ledger.addAcknowledged(entry, length);
    this.observer.handleCommit({ group: this.name, instance: leader.id, entry, offset: length });
    return true;
  }

  /** Requests a promotion as one call with a new token; false if the instance is not running. */
  promote(id: string): boolean {
    return this.orders.decide(this.orders.receive(id), true) !== 'refused';
  }

  /** Ships missing entries to the replicas; called at a short interval. */
  catchUpReplicas(): void {
    const leader = this.findLeader();
    if (!leader?.isAlive) return;
    this.instances.forEach((replica) => this.catchUp(leader, replica));
  }

  private hasEntry(instance: EmulatedInstance, entry: LogEntry, length: number): boolean {
    return instance.isAlive && instance.log.entries[length - 1] === entry;
  }

  private isReceiving(leader: EmulatedInstance, replica: EmulatedInstance): boolean {
    const isOpen = !this.isPartitioned && !replica.isReplicationStopped && replica.heldTerm === 0;
    return replica !== leader && replica.isAlive && isOpen;
  }

  private shipEntry(leader: EmulatedInstance, length: number, entry: LogEntry): void {
    this.instances.forEach((replica) => {
      setTimeout(() => {
        if (!leader.isAlive || !leader.isLeader || !this.isReceiving(leader, replica)) return;
        if (replica.log.entries.length === length - 1) replica.log.entries.push(entry);
        this.applyLater(replica, length);
      }, this.options.replicationDelayMs);
    });
  }

  private catchUp(leader: EmulatedInstance, replica: EmulatedInstance): void {
    if (!this.isReceiving(leader, replica)) return;
    const { entries } = replica.log;
    const missing = leader.log.entries.slice(entries.length);
    if (missing.length === 0) return;
    setTimeout(() => {
      if (!leader.isLeader || !this.isReceiving(leader, replica)) return;
      replica.updateTerm(this.term);
      const next = replica.log.entries.length;
      replica.log.entries.push(...leader.log.entries.slice(next));
      this.applyLater(replica, replica.log.entries.length);
    }, this.options.replicationDelayMs);
  }

  private applyLater(replica: EmulatedInstance, length: number): void {
    setTimeout(() => {
      if (replica.isAlive && !replica.isLeader) replica.log.apply(length);
    }, this.options.applyLagMs);
  }

  private applyPromotion(instance: EmulatedInstance, order: PromotionOrder): void {
    this.term += 1;
    const { entries } = instance.log;
    instance.log.apply(entries.length);
    const lostEntries = this.ledger.takeLost(order.heldAtArrival);
    this.instances.forEach((one) => {
      one.updateLeadership(one === instance, this.term);
      if (one !== instance) this.truncateDivergentEntries(one, entries);
    });
    this.ledger.applyPromotion(entries);
    const { name: group, term } = this;
    const lostLog = order.describeLoss();
    const promotion = { group, instance: instance.id, term, entries, lostEntries };
    this.observer.handlePromotion({ ...promotion, ...(lostLog && { lostLog }) });
    [...this.promotionHandlers].forEach((handle) => handle(instance));
  }

  /** Truncates the log after its common prefix with the new leader's log. */
  private truncateDivergentEntries(instance: EmulatedInstance, entries: readonly LogEntry[]): void {
    const own = instance.log.entries;
    const divergentIndex = own.findIndex((entry, index) => entry !== entries[index]);
    if (divergentIndex >= 0) instance.log.reset(own.slice(0, divergentIndex));
  }
}
