import type { AttemptDecision } from './attemptcontext.js';
import type { Millis } from '../clock.js';
import { FencingOrders } from './fencing.js';
import { FencingStep } from './fencingstep.js';
import { type Incarnation, isSamePlace } from './incarnation.js';
import { findLeader, isAlive } from './instanceview.js';
import { GroupCompleteness, INCOMPLETE_GROUP_WAIT_MS } from './handover.js';
import { OrderTimer } from './ordertimer.js';
import { PromotionGate, type PromotionGrant } from './promotiongate.js';
import { PromotionOrders } from './promotionorders.js';
import { PromotingStep } from './promotingstep.js';
import { formatSettledClaim, hasSameMembers, PromotionRecordView } from './recordview.js';
import { compareStoreVersions, type StoreVersion } from '../configuration/storeversion.js';
import { type Claim, Settlement, type SettlementProof } from './settlement.js';
import { SuccessorSelector } from './successor.js';
import { findRequiredPlan } from './requiredplan.js';
import type {
  FenceReport,
  InstanceView,
  PromotionAnswer,
  PromotionRecord,
  TakeoverPlan,
} from './takeovertypes.js';
import {
  ATTEMPT_TIMEOUT_MS,
  CONTINUED_REPORT_TTL_MS,
  CLAIM_TIMEOUT_MS,
  MAX_CLAIM_LATENCY_MS,
  RECORD_TTL_MS,
  MAX_RECORD_MEMBERS,
  MEMBERS_INTERVAL_MS,
  RAISE_RETRY_MS,
  RANK_STAGGER_MS,
  READ_INTERVAL_MS,
  WATCHING,
  type StepOf,
  type TakeoverActions,
  type TakeoverStep,
} from './takeoverstep.js';

/** Options of a `TakeoverCoordinator`. */
export interface TakeoverOptions {
  readonly group: string;
  readonly vm: string;
  readonly createAttempt: () => string;
}

/**
 * Replaces the leader of a group whose commits are acknowledged by one synchronous replica. An
 * acknowledged commit is on the leader and on at least one replica, so a candidate is safe when
 * every replica that may have acknowledged has stopped receiving and reported its position, or
 * when the former leader has stepped down and reported its own. docs/failover.md explains why.
 */
export class TakeoverCoordinator {
  /** The claim on which the present attempt rests. */
  private claimed: Claim | undefined;

  private step: TakeoverStep = WATCHING;

  private rank = 0;

  private readonly timer = new OrderTimer();

  private readonly orders: FencingOrders;

  private readonly promotions = new PromotionOrders();

  private readonly settlement: Settlement;

  private readonly completeness = new GroupCompleteness();

  private readonly fencing: FencingStep;

  private readonly promoting: PromotingStep;

  private planSince: { readonly plan: TakeoverPlan; readonly at: Millis } | undefined;

  constructor(
    private readonly options: TakeoverOptions,
    private readonly selector: SuccessorSelector = new SuccessorSelector(),
    private readonly view: PromotionRecordView = new PromotionRecordView(),
    private readonly gate: PromotionGate = new PromotionGate(selector),
    createSettlement: (promotions: PromotionOrders) => Settlement = (promotions) =>
      new Settlement(promotions),
  ) {
    const { timer, promotions, completeness } = this;
    this.orders = new FencingOrders(selector, timer);
    this.settlement = createSettlement(promotions);
    const { orders, settlement } = this;
    const context = { selector, gate, orders, promotions, settlement, completeness, timer };
    this.fencing = new FencingStep(context);
    this.promoting = new PromotingStep(context);
  }

  /** True while this VM or, as far as known, another one is changing the leader. */
  isChanging(now: Millis): boolean {
    return this.view.isAttemptOpen(now) || this.step.kind !== 'watching';
  }

  /** Lists the incarnations for which a takeover waits, as `ID@START`. */
  listAwaited(instances: readonly InstanceView[]): readonly string[] {
    return this.selector.listAwaited(instances);
  }

  /** False for a registered instance that has never answered in time. */
  isEligible(instance: string): boolean {
    return this.selector.isEligible(instance);
  }

  /**
   * True for the leader that a takeover replaces, also when it is back under another id, and for a
   * candidate that has lost its log. What it acknowledges may be lost.
   */
  isBeingReplaced(instance: Incarnation): boolean {
    return this.view.listReplaced().some((one) => isSamePlace(instance, one));
  }

  /** The group's record as this VM knows it. */
  readRecord(): PromotionRecord | undefined {
    return this.view.record;
  }

  /** Identifies the settled claim of the group's record; undefined unless none is open. */
  findSettledClaim(): string | undefined {
    const record = this.view.readCurrent();
    return record && this.view.isKnown() ? formatSettledClaim(record) : undefined;
  }

  /** Sets this VM's rank among the live VMs; 0 acts first. */
  updateRank(rank: number): void {
    this.rank = rank;
  }

  /** Handles the record, or its absence: revision 0, or an object that can't be read. */
  handleRecord(
    record: PromotionRecord | undefined,
    version: StoreVersion,
    now: Millis,
  ): TakeoverActions {
    const { step, view } = this;
    const isNewEra = version.era > view.version.era;
    const isFirst = view.record === undefined;
    if (!view.update(record, version, now)) return [];
    if (record && isFirst) this.promotions.adopt(record, this.options.vm, now);
    if (record) this.selector.adopt(record);
    const isOwn = record?.holder === this.options.vm;
    // A claim of another VM may be among the writes that the store has lost.
    if (isNewEra || (record && !isOwn)) this.promotions.markSuperseded();
    if (this.findSettledClaim() !== undefined) this.promotions.removeAll();
    if (step.kind === 'watching') return [];
    if (step.kind === 'claiming') return this.handleClaimResult(step, isOwn, now);
    // Another VM's claim ends the attempt of this one. One of an earlier era, written late, has no
    // holder that acts on it.
    if (!isOwn && view.isCurrent()) this.updateStep(WATCHING);
    return [];
  }

  private handleClaimResult(
    step: StepOf<'claiming'>,
    isOwn: boolean,
    now: Millis,
  ): TakeoverActions {
    const isClaimed = this.view.record?.attempt === step.record.attempt;
    // A claim that was made in view of an earlier era's record has met the condition by chance.
    if (isClaimed && this.view.isCurrent()) return this.startAttempt(step, now);
    const isBeaten = compareStoreVersions(this.view.version, step.expected) > 0;
    if (isClaimed || !isOwn || isBeaten) this.updateStep(WATCHING);
    return [];
  }

  /** Reads the record back after a write that conflicted or whose outcome is unknown. */
  handleWriteFailure(): TakeoverActions {
    return [{ kind: 'read' }];
  }

  /** Handles the report of an instance's start at `startedAt`, asked for at `askedAt`. */
  handleReport(instance: string, startedAt: number, report: FenceReport, askedAt?: Millis): void {
    this.selector.addReport(instance, startedAt, report, askedAt);
  }

  /** Notes that the instances listed for `attempt` are in use from now on. */
  handleRefreshed(attempt: string): void {
    if (attempt === this.claimed?.record.attempt) this.fencing.handleListed();
  }

  handleResumed(instance: string): void {
    this.orders.handleResumed(instance);
  }

  handlePromotion(token: number, answer: PromotionAnswer, now: Millis): void {
    const { step } = this;
    this.promotions.handleAnswer(token, answer, now);
    this.settlement.handleAnswer(token, answer, now);
    if (step.kind !== 'promoting' || token !== this.claimed?.token) return;
    this.step = { ...step, answer };
  }

  /** Decides the next actions from the present state of the instances. */
  handleTick(views: readonly InstanceView[], now: Millis): TakeoverActions {
    this.selector.updateInstances(views, now);
    const instances = this.selector.listEligible(views);
    this.completeness.updateInstances(instances, now);
    this.gate.updateInFlight(this.promotions.listInFlight(now), instances, now);
    const { step } = this;
    if (!this.view.isKnown()) return this.awaitRecord('read', instances, now);
    switch (step.kind) {
      case 'claiming':
        return this.checkClaim(step, instances, now);
      case 'fencing':
        return this.decideAttempt(step, instances, now);
      case 'promoting':
        return this.decideAttempt(step, instances, now);
      case 'settling':
        return this.settle(step.since, instances, now);
      default:
        return this.watch(instances, now);
    }
  }

  private updateStep(step: TakeoverStep): void {
    this.step = step;
    this.timer.clear();
  }

  private watch(instances: readonly InstanceView[], now: Millis): TakeoverActions {
    if (this.rank === 0 && this.view.record) {
      const checks = this.orders.checkLagging(instances, now);
      if (checks.length > 0) return checks;
    }
    const stepDown = this.assistHolder(instances, now);
    if (stepDown.length > 0) return stepDown;
    const plan = this.findPlan(instances, now);
    if (plan !== this.planSince?.plan) this.planSince = plan && { plan, at: now };
    if (!plan || !this.planSince) return this.noteMembers(instances, now);
    const since = Math.max(this.planSince.at, this.view.findClaimableAt());
    if (now - since < this.rank * RANK_STAGGER_MS) return [];
    // Another VM's attempt is in progress.
    if (this.view.isAttemptOpen(now) && !this.isHolder()) return [];
    if (!this.promotions.mayOrder(now)) return [];
    if (plan !== 'handover' || this.completeness.isComplete(instances, now)) {
      return this.claim(plan, now);
    }
    return now - this.planSince.at < INCOMPLETE_GROUP_WAIT_MS ? [] : this.claim('takeover', now);
  }

  /**
   * Makes the former leader step down, in case the VM that holds the record does not reach it.
   * Until the promotion takes effect, commits of the former leader could be acknowledged by a
   * replica that has just joined.
   */
  private assistHolder(instances: readonly InstanceView[], now: Millis): TakeoverActions {
    if (this.isHolder() || !this.view.isAttemptOpen(now)) return [];
    return this.stopFormerLeader(instances, now);
  }

  private stopFormerLeader(instances: readonly InstanceView[], now: Millis): TakeoverActions {
    const record = this.view.readCurrent();
    return record ? this.orders.stopFormerLeader(record, instances, this.isHolder(), now) : [];
  }

  private isHolder(): boolean {
    return this.view.record?.holder === this.options.vm;
  }

  private findPlan(instances: readonly InstanceView[], now: Millis): TakeoverPlan | undefined {
    const required = findRequiredPlan(instances, this.selector, now);
    if (required || !findLeader(instances)) return required;
    const { view } = this;
    const isAbandoned = this.isHolder() ? this.mayRaiseOwn(now) : view.isAbandoned(now);
    const isStuck = instances.some(({ id }) => (this.selector.findReport(id)?.heldTerm ?? 0) > 0);
    // Orders of a claim that the store has lost may still be in flight.
    return isAbandoned || isStuck || !view.isCurrent() ? 'raise' : undefined;
  }

  /**
   * True when this VM holds an open record that it could not settle. While its plan is not `raise`,
   * other VMs take the leader for one that is being replaced.
   */
  private mayRaiseOwn(now: Millis): boolean {
    const { record, seenAt } = this.view;
    if (record?.phase !== 'open') return false;
    return record.plan !== 'raise' || now - seenAt >= RAISE_RETRY_MS;
  }

  private claim(plan: TakeoverPlan, now: Millis, isContinued = false): TakeoverActions {
    const { view } = this;
    if (now < view.findClaimableAt()) {
      this.updateStep(WATCHING);
      return [];
    }
    const { group, vm, createAttempt } = this.options;
    const record: PromotionRecord = {
      group,
      era: view.version.era,
      generation: (view.record?.generation ?? 0) + 1,
      holder: vm,
      attempt: createAttempt(),
      phase: 'open',
      plan,
      term: this.selector.newestTerm,
      failedCandidate: this.findFailedCandidate(now),
      ...this.describeMembers(),
    };
    const { version: expected } = view;
    this.settlement.recordClaim(record.attempt, view.readCurrent());
    this.updateStep({ kind: 'claiming', plan, record, expected, sentAt: now, isContinued });
    this.timer.isDue('claim', now);
    return [{ kind: 'write', record, expectedVersion: view.version.revision }];
  }

  /** The candidate of an order that may still take effect, if it has lost its log. */
  private findFailedCandidate(now: Millis): Incarnation | undefined {
    const orders = this.promotions.listInFlight(now);
    return orders.find(({ grant }) => !this.gate.isValid(grant))?.grant.candidate;
  }

  private describeMembers(): Pick<PromotionRecord, 'leader' | 'members'> {
    const members = this.selector.listMembers().slice(-MAX_RECORD_MEMBERS);
    return { leader: this.selector.readLeader(), members };
  }

  /** Notes a changed membership in the record, for VMs that start later. */
  private noteMembers(instances: readonly InstanceView[], now: Millis): TakeoverActions {
    const record = this.view.readCurrent();
    if (this.rank > 0 || record?.phase !== 'settled' || !findLeader(instances)) return [];
    const isSteady = instances.every((one) => one.isRegistered && isAlive(one));
    const next = { ...record, ...this.describeMembers() };
    if (!isSteady || hasSameMembers(record, next)) return [];
    if (!this.timer.isDue('members', now, MEMBERS_INTERVAL_MS)) return [];
    const attempt = this.options.createAttempt();
    const expectedVersion = this.view.version.revision;
    return [{ kind: 'write', record: { ...next, attempt }, expectedVersion }];
  }

  private checkClaim(
    step: StepOf<'claiming'>,
    instances: readonly InstanceView[],
    now: Millis,
  ): TakeoverActions {
    // A write that takes effect late fails its condition or is found by the next claim.
    if (now - step.sentAt >= CLAIM_TIMEOUT_MS) return this.restart(now);
    return this.awaitRecord('claim', instances, now);
  }

  /** Reads the record at intervals, since the store may not return it for seconds. */
  private awaitRecord(
    order: 'read' | 'claim',
    instances: readonly InstanceView[],
    now: Millis,
  ): TakeoverActions {
    const reads = this.timer.isDue(order, now, READ_INTERVAL_MS) ? [{ kind: 'read' } as const] : [];
    return [...reads, ...this.stopFormerLeader(instances, now)];
  }

  private startAttempt(
    { plan, record, sentAt, isContinued }: StepOf<'claiming'>,
    now: Millis,
  ): TakeoverActions {
    const token = this.view.computeToken(this.view.version);
    this.claimed = { record, token, at: now };
    if (isContinued) this.selector.dropReportsBefore(now - CONTINUED_REPORT_TTL_MS);
    else this.selector.clearReports();
    this.fencing.reset(isContinued);
    const isLate = now - sentAt >= MAX_CLAIM_LATENCY_MS;
    this.updateStep(
      isLate ? { kind: 'settling', since: now } : { kind: 'fencing', plan, since: now },
    );
    return [];
  }

  /** Takes the next actions of an attempt that rests on this VM's claim. */
  private decideAttempt(
    step: StepOf<'fencing'> | StepOf<'promoting'>,
    instances: readonly InstanceView[],
    now: Millis,
  ): TakeoverActions {
    const { record } = this.claimed ?? {};
    if (!record) return this.restart(now);
    const decision =
      step.kind === 'fencing'
        ? this.fencing.decide(step, record.attempt, instances, now)
        : this.promoting.decide(step, record, instances, now);
    return this.applyDecision(decision, instances, now);
  }

  private applyDecision(
    decision: AttemptDecision,
    instances: readonly InstanceView[],
    now: Millis,
  ): TakeoverActions {
    switch (decision.kind) {
      case 'update':
        this.step = decision.step;
        return decision.actions;
      case 'promote':
        return this.promote(decision.grant, instances, now);
      case 'claim':
        return this.claim(decision.plan, now);
      case 'replaceOrder':
        return this.claim('takeover', now, true);
      case 'settle':
        return this.startSettling(instances, now);
      case 'restart':
        return this.restart(now);
      default:
        return decision.actions;
    }
  }

  private promote(
    grant: PromotionGrant,
    instances: readonly InstanceView[],
    now: Millis,
  ): TakeoverActions {
    const { claimed } = this;
    // Another VM may have taken over a record of this age.
    if (!claimed || now - claimed.at >= RECORD_TTL_MS) {
      return this.claim(grant.ground === 'leads' ? 'raise' : 'takeover', now);
    }
    const { token } = claimed;
    const { candidate, ground } = grant;
    this.promotions.recordOrder(token, grant, now);
    const fenceTerm = this.selector.newestTerm + 1;
    this.updateStep({ kind: 'promoting', grant, fenceTerm, sentAt: now, answer: undefined });
    const evidence = this.selector.describeEvidence(instances);
    return [{ kind: 'promote', instance: candidate.id, token, ground, evidence }];
  }

  /** Abandons the attempt and reads the record again, which another VM may have changed. */
  private restart(now: Millis): TakeoverActions {
    this.updateStep(WATCHING);
    this.planSince = undefined;
    this.timer.isDue('read', now);
    this.view.reset();
    return [{ kind: 'read' }];
  }

  private startSettling(instances: readonly InstanceView[], now: Millis): TakeoverActions {
    this.updateStep({ kind: 'settling', since: now });
    return this.settle(now, instances, now);
  }

  /** Resumes the stopped instances, then settles the record once there is a proof. */
  private settle(since: Millis, instances: readonly InstanceView[], now: Millis): TakeoverActions {
    this.orders.dropUnreachable(instances);
    const mayWait = now - since < ATTEMPT_TIMEOUT_MS;
    if (mayWait && this.orders.hasStopped()) return this.orders.resumeAll(now);
    const { claimed, view } = this;
    // The store has lost a claim of an earlier era; its group gets a new one.
    if (!claimed || claimed.record.era !== view.version.era) return this.endAttempt();
    const leader = findLeader(instances);
    const proof = this.settlement.findProof(claimed, leader?.id, now);
    if (proof) return this.writeSettled(proof);
    // The record stays open until the next takeover has ordered a promotion.
    if (!leader) return this.endAttempt();
    return this.settlement.isPending(claimed) ? [] : this.claim('raise', now);
  }

  private endAttempt(): TakeoverActions {
    this.orders.clear();
    this.selector.clearReports();
    this.updateStep(WATCHING);
    this.planSince = undefined;
    return [];
  }

  private writeSettled(proof: SettlementProof): TakeoverActions {
    this.endAttempt();
    const record = proof.createRecord(this.options.createAttempt(), this.describeMembers());
    return [{ kind: 'write', record, expectedVersion: this.view.version.revision }];
  }
}
