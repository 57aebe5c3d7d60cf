import {
  type CommitGate,
  type PromotionGate,
  type PromotionRecordView,
  SuccessorSelector,
} from '@shallotpick/core';
import { DEFAULT_TAKEOVER_RULES, type TakeoverRules } from '../../src/takeover/simulation.js';
import { AnyHolderCommitGate, TrustingCommitGate } from './commitgate.js';
import { FurthestGate, TrustingGate, UnaskedLeaderGate, UnconfirmedGate } from './gate.js';
import {
  AnyStartSelector,
  ForgetfulSelector,
  RegisteredSelector,
  StartBlindSelector,
} from './incarnation.js';
import { CountingTokenView, EraBlindView, RevisionTokenView } from './recordview.js';
import {
  ClaimingSettlement,
  OwnOrdersSettlement,
  type SettlementConstructor,
  TimedSettlement,
} from './settlement.js';
import { LeavingSelector, StaleReportSelector, UncheckedHandoverSelector } from './selector.js';

/** The reports of the fenced instances, most advanced first. */
type Fenced = Parameters<SuccessorSelector['findMostAdvanced']>[0];

/** Chooses the first fenced instance, whatever its log holds. */
class FirstAnswerSelector extends SuccessorSelector {
  override findMostAdvanced(fenced: Fenced, suspect: string | undefined): string | undefined {
    return fenced.find(({ id }) => id !== suspect)?.id;
  }
}

/** Chooses the fenced instance with the least advanced log. */
class LeastAdvancedSelector extends SuccessorSelector {
  override findMostAdvanced(fenced: Fenced, suspect: string | undefined): string | undefined {
    return super.findMostAdvanced(fenced, suspect) && fenced.at(-1)?.id;
  }
}

/** Chooses a successor although its log may lack entries of the former leader. */
class UncoveredSelector extends SuccessorSelector {
  override findCovering(fenced: Fenced, suspect: string | undefined): string | undefined {
    if (suspect === undefined || !this.hasSteppedDown(suspect)) return undefined;
    return fenced.find(({ id }) => id !== suspect)?.id;
  }
}

const withView = (View: new () => PromotionRecordView): TakeoverRules => ({
  ...DEFAULT_TAKEOVER_RULES,
  createView: () => new View(),
});

const withGate = (Gate: new (selector: SuccessorSelector) => PromotionGate): TakeoverRules => ({
  ...DEFAULT_TAKEOVER_RULES,
  createGate: (selector) => new Gate(selector),
});

const withCommitGate = (Gate: new () => CommitGate): TakeoverRules => ({
  ...DEFAULT_TAKEOVER_RULES,
  createCommitGate: () => new Gate(),
});

const withSelector = (Selector: new () => SuccessorSelector): TakeoverRules => ({
  ...DEFAULT_TAKEOVER_RULES,
  createSelector: () => new Selector(),
});

const withSettlement = (Constructor: SettlementConstructor): TakeoverRules => ({
  ...DEFAULT_TAKEOVER_RULES,
  createSettlement: (promotions) => new Constructor(promotions),
});

/** Takeover rules with one deliberate fault each, by a description of the fault. */
export const TAKEOVER_MUTANTS: Readonly<Record<string, TakeoverRules>> = {
  'promotes the first instance that answers': withSelector(FirstAnswerSelector),
  'promotes the least advanced log': withSelector(LeastAdvancedSelector),
  'promotes a log that lacks entries of the former leader': withSelector(UncoveredSelector),
  'hands over to a log that is behind': withSelector(UncheckedHandoverSelector),
  'counts answers of an earlier attempt': withSelector(StaleReportSelector),
  // The condition alone makes no difference while tokens are revisions, which are given once.
  'writes the record unconditionally and counts tokens itself': {
    ...withView(CountingTokenView),
    checksVersions: false,
  },
  'ignores the fencing token': { ...DEFAULT_TAKEOVER_RULES, checksFence: false },
};

/** The same, for runs in which the store comes back from an older copy. */
export const RESTORATION_MUTANTS: Readonly<Record<string, TakeoverRules>> = {
  'derives tokens from revisions without their era': withView(RevisionTokenView),
  'takes any record for one of the present era': withView(EraBlindView),
};

/** The same, for runs in which instances start again without their log or under another id. */
export const RESTART_MUTANTS: Readonly<Record<string, TakeoverRules>> = {
  'counts an instance by its id, whatever its start': withSelector(StartBlindSelector),
  'forgets a log that a restart has lost': withSelector(ForgetfulSelector),
  'gives up an instance that is not registered': withSelector(RegisteredSelector),
  'takes the report of any start of the former leader': withSelector(AnyStartSelector),
};

/** The same, for runs with outages of several instances, of candidates and of all VMs. */
export const OUTAGE_MUTANTS: Readonly<Record<string, TakeoverRules>> = {
  'replaces an order in flight by the furthest stopped log': withGate(FurthestGate),
  'orders a candidate on its first report': withGate(UnconfirmedGate),
  'does not check a candidate after its order': withGate(TrustingGate),
  'raises the fence with a leader that has not told its role': withGate(UnaskedLeaderGate),
  'takes a missing instance that was leaving for one that has ended': withSelector(LeavingSelector),
};

/** The same, for runs in which VMs differ in what they reach while instances start again. */
export const PARTITION_MUTANTS: Readonly<Record<string, TakeoverRules>> = {
  'hands on whatever the leader acknowledges': withCommitGate(TrustingCommitGate),
  'counts a replica whose order to stop may be gone': withCommitGate(AnyHolderCommitGate),
};

/** The same, for runs with claims that are learnt late and orders that are carried out late. */
export const CLAIM_MUTANTS: Readonly<Record<string, TakeoverRules>> = {
  'settles a record after some time': withSettlement(TimedSettlement),
  'settles a record on its claim alone': withSettlement(ClaimingSettlement),
  'settles a record without regard to orders of others': withSettlement(OwnOrdersSettlement),
};
