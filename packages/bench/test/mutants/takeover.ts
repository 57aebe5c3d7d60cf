import { SuccessorSelector } from '@shallotpick/core';
import { DEFAULT_TAKEOVER_RULES, type TakeoverRules } from '../../src/takeover/simulation.js';
import { UncheckedHandoverLedger, StaleReportLedger } from './ledger.js';

type Fenced = Parameters<SuccessorSelector['findMostAdvanced']>[0];

class FirstAnswerLedger extends SuccessorSelector {
  override findMostAdvanced(fenced: Fenced, suspect: string | undefined): string | undefined {
    return fenced.find(({ id }) => id !== suspect)?.id;
  }
}

class LeastAdvancedLedger extends SuccessorSelector {
  override findMostAdvanced(fenced: Fenced, suspect: string | undefined): string | undefined {
    return super.findMostAdvanced(fenced, suspect) && fenced.at(-1)?.id;
  }
}

class UncoveredLedger extends SuccessorSelector {
  override findCovering(fenced: Fenced, suspect: string | undefined): string | undefined {
    if (suspect === undefined || !this.hasSteppedDown(suspect)) return undefined;
    return fenced.find(({ id }) => id !== suspect)?.id;
  }
}

const withLedger = (Ledger: new () => SuccessorSelector): TakeoverRules => ({
  ...DEFAULT_TAKEOVER_RULES,
  createLedger: () => new Ledger(),
});

/** Deliberately broken rules of takeovers, by what each does wrong. */
export const TAKEOVER_MUTANTS: Readonly<Record<string, TakeoverRules>> = {
  'promotes on the first answer': withLedger(FirstAnswerLedger),
  'promotes the least advanced log': withLedger(LeastAdvancedLedger),
  'promotes a log that lacks entries of the former leader': withLedger(UncoveredLedger),
  'hands over to a log that is behind': withLedger(UncheckedHandoverLedger),
  'counts answers of an earlier attempt': withLedger(StaleReportLedger),
  'writes the record unconditionally': { ...DEFAULT_TAKEOVER_RULES, checksVersions: false },
  'ignores the fencing token': { ...DEFAULT_TAKEOVER_RULES, checksFence: false },
};
