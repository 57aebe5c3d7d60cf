import type { Millis } from './clock.js';
import { SuccessorSelector } from './successor.js';
import { findLeader, findRequiredPlan } from './requiredplan.js';
import type {
  FenceReport,
  InstanceView,
  PromotionAnswer,
  PromotionRecord,
  TakeoverPlan,
} from './takeovertypes.js';
import {
  PROMOTION_ANSWER_TIMEOUT_MS,
  ATTEMPT_TIMEOUT_MS,
  CLAIM_TIMEOUT_MS,
  MAX_CLAIM_LATENCY_MS,
  HANDOVER_TIMEOUT_MS,
  RECORD_TTL_MS,
  PROMOTION_TIMEOUT_MS,
  LEASE_MS,
  LEASE_MARGIN_MS,
  RANK_STAGGER_MS,
  READ_INTERVAL_MS,
  ORDER_REPEAT_MS,
  STUCK_LAG_MS,
  STUCK_CHECK_INTERVAL_MS,
  WATCHING,
  chooseHandoverTarget,
  type StepOf,
  type TakeoverActions,
  type TakeoverStep,
} from './takeoverstep.js';

export interface TakeoverOptions {
  readonly group: string;
  readonly vm: string;
  readonly createAttempt: () => string;
}

/**
 * Replaces the leader of a group whose commits are acknowledged by one synchronous replica. An
 * acknowledged commit is on the leader and on at least one replica, so a candidate is safe when
 * every replica that may have acknowledged has stopped receiving and told its position, or when
 * the former leader has stepped down and told its own. docs/failover.md has the argument.
 */
export class TakeoverCoordinator {
  private record: PromotionRecord | undefined;

  private version = 0;

  private isKnown = false;

  private recordSeenAt: Millis = 0;

  private step: TakeoverStep = WATCHING;

  private rank = 0;

  /** Instances that have been ordered to stop and not yet been resumed. */
  private readonly stopped = new Set<string>();

  private readonly sentAt = new Map<string, Millis>();

  /** When this VM last ordered a promotion. */
  private orderedAt: Millis = Number.NEGATIVE_INFINITY;

  /** Another VM has taken over the record since. */
  private isSuperseded = false;

  /** The instances are those that the store has listed since the claim. */
  private isRefreshed = false;

  private needSince: { readonly plan: TakeoverPlan; readonly at: Millis } | undefined;

  constructor(
    private readonly options: TakeoverOptions,
    private readonly ledger: SuccessorSelector = new SuccessorSelector(),
  ) {}

  /** True while a change of the leader is under way here or, as far as known, elsewhere. */
  isChanging(now: Millis): boolean {
    const isOpen = this.record?.phase === 'open' && now - this.recordSeenAt < ATTEMPT_TIMEOUT_MS;
    return isOpen || this.step.kind !== 'watching';
  }

  /** This VM's place among the live VMs; 0 acts first. */
  updateRank(rank: number): void {
    this.rank = rank;
  }

  /** Takes in the record, or its absence (version 0). */
  handleRecord(record: PromotionRecord | undefined, version: number, now: Millis): TakeoverActions {
    if (this.isKnown && version <= this.version) return [];
    this.isKnown = true;
    this.version = version;
    this.record = record;
    this.recordSeenAt = now;
    if (record && record.holder !== this.options.vm) this.isSuperseded = true;
    const { step } = this;
    if (step.kind === 'watching') return [];
    if (step.kind === 'claiming' && record?.attempt === step.record.attempt) {
      return this.startAttempt(step, now);
    }
    // A newer generation of another VM ends what this one does.
    if (record?.holder !== this.options.vm) this.updateStep(WATCHING);
    return [];
  }

  /** The write had no effect (`conflict`) or an unknown one; the record is read back. */
  handleWriteFailure(): TakeoverActions {
    return [{ kind: 'read' }];
  }

  handleReport(instance: string, report: FenceReport): void {
    this.ledger.addReport(instance, report);
  }

  /** The instances that were listed for an attempt are in force. */
  handleRefreshed(attempt: string): void {
    if (attempt === this.record?.attempt) this.isRefreshed = true;
  }

  handleResumed(instance: string): void {
    this.stopped.delete(instance);
  }

  handlePromotion(generation: number, answer: PromotionAnswer): void {
    const { step } = this;
    if (step.kind !== 'promoting' || generation !== this.record?.generation) return;
    this.step = { ...step, answer };
  }

  /** Decides what to do now, from what is known of the instances. */
  handleTick(instances: readonly InstanceView[], now: Millis): TakeoverActions {
    this.ledger.updateInstances(instances, now);
    const { step } = this;
    if (!this.isKnown) return this.isDue('read', now, READ_INTERVAL_MS) ? [{ kind: 'read' }] : [];
    switch (step.kind) {
      case 'claiming':
        return this.followClaim(step, now);
      case 'fencing':
        return this.fence(step, instances, now);
      case 'promoting':
        return this.followPromotion(step, instances, now);
      case 'settling':
        return this.settle(step.since, now);
      default:
        return this.watch(instances, now);
    }
  }

  private updateStep(step: TakeoverStep): void {
    this.step = step;
    this.sentAt.clear();
  }

  private isDue(order: string, now: Millis, gap = ORDER_REPEAT_MS): boolean {
    if (now - (this.sentAt.get(order) ?? Number.NEGATIVE_INFINITY) < gap) return false;
    this.sentAt.set(order, now);
    return true;
  }

  private watch(instances: readonly InstanceView[], now: Millis): TakeoverActions {
    const stuck = this.checkStuck(instances, now);
    if (stuck.length > 0) return stuck;
    const assist = this.assist(instances, now);
    if (assist.length > 0) return assist;
    const plan = this.findPlan(instances, now);
    if (plan !== this.needSince?.plan) this.needSince = plan && { plan, at: now };
    if (!plan || !this.needSince) return [];
    if (now - this.needSince.at < this.rank * RANK_STAGGER_MS) return [];
    // Another VM is at work.
    const isOpen = this.record?.phase === 'open' && this.record.holder !== this.options.vm;
    if (isOpen && now - this.recordSeenAt < ATTEMPT_TIMEOUT_MS) return [];
    if (this.isSuperseded && now - this.orderedAt < LEASE_MS + LEASE_MARGIN_MS) return [];
    return this.claim(plan, now);
  }

  /** Asks a replica that falls behind whether it is still stopped by an order that came late. */
  private checkStuck(instances: readonly InstanceView[], now: Millis): TakeoverActions {
    if (this.rank !== 0 || this.record === undefined) return [];
    return instances
      .filter(
        ({ leads, health, lagMs }) =>
          !leads && health === 'answering' && (lagMs ?? 0) > STUCK_LAG_MS,
      )
      .filter(({ id }) => this.isDue(`stuck ${id}`, now, STUCK_CHECK_INTERVAL_MS))
      .map(({ id }) => ({ kind: 'status', instance: id }));
  }

  /**
   * Steps the leader down for a holder that does not reach it. Until the promotion is carried out,
   * the former leader could have commits acknowledged by a replica that has just joined.
   */
  private assist(instances: readonly InstanceView[], now: Millis): TakeoverActions {
    const { record } = this;
    const isOpen = record?.phase === 'open' && now - this.recordSeenAt < ATTEMPT_TIMEOUT_MS;
    const isOther = record !== undefined && record.holder !== this.options.vm;
    if (!isOpen || !isOther || record.plan !== 'takeover') return [];
    const leader = findLeader(instances);
    const isFormer = leader && (leader.position?.term ?? 0) <= record.term;
    if (!isFormer || !this.isDue('assist', now)) return [];
    // The instance that the holder promotes leads in a newer term and ignores this.
    return [{ kind: 'stepDown', instance: leader.id, term: record.term + 1 }];
  }

  private findPlan(instances: readonly InstanceView[], now: Millis): TakeoverPlan | undefined {
    const need = findRequiredPlan(instances, this.ledger.findFormerLeader(instances), now);
    if (need || !findLeader(instances)) return need;
    const isAbandoned =
      this.record?.phase === 'open' && now - this.recordSeenAt >= ATTEMPT_TIMEOUT_MS;
    const isStuck = instances.some(({ id }) => (this.ledger.findReport(id)?.heldTerm ?? 0) > 0);
    return isAbandoned || isStuck ? 'raise' : undefined;
  }

  private claim(plan: TakeoverPlan, now: Millis): TakeoverActions {
    const { group, vm, createAttempt } = this.options;
    const record: PromotionRecord = {
      group,
      generation: (this.record?.generation ?? 0) + 1,
      holder: vm,
      attempt: createAttempt(),
      phase: 'open',
      plan,
      term: this.ledger.newestTerm,
    };
    this.updateStep({ kind: 'claiming', plan, record, sentAt: now });
    this.isDue('claim', now);
    return [{ kind: 'write', record, expectedVersion: this.version }];
  }

  private followClaim(step: StepOf<'claiming'>, now: Millis): TakeoverActions {
    // A write that is carried out late fails its condition or is found by the next claim.
    if (now - step.sentAt >= CLAIM_TIMEOUT_MS) return this.restart(now);
    return this.isDue('claim', now, READ_INTERVAL_MS) ? [{ kind: 'read' }] : [];
  }

  private startAttempt({ plan, sentAt }: StepOf<'claiming'>, now: Millis): TakeoverActions {
    this.ledger.clearReports();
    this.isRefreshed = false;
    if (now - sentAt >= MAX_CLAIM_LATENCY_MS) return this.startSettling(now);
    this.updateStep({ kind: 'fencing', plan, since: now });
    return [];
  }

  private fence(
    step: StepOf<'fencing'>,
    instances: readonly InstanceView[],
    now: Millis,
  ): TakeoverActions {
    const leader = findLeader(instances);
    if (step.plan === 'raise') {
      if (!leader) return this.startSettling(now);
      instances.forEach(({ id }) => id !== leader.id && this.stopped.add(id));
      return this.promote(leader.id, instances, now);
    }
    // An instance that is not known here may lead by now, or hold what the others lack.
    if (!this.isRefreshed) {
      const attempt = this.record?.attempt ?? '';
      return this.isDue('refresh', now, READ_INTERVAL_MS) ? [{ kind: 'refresh', attempt }] : [];
    }
    if (step.plan === 'handover') return this.fenceForHandover(step, instances, leader, now);
    const suspect = this.ledger.findFormerLeader(instances);
    if (leader && !leader.leaving && !this.ledger.hasSteppedDown(leader.id)) {
      return this.startSettling(now);
    }
    const candidate = this.ledger.chooseSuccessor(instances);
    if (candidate) return this.promote(candidate, instances, now);
    const term = this.ledger.newestTerm + 1;
    return instances
      .filter(({ id }) => !this.ledger.findReport(id) && this.isDue(`fence ${id}`, now))
      .map(({ id }) => {
        this.stopped.add(id);
        if (id === suspect) return { kind: 'stepDown', instance: id, term };
        return { kind: 'pause', instance: id, term };
      });
  }

  /** Lets only the candidate acknowledge, so that it holds all at the moment of the change. */
  private fenceForHandover(
    step: StepOf<'fencing'>,
    instances: readonly InstanceView[],
    leader: InstanceView | undefined,
    now: Millis,
  ): TakeoverActions {
    const candidate = chooseHandoverTarget(instances, leader);
    if (!leader || !candidate || now - step.since >= HANDOVER_TIMEOUT_MS) {
      this.updateStep({ kind: 'fencing', plan: 'takeover', since: now });
      this.ledger.clearReports();
      return [];
    }
    const others = instances.filter(({ id }) => id !== leader.id && id !== candidate);
    const missing = others.filter(({ id }) => (this.ledger.findReport(id)?.heldTerm ?? 0) === 0);
    if (missing.length > 0) {
      this.ledger.removeReport(candidate);
      const term = this.ledger.newestTerm + 1;
      return missing
        .filter(({ id }) => this.isDue(`pause ${id}`, now))
        .map(({ id }) => {
          this.stopped.add(id);
          return { kind: 'pause', instance: id, term };
        });
    }
    // The candidate's position counts only when it was told after the others had stopped.
    const ids = others.map(({ id }) => id);
    const isReceiving = this.ledger.findReport(candidate)?.heldTerm === 0;
    if (isReceiving && this.ledger.isUpToDate(candidate, ids, step.leaderEnd)) {
      return this.promote(candidate, instances, now);
    }
    // A replica that has left may have acknowledged what only the leader still holds.
    if (!step.leaderEnd) this.step = { ...step, leaderEnd: leader.position };
    return this.isDue(`status ${candidate}`, now) ? [{ kind: 'status', instance: candidate }] : [];
  }

  private promote(
    candidate: string,
    instances: readonly InstanceView[],
    now: Millis,
  ): TakeoverActions {
    const generation = this.record?.generation ?? 0;
    // A record as old as this may have been taken over by now.
    if (now - this.recordSeenAt >= RECORD_TTL_MS) return this.claim('takeover', now);
    this.orderedAt = now;
    this.isSuperseded = false;
    const members = new Set(instances.map(({ id }) => id));
    this.updateStep({ kind: 'promoting', candidate, members, sentAt: now, answer: undefined });
    return [{ kind: 'promote', instance: candidate, generation }];
  }

  private followPromotion(
    step: StepOf<'promoting'>,
    instances: readonly InstanceView[],
    now: Millis,
  ): TakeoverActions {
    const elapsed = now - step.sentAt;
    const candidate = instances.find(({ id }) => id === step.candidate);
    if (step.answer === 'accepted') {
      if (candidate?.leads) return this.startSettling(now);
      if (elapsed < PROMOTION_TIMEOUT_MS) return this.stopNewcomers(step, instances, now);
      return this.claim('takeover', now);
    }
    if (step.answer === 'refused') return this.restart(now);
    // An order that may still come is outdated by a newer generation before anything goes on.
    if (elapsed < PROMOTION_ANSWER_TIMEOUT_MS) return this.stopNewcomers(step, instances, now);
    const leader = findLeader(instances);
    return this.claim(leader ? 'raise' : 'takeover', now);
  }

  /** Stops replicas that have joined since the promotion was ordered from acknowledging alone. */
  private stopNewcomers(
    { members }: StepOf<'promoting'>,
    instances: readonly InstanceView[],
    now: Millis,
  ): TakeoverActions {
    if (this.record?.plan === 'raise') return [];
    const term = this.ledger.newestTerm + 1;
    return instances
      .filter(({ id }) => !members.has(id) && !this.ledger.findReport(id))
      .filter(({ id }) => this.isDue(`pause ${id}`, now))
      .map(({ id }) => {
        this.stopped.add(id);
        return { kind: 'pause', instance: id, term };
      });
  }

  /** Reads the record again: another VM has a newer generation, or the candidate is gone. */
  private restart(now: Millis): TakeoverActions {
    this.updateStep(WATCHING);
    this.needSince = undefined;
    this.isDue('read', now);
    this.isKnown = false;
    return [{ kind: 'read' }];
  }

  private startSettling(now: Millis): TakeoverActions {
    this.updateStep({ kind: 'settling', since: now });
    return this.settle(now, now);
  }

  /** Resumes what was stopped, then notes that no order of this generation is on its way. */
  private settle(since: Millis, now: Millis): TakeoverActions {
    const waiting = [...this.stopped];
    if (waiting.length > 0 && now - since < ATTEMPT_TIMEOUT_MS) {
      return waiting
        .filter((id) => this.isDue(`resume ${id}`, now))
        .map((instance) => ({ kind: 'resume', instance }));
    }
    this.stopped.clear();
    this.ledger.clearReports();
    const { record } = this;
    this.updateStep(WATCHING);
    this.needSince = undefined;
    if (!record) return [];
    const attempt = this.options.createAttempt();
    const settled: PromotionRecord = { ...record, attempt, phase: 'settled' };
    return [{ kind: 'write', record: settled, expectedVersion: this.version }];
  }
}
