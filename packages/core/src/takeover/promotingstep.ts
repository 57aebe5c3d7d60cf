import { type AttemptContext, type AttemptDecision, createAction } from './attemptcontext.js';
import type { Millis } from '../clock.js';
import { findLeader } from './instanceview.js';
import {
  PROMOTION_ANSWER_TIMEOUT_MS,
  PROMOTION_TIMEOUT_MS,
  type StepOf,
  type TakeoverActions,
  VERIFY_INTERVAL_MS,
} from './takeoverstep.js';
import type { InstanceView, PromotionRecord } from './takeovertypes.js';

/**
 * The step of an attempt after the order to promote: keeps the other replicas stopped until the
 * candidate leads, and replaces the order when the candidate has lost its log.
 */
export class PromotingStep {
  constructor(private readonly context: AttemptContext) {}

  decide(
    step: StepOf<'promoting'>,
    record: PromotionRecord,
    instances: readonly InstanceView[],
    now: Millis,
  ): AttemptDecision {
    const { gate, settlement } = this.context;
    const elapsed = now - step.sentAt;
    // The platform promotes an id, whatever its log holds by now.
    if (!gate.isValid(step.grant)) return { kind: 'replaceOrder' };
    if (step.answer === 'accepted' && this.isLeading(step, instances, elapsed)) {
      if (this.hasPromoted(step)) settlement.handlePromoted();
      return { kind: 'settle' };
    }
    if (step.answer === 'refused') return { kind: 'restart' };
    const timeout = step.answer === 'accepted' ? PROMOTION_TIMEOUT_MS : PROMOTION_ANSWER_TIMEOUT_MS;
    if (elapsed < timeout) return this.guard(step, record, instances, now);
    // Without an answer the order may be in flight; a newer claim's order outdates it.
    const isUnanswered = step.answer !== 'accepted';
    const plan = isUnanswered && findLeader(instances) ? 'raise' : 'takeover';
    return { kind: 'claim', plan };
  }

  /** True once the candidate leads, as it has told after the order: it may have led before. */
  private isLeading(
    { grant, sentAt }: StepOf<'promoting'>,
    instances: readonly InstanceView[],
    elapsed: Millis,
  ): boolean {
    const { id } = grant.candidate;
    const isSeen = instances.some((one) => one.id === id && one.leads);
    if (!isSeen || elapsed >= PROMOTION_TIMEOUT_MS) return isSeen;
    const report = this.context.selector.findReport(id);
    return report?.role === 'primary' && report.at > sentAt;
  }

  /** True when the candidate leads in a term that is newer than all before the order. */
  private hasPromoted({ grant, fenceTerm }: StepOf<'promoting'>): boolean {
    const report = this.context.selector.findReport(grant.candidate.id);
    return (report?.term ?? 0) >= fenceTerm;
  }

  /** Keeps replicas from acknowledging commits that the candidate may lack. */
  private guard(
    step: StepOf<'promoting'>,
    record: PromotionRecord,
    instances: readonly InstanceView[],
    now: Millis,
  ): AttemptDecision {
    const { orders } = this.context;
    const verified = this.verifyCandidate(step, now);
    if (record.plan === 'raise') return createAction(verified);
    return createAction([
      ...verified,
      ...this.pauseReplicas(step, instances, now),
      ...orders.stopFormerLeader(record, instances, true, now),
    ]);
  }

  /** Asks the candidate for its state until it leads, since a restart shows there first. */
  private verifyCandidate({ grant }: StepOf<'promoting'>, now: Millis): TakeoverActions {
    const { id } = grant.candidate;
    const isDue = this.context.timer.isDue(`verify ${id}`, now, VERIFY_INTERVAL_MS);
    return isDue ? [{ kind: 'status', instance: id }] : [];
  }

  /**
   * Pauses the other replicas again, so that none acknowledges alone: a restart ends a pause, and
   * a replica that joined after the order to promote was not paused at all. One whose connection has
   * ended since, or that has told that it receives, is paused at once.
   */
  private pauseReplicas(
    { grant, fenceTerm, sentAt }: StepOf<'promoting'>,
    instances: readonly InstanceView[],
    now: Millis,
  ): TakeoverActions {
    const { selector, orders } = this.context;
    const formerLeader = selector.findFormerLeader(instances);
    const replicas = instances.filter(
      ({ id, leads }) => id !== grant.candidate.id && id !== formerLeader && !leads,
    );
    const hasLostPause = ({ id, since }: InstanceView): boolean =>
      since >= sentAt || selector.findReport(id)?.heldTerm === 0;
    return [
      ...orders.pause(replicas.filter(hasLostPause), now, fenceTerm, VERIFY_INTERVAL_MS),
      ...orders.pause(replicas, now, fenceTerm),
    ];
  }
}
