import type { Millis } from '@shallotpick/core';
import type { EmulatedInstance } from './instance.js';
import type { InstanceLog, LogEntry } from './instancelog.js';
import type { LogLedger } from './logledger.js';

/**
 * What becomes of an accepted order whose instance has started again before the order takes effect:
 * the instance leads if it has kept log and id, never leads, or leads with whatever it holds.
 */
export type RestartedInstanceRule = 'leadsWithItsLog' | 'neverLeads' | 'leadsAnyway';

/** A call with a higher token that names the present primary, or an instance that is not running. */
export type EndingCall = 'unchanged' | 'refused';

/** What the platform does with accepted orders where its page doesn't say it. */
export interface PromotionRules {
  readonly restartedInstance: RestartedInstanceRule;
  /** The later calls that end an accepted order that has not taken effect yet. */
  readonly endingCalls: readonly EndingCall[];
  /** True when an accepted order ends those before it; otherwise each takes effect in its time. */
  readonly endsEarlierOrders: boolean;
}

/** The rules of a group unless its options set others. */
export const DEFAULT_PROMOTION_RULES: PromotionRules = {
  restartedInstance: 'leadsWithItsLog',
  endingCalls: [],
  endsEarlierOrders: false,
};

/** What the platform did with a call. */
export type PromotionDecision = 'accepted' | EndingCall;

/** A promotion order from its arrival at the platform until it takes effect or ends. */
export class PromotionOrder {
  /** True once another running instance held everything acknowledged while the log was lost. */
  private isHeldElsewhere = false;

  /** When the named instance lost the log that it had as the order arrived. */
  private lostAt: LostLog['lostAt'] | undefined;

  /** True once the platform has accepted the order. */
  private isAccepted = false;

  constructor(
    readonly id: string,
    /** Log of the named instance when the order arrived. */
    readonly log: InstanceLog | undefined,
    /** Entries that any log of the group held when the order arrived. */
    readonly heldAtArrival: ReadonlySet<LogEntry>,
  ) {}

  /** Remembers that the platform has accepted the order. */
  accept(): void {
    this.isAccepted = true;
  }

  /** Remembers that the log is lost, and whether another running instance holds everything. */
  handleLostLog(isHeldElsewhere: boolean): void {
    this.lostAt ??= this.isAccepted ? 'afterAcceptance' : 'arrival';
    this.isHeldElsewhere ||= isHeldElsewhere;
  }

  /** Tells which log was lost since the arrival; undefined if the instance still has it. */
  describeLoss(): LostLog | undefined {
    const { lostAt, isHeldElsewhere, log } = this;
    return lostAt && { entries: log?.entries ?? [], isHeldElsewhere, lostAt };
  }
}

/** The log that a named instance lost between the arrival of its order and its promotion. */
export interface LostLog {
  readonly entries: readonly LogEntry[];
  /** True if another running instance held everything acknowledged at the loss or the promotion. */
  readonly isHeldElsewhere: boolean;
  /** Whether it was lost as the order arrived, or after the platform had accepted it. */
  readonly lostAt: 'arrival' | 'afterAcceptance';
}

/** Settings and collaborators of the orders of a group. */
export interface PromotionOrdersOptions {
  readonly rules: PromotionRules;
  /** Time from an order until the promotion takes effect. */
  readonly promoteMs: Millis;
  readonly ledger: LogLedger;
  readonly findInstance: (id: string) => EmulatedInstance | undefined;
  /** Makes the instance the leader. */
  readonly promote: (instance: EmulatedInstance, order: PromotionOrder) => void;
}

/** Takes the promotion orders of a group and carries them out after the promotion time. */
export class PromotionOrders {
  /** Called with the named instance when an order arrives; its decision waits for the promises. */
  readonly arrivalHandlers = new Set<(named: EmulatedInstance) => Promise<void> | void>();

  /** Orders that have arrived and neither taken effect nor ended. */
  private readonly open = new Set<PromotionOrder>();

  constructor(private readonly options: PromotionOrdersOptions) {}

  /** Remembers what the group holds as an order arrives. */
  receive(id: string): PromotionOrder {
    const { ledger, findInstance } = this.options;
    const order = new PromotionOrder(id, findInstance(id)?.log, ledger.listHeld());
    this.open.add(order);
    return order;
  }

  /** Calls the handlers of arrivals, and waits for them. */
  async notifyArrival({ id }: PromotionOrder): Promise<void> {
    const instance = this.options.findInstance(id);
    if (instance) await Promise.all([...this.arrivalHandlers].map((handle) => handle(instance)));
  }

  /** Accepts or refuses an order; `isNewer` tells that its token is higher than all before. */
  decide(order: PromotionOrder, isNewer: boolean): PromotionDecision {
    const instance = this.options.findInstance(order.id);
    const decision = this.classify(instance);
    if (decision !== 'accepted') this.open.delete(order);
    if (decision === 'accepted' && instance) this.schedule(order, instance);
    else if (isNewer && this.options.rules.endingCalls.some((call) => call === decision)) {
      this.open.clear();
    }
    return decision;
  }

  /** Tells the orders for an instance that it has lost its log. */
  handleDroppedLog(log: InstanceLog): void {
    this.open.forEach((order) => {
      if (order.log === log) order.handleLostLog(this.options.ledger.hasRunningHolder(order.id));
    });
  }

  private classify(instance: EmulatedInstance | undefined): PromotionDecision {
    if (!instance?.isAlive) return 'refused';
    return instance.isLeader ? 'unchanged' : 'accepted';
  }

  private schedule(order: PromotionOrder, instance: EmulatedInstance): void {
    const { promoteMs, ledger, promote } = this.options;
    const { log, starts } = instance;
    if (this.options.rules.endsEarlierOrders) this.endOthers(order);
    order.accept();
    setTimeout(() => {
      const isOpen = this.open.delete(order);
      if (!isOpen || instance.id !== order.id) return;
      if (!instance.isAlive || instance.isLeader) return;
      if (!this.mayLead(instance.log === log, instance.starts === starts)) return;
      if (order.describeLoss()) order.handleLostLog(ledger.hasRunningHolder(order.id));
      promote(instance, order);
    }, promoteMs);
  }

  private endOthers(order: PromotionOrder): void {
    this.open.forEach((one) => {
      if (one !== order) this.open.delete(one);
    });
  }

  private mayLead(hasLog: boolean, isSameStart: boolean): boolean {
    const { restartedInstance } = this.options.rules;
    if (restartedInstance === 'leadsAnyway') return true;
    return hasLog && (isSameStart || restartedInstance === 'leadsWithItsLog');
  }
}
