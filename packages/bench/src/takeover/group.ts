import type { FenceReport } from '@shallotpick/core';
import type { Random } from '../random.js';
import { AcceptedOrder, type ActingVm, UNSEEN_LOSS_MS } from './acceptedorder.js';
import { Acknowledgements, type CallerConnection, type LostEntry } from './acknowledgements.js';
import { PROMOTION_RULES, type PromotionRules } from './promotionrules.js';
import { Registry } from './registry.js';
import { SyncInstance } from './syncinstance.js';

const WRITE_INTERVAL_MS = 20;
/** Entries that a replica which has started without a log receives in a step. */
const CATCH_UP_ENTRIES = 5;

/** A violated guarantee, its virtual time, and the evidence. */
export interface TakeoverViolation {
  readonly guarantee: string;
  readonly at: number;
  readonly detail: string;
}

/** Appends the entries of the leader that arrive at the replica by `now`. */
function receiveEntries(replica: SyncInstance, leader: SyncInstance, now: number): void {
  const { log, replicationDelayMs, entriesPerStep } = replica;
  const end = Math.min(leader.log.length, log.length + entriesPerStep);
  const sent = leader.log.slice(log.length, end);
  const late = sent.findIndex(({ appendedAt }) => appendedAt + replicationDelayMs > now);
  log.push(...(late === -1 ? sent : sent.slice(0, late)));
  if (log.length > 0) Object.assign(replica, { isBlank: false });
}

/**
 * A group whose leader acknowledges a commit once one replica has received it. Only a promotion
 * order makes another instance the leader; the others then drop the entries that its log lacks.
 */
export class SyncGroup {
  /** All instances that ever ran; VMs see only the registered ones. */
  readonly instances: SyncInstance[];

  readonly registry: Registry;

  readonly acknowledgements = new Acknowledgements();

  term = 1;

  promotions = 0;

  /** Set by a fault: the leader does not reach its replicas. */
  isLeaderPartitioned = false;

  violation: TakeoverViolation | undefined;

  /** Accepted orders that have not taken effect, oldest first. */
  private pendingPromotions: readonly AcceptedOrder[] = [];

  private nextEntry = 1;

  constructor(
    ids: readonly string[],
    private readonly random: Random,
    readonly promotionRules: PromotionRules = PROMOTION_RULES.lasting,
  ) {
    this.instances = ids.map((id) => new SyncInstance(id, random));
    this.registry = new Registry(this.instances);
    const [first] = this.instances;
    if (first) first.isLeader = true;
  }

  findLeader(): SyncInstance | undefined {
    return this.instances.find(({ isLeader }) => isLeader);
  }

  /**
   * Ends an instance that has left and starts its successor, which takes over its address and its
   * log; the platform transfers the log only once the old instance has ended.
   */
  replace(instance: SyncInstance, now: number): void {
    // Another one has taken its place already, after a crash.
    if (instance.isGone) return;
    this.crash(instance);
    Object.assign(instance, { isRegistered: false, isGone: true });
    const successor = this.createSuccessor(instance);
    Object.assign(successor, { startedAt: now, registeredStart: now });
    const leader = this.findLeader();
    if (leader) this.dropEntries(successor, new Set(leader.log.map(({ id }) => id)), now);
  }

  /** Ends an instance's process. */
  crash(instance: SyncInstance): void {
    Object.assign(instance, { isAlive: false, processNumber: instance.processNumber + 1 });
  }

  /** Ends an instance's process, which loses its log. */
  crashWithLog(instance: SyncInstance, now: number): void {
    const { acknowledgements } = this;
    this.crash(instance);
    this.pendingPromotions
      .filter((order) => order.instance === instance)
      .forEach((order) =>
        order.handleLoss(now, instance.log, (id) => acknowledgements.isAcknowledged(id)),
      );
    acknowledgements.addRestartLoss(instance.log.map(({ id }) => id));
    Object.assign(instance, { hasLostLead: instance.isLeader, isLeader: false });
    Object.assign(instance, { log: [], lostLog: instance.log, lostLogAt: now });
  }

  /** Starts an instance under its id, with the log that it still has. */
  restart(instance: SyncInstance): void {
    if (!instance.isGone) Object.assign(instance, { isAlive: true, heldTerm: 0 });
  }

  /** Starts an instance that has lost its log, under its id. */
  restartEmpty(instance: SyncInstance, now: number): void {
    if (instance.isGone) return;
    this.restart(instance);
    Object.assign(instance, { startedAt: now, entriesPerStep: CATCH_UP_ENTRIES });
    Object.assign(instance, { hasLostLead: false, isBlank: true });
  }

  /**
   * Starts an instance that has crashed under a new id at its address, with its log and role. The
   * new one is not registered yet.
   */
  restartUnderNewId(instance: SyncInstance, now: number): SyncInstance {
    const { isLeader } = instance;
    Object.assign(instance, { isAlive: false, isLeader: false, isGone: true });
    const successor = this.createSuccessor(instance);
    return Object.assign(successor, { isLeader, startedAt: now, isRegistered: false });
  }

  /**
   * Advances the group to `now`: completes a due promotion, commits a write on the leader,
   * replicates and acknowledges.
   *
   * @param listConnections lists the connections of VMs to an instance; callers write on them only
   */
  handleStep(
    now: number,
    listConnections: (instance: SyncInstance) => readonly CallerConnection[],
  ): void {
    this.finishPromotions(now);
    this.checkLateConfirmation(now);
    this.registry.update(now);
    const leader = this.findLeader();
    if (!leader?.isAlive) return;
    if (now % WRITE_INTERVAL_MS === 0) this.append(leader, listConnections(leader), now);
    if (!this.isLeaderPartitioned) this.replicate(leader, now);
  }

  private append(
    leader: SyncInstance,
    connections: readonly CallerConnection[],
    now: number,
  ): void {
    if (connections.length === 0) return;
    leader.log.push({ term: this.term, id: this.nextEntry, appendedAt: now, connections });
    this.nextEntry += 1;
  }

  /** Handles an order to stop receiving, step down, resume or report the status. */
  handleOrder(kind: string, id: string, term: number): FenceReport | undefined {
    const instance = this.instances.find((one) => one.id === id);
    if (!instance?.isAlive) return undefined;
    const newestTerm = instance.isBlank ? 0 : this.term;
    if (kind === 'pause' && !instance.isLeader && term > newestTerm) instance.heldTerm = term;
    if (kind === 'stepDown' && instance.isLeader && term > newestTerm) instance.isLeader = false;
    if (kind === 'resume') instance.heldTerm = 0;
    return {
      role: instance.isLeader ? 'primary' : 'replica',
      term: newestTerm,
      received: instance.readPosition(),
      heldTerm: instance.heldTerm,
    };
  }

  /** Starts a promotion; returns false if the instance is down. */
  promote(id: string, token: number, now: number): boolean {
    const { endsByCallForPrimary, endsByCallForStopped } = this.promotionRules;
    const instance = this.instances.find((one) => one.id === id);
    if (!instance?.isAlive) {
      if (endsByCallForStopped) this.endEarlierOrders(token);
      return false;
    }
    if (instance.isLeader) {
      if (endsByCallForPrimary) this.endEarlierOrders(token);
      return true;
    }
    const order = new AcceptedOrder(instance, token, now, this.instances, this.nextEntry);
    if (now - instance.lostLogAt <= UNSEEN_LOSS_MS) this.noteLostLog(order, instance);
    const earlier = this.promotionRules.endsByLaterOrder ? [] : this.pendingPromotions;
    this.pendingPromotions = [...earlier, order];
    return true;
  }

  private noteLostLog(order: AcceptedOrder, { lostLogAt, lostLog }: SyncInstance): void {
    order.handleLoss(lostLogAt, lostLog, (id) => this.acknowledgements.isAcknowledged(id));
  }

  /** Notes whether one of the VMs could outdate the accepted order if its instance lost its log. */
  watchOrder(now: number, vms: readonly ActingVm[]): void {
    this.pendingPromotions.forEach((order) => order.watch(now, this.instances, vms));
  }

  /** Finds the instance of an accepted order that may still take effect. */
  findPendingPromotion(): string | undefined {
    return this.pendingPromotions.find((order) => this.canTakeEffect(order))?.instance.id;
  }

  /** True for an accepted order that changes the leader if its instance runs when it is due. */
  private canTakeEffect({ instance, processNumber }: AcceptedOrder): boolean {
    if (instance.isLeader) return false;
    return instance.processNumber === processNumber || this.promotionRules.outlastsRestart;
  }

  /** Ends the accepted orders that were given under a lower token. */
  private endEarlierOrders(token: number): void {
    this.pendingPromotions = this.pendingPromotions.filter((order) => order.token >= token);
  }

  private createSuccessor(instance: SyncInstance): SyncInstance {
    const id = `db-${this.instances.length}`;
    const successor = new SyncInstance(id, this.random, instance.address);
    successor.log = [...instance.log];
    this.instances.push(successor);
    return successor;
  }

  private replicate(leader: SyncInstance, now: number): void {
    const replicas = this.instances.filter(
      (one) => one !== leader && one.isAlive && !one.isReplicationStopped && one.heldTerm === 0,
    );
    replicas.forEach((replica) => receiveEntries(replica, leader, now));
    const length = Math.max(0, ...replicas.map(({ log }) => log.length));
    const newest = this.acknowledgements.ids.at(-1) ?? 0;
    const first = leader.log.findLastIndex(({ id }) => id <= newest) + 1;
    const entries = leader.log.slice(first, length).map((entry, index) => ({
      ...entry,
      position: { term: entry.term, offset: first + index + 1 },
    }));
    this.acknowledgements.add(entries);
  }

  /** Reports an entry that a caller was told of although a promotion had lost it. */
  private checkLateConfirmation(now: number): void {
    const { confirmedLate } = this.acknowledgements;
    if (confirmedLate === undefined) return;
    const detail = `a caller was told of entry ${confirmedLate} after it had been lost`;
    this.violation ??= { guarantee: 'nothing acknowledged is lost', at: now, detail };
  }

  private finishPromotions(now: number): void {
    const due = this.pendingPromotions.filter(({ at }) => at <= now);
    this.pendingPromotions = this.pendingPromotions.filter(({ at }) => at > now);
    due.forEach((order) => this.finishPromotion(order, now));
  }

  private finishPromotion(pending: AcceptedOrder, now: number): void {
    const { instance } = pending;
    if (!instance.isAlive || !this.canTakeEffect(pending)) return;
    this.term += 1;
    this.promotions += 1;
    const held = new Set(instance.log.map(({ id }) => id));
    this.checkLoss(pending, held, now);
    this.instances.forEach((one) => {
      const isNew = one === instance;
      Object.assign(one, { isLeader: isNew });
      if (isNew) Object.assign(one, { heldTerm: 0, isBlank: false });
      else this.dropEntries(one, held, now);
    });
  }

  /** Drops the entries of an instance that are not held; none may be acknowledged and unjudged. */
  private dropEntries(instance: SyncInstance, held: ReadonlySet<number>, now: number): void {
    const dropped = instance.log.filter(({ id }) => !held.has(id)).map(({ id }) => id);
    const log = instance.log.filter(({ id }) => held.has(id));
    Object.assign(instance, { log });
    this.reportLoss(this.acknowledgements.findUnjudged(dropped), instance, now);
  }

  /**
   * Checks that the promoted log holds what callers were told to be committed. Entries that no
   * order could save are counted.
   */
  private checkLoss(order: AcceptedOrder, held: ReadonlySet<number>, now: number): void {
    const logs = this.instances.filter(({ isGone }) => !isGone).flatMap(({ log }) => log);
    const existing = new Set(logs.map(({ id }) => id));
    this.reportLoss(this.acknowledgements.findLost({ held, existing, order }), order.instance, now);
  }

  private reportLoss(lost: LostEntry | undefined, instance: SyncInstance, now: number): void {
    if (!lost) return;
    const { id, guarantee, reason } = lost;
    const detail = `entry ${id} is not in the log of ${instance.id}, term ${this.term}: ${reason}`;
    this.violation ??= { guarantee, at: now, detail };
  }
}
