import { SuccessorSelector } from '@shallotpick/core';
import { DEFAULT_TAKEOVER_RULES, type TakeoverRules } from '../../src/takeover/simulation.js';
import { UncheckedHandoverSelector, StaleReportSelector } from './selector.js';

type Fenced = Parameters<SuccessorSelector['findMostAdvanced']>[0];

class FirstAnswerSelector extends SuccessorSelector {
  override findMostAdvanced(fenced: Fenced, suspect: string | undefined): string | undefined {
    return fenced.find(({ id }) => id !== suspect)?.id;
  }
}

class LeastAdvancedSelector extends SuccessorSelector {
  override findMostAdvanced(fenced: Fenced, suspect: string | undefined): string | undefined {
    return super.findMostAdvanced(fenced, suspect) && fenced.at(-1)?.id;
  }
}

class UncoveredSelector extends SuccessorSelector {
  override findCovering(fenced: Fenced, suspect: string | undefined): string | undefined {
    if (suspect === undefined || !this.hasSteppedDown(suspect)) return undefined;
    return fenced.find(({ id }) => id !== suspect)?.id;
  }
}

const withSelector = (Selector: new () => SuccessorSelector): TakeoverRules => ({
  ...DEFAULT_TAKEOVER_RULES,
  createSelector: () => new Selector(),
});

/** Deliberately broken rules of takeovers, by what each does wrong. */
export const TAKEOVER_MUTANTS: Readonly<Record<string, TakeoverRules>> = {
  'promotes on the first answer': withSelector(FirstAnswerSelector),
  'promotes the least advanced log': withSelector(LeastAdvancedSelector),
  'promotes a log that lacks entries of the former leader': withSelector(UncoveredSelector),
  'hands over to a log that is behind': withSelector(UncheckedHandoverSelector),
  'counts answers of an earlier attempt': withSelector(StaleReportSelector),
  'writes the record unconditionally': { ...DEFAULT_TAKEOVER_RULES, checksVersions: false },
  'ignores the fencing token': { ...DEFAULT_TAKEOVER_RULES, checksFence: false },
};
