import { type AttemptContext, type AttemptDecision, createAction, WAIT } from './attemptcontext.js';
import type { Millis } from '../clock.js';
import { chooseHandoverTarget, mayReplicaBeReplaced } from './handover.js';
import { findLeader } from './instanceview.js';
import type { GateAnswer } from './promotiongate.js';
import type { InFlightOrder } from './promotionorders.js';
import {
  ATTEMPT_TIMEOUT_MS,
  HANDOVER_TIMEOUT_MS,
  READ_INTERVAL_MS,
  REPEAT_PROMOTION_MS,
  REPLACE_FAILED_MS,
  type StepOf,
  VERIFY_INTERVAL_MS,
} from './takeoverstep.js';
import type { InstanceView } from './takeovertypes.js';

/**
 * The step of an attempt between its claim and the order to promote: stops the instances as far as
 * the plan needs it, and collects what the gate wants to know.
 */
export class FencingStep {
  /** True once an order to stop was sent under the present claim. */
  private hasOrdered = false;

  /** True once the instances were listed anew under the present claim. */
  private isListed = false;

  /** True when the instances are to be listed although the attempt does not wait for the list. */
  private mustListAgain = false;

  constructor(private readonly context: AttemptContext) {}

  /** Begins a new attempt, or continues one under a new claim. */
  reset(isContinued: boolean): void {
    this.mustListAgain = isContinued;
    if (isContinued) return;
    this.hasOrdered = false;
    this.isListed = false;
  }

  handleListed(): void {
    this.isListed = true;
  }

  /** Decides the next actions; `attempt` identifies the claim. */
  decide(
    step: StepOf<'fencing'>,
    attempt: string,
    instances: readonly InstanceView[],
    now: Millis,
  ): AttemptDecision {
    const leader = findLeader(instances);
    if (step.plan === 'raise') return this.raise(step, instances, leader, now);
    // An instance unknown to this VM may lead by now, or hold entries that the others lack.
    if (!this.isListed) {
      const isDue = this.context.timer.isDue('refresh', now, READ_INTERVAL_MS);
      return isDue ? createAction([{ kind: 'refresh', attempt }]) : WAIT;
    }
    if (step.plan === 'handover') return this.fenceForHandover(step, instances, leader, now);
    if (this.mustListAgain) {
      this.mustListAgain = false;
      return createAction([{ kind: 'refresh', attempt }]);
    }
    const returned = leader && this.checkReturnedLeader(leader, now);
    return returned ?? this.fenceForTakeover(step, instances, now);
  }

  /** Orders the promotion of the leader that stays, which outdates earlier orders. */
  private raise(
    step: StepOf<'fencing'>,
    instances: readonly InstanceView[],
    leader: InstanceView | undefined,
    now: Millis,
  ): AttemptDecision {
    const { gate, orders } = this.context;
    if (!leader) return { kind: 'settle' };
    orders.markStopped(instances.map(({ id }) => id).filter((id) => id !== leader.id));
    const grant = gate.grantLeader(leader);
    if (grant) return { kind: 'promote', grant };
    if (now - step.since >= ATTEMPT_TIMEOUT_MS) return { kind: 'settle' };
    return this.askStatus(leader.id, now);
  }

  private fenceForTakeover(
    step: StepOf<'fencing'>,
    instances: readonly InstanceView[],
    now: Millis,
  ): AttemptDecision {
    const { selector, gate, orders, promotions } = this.context;
    const formerLeader = selector.findFormerLeader(instances);
    const isStopped = formerLeader !== undefined && selector.hasSteppedDown(formerLeader);
    const pending = promotions.listInFlight(now);
    const isSafe =
      isStopped || pending.length > 0 || !mayReplicaBeReplaced(instances, formerLeader, now);
    const answer = isSafe ? gate.grantSuccessor(instances, now) : undefined;
    if (answer) return this.handleAnswer(answer, now);
    const replaced = this.replacePending(step, pending, instances, now);
    if (replaced) return this.handleAnswer(replaced, now);
    this.hasOrdered = true;
    return createAction(orders.stopAll(instances, formerLeader, now));
  }

  /** Replaces an order in flight although reports are missing. */
  private replacePending(
    { since }: StepOf<'fencing'>,
    pending: readonly InFlightOrder[],
    instances: readonly InstanceView[],
    now: Millis,
  ): GateAnswer | undefined {
    const { gate } = this.context;
    const latest = pending.at(-1);
    if (!latest) return undefined;
    const failed = pending.find(({ grant }) => !gate.isValid(grant));
    if (!failed) {
      const isOver = now - since >= REPEAT_PROMOTION_MS;
      return isOver ? gate.grantRepeat(latest, instances, now) : undefined;
    }
    const equal = gate.grantEqual(failed, instances, now);
    if (equal) return equal;
    return now - since >= REPLACE_FAILED_MS ? gate.grantFormerLeader(failed) : undefined;
  }

  private handleAnswer(answer: GateAnswer, now: Millis): AttemptDecision {
    if (answer.kind === 'granted') return { kind: 'promote', grant: answer.grant };
    return this.confirm(answer.instance, now);
  }

  /** Asks the candidate once more: its answer shows whether it has started again since. */
  private confirm(instance: string, now: Millis): AttemptDecision {
    const { timer, gate } = this.context;
    if (!timer.isDue(`confirm ${instance}`, now, VERIFY_INTERVAL_MS)) return WAIT;
    gate.startConfirmation(instance, now);
    return createAction([{ kind: 'status', instance }]);
  }

  /**
   * Settles when the leader answers again and still leads; undefined to go on. Other VMs may have
   * made it step down because of the open record, so its own report decides. While an order for an
   * instance that has lost its log may still take effect, only a promotion replaces that one, also
   * if it is of this leader.
   */
  private checkReturnedLeader(
    { id, leaving, isRegistered }: InstanceView,
    now: Millis,
  ): AttemptDecision | undefined {
    const { selector, gate, promotions } = this.context;
    const report = selector.findReport(id);
    if (leaving || !isRegistered || report?.role === 'replica') return undefined;
    const pending = promotions.listInFlight(now);
    if (pending.some(({ grant }) => !gate.isValid(grant))) return undefined;
    if (report) return { kind: 'settle' };
    return this.hasOrdered ? undefined : this.askStatus(id, now);
  }

  /** Pauses all replicas but the candidate, so that it holds every commit acknowledged since. */
  private fenceForHandover(
    step: StepOf<'fencing'>,
    instances: readonly InstanceView[],
    leader: InstanceView | undefined,
    now: Millis,
  ): AttemptDecision {
    const { selector, gate, orders, completeness } = this.context;
    if (leader && !completeness.isComplete(instances, now)) return { kind: 'settle' };
    const candidate = chooseHandoverTarget(instances, leader, step.target);
    if (!leader || !candidate || now - step.since >= HANDOVER_TIMEOUT_MS) {
      // Other VMs learn from the record that the leader must stop.
      return { kind: 'claim', plan: 'takeover' };
    }
    const others = instances.filter(({ id }) => id !== leader.id && id !== candidate.id);
    const missing = others.filter(({ id }) => (selector.findReport(id)?.heldTerm ?? 0) === 0);
    if (missing.length > 0) {
      selector.removeReport(candidate.id);
      const actions = orders.pause(missing, now);
      return { kind: 'update', step: { ...step, target: candidate.id }, actions };
    }
    // The candidate's position counts only if it was reported after the others had stopped.
    const ids = others.map(({ id }) => id);
    const grant = gate.grantHandover(candidate, ids, step.leaderEnd);
    if (grant) return { kind: 'promote', grant };
    // A replica that has left may have acknowledged entries that now only the leader holds.
    const leaderEnd = step.leaderEnd ?? leader.position;
    const isDue = this.context.timer.isDue(`status ${candidate.id}`, now);
    const actions = isDue ? [{ kind: 'status', instance: candidate.id } as const] : [];
    return { kind: 'update', step: { ...step, leaderEnd }, actions };
  }

  private askStatus(instance: string, now: Millis): AttemptDecision {
    const isDue = this.context.timer.isDue(`status ${instance}`, now);
    return isDue ? createAction([{ kind: 'status', instance }]) : WAIT;
  }
}
