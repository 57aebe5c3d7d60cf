import { FenceLedger } from '@shallotpick/core';
import { TAKEOVER_RULES, type TakeoverRules } from '../../src/takeover/simulation.js';
import { HastyHandoverLedger, RememberingLedger } from './ledger.js';

type Fenced = Parameters<FenceLedger['findFurthest']>[0];

class FirstAnswerLedger extends FenceLedger {
  override findFurthest(fenced: Fenced, suspect: string | undefined): string | undefined {
    return fenced.find(({ id }) => id !== suspect)?.id;
  }
}

class LeastAdvancedLedger extends FenceLedger {
  override findFurthest(fenced: Fenced, suspect: string | undefined): string | undefined {
    return super.findFurthest(fenced, suspect) && fenced.at(-1)?.id;
  }
}

class UncoveredLedger extends FenceLedger {
  override findCovering(fenced: Fenced, suspect: string | undefined): string | undefined {
    if (suspect === undefined || !this.hasSteppedDown(suspect)) return undefined;
    return fenced.find(({ id }) => id !== suspect)?.id;
  }
}

const withLedger = (Ledger: new () => FenceLedger): TakeoverRules => ({
  ...TAKEOVER_RULES,
  createLedger: () => new Ledger(),
});

/** Deliberately broken rules of takeovers, by what each does wrong. */
export const TAKEOVER_MUTANTS: Readonly<Record<string, TakeoverRules>> = {
  'promotes on the first answer': withLedger(FirstAnswerLedger),
  'promotes the least advanced log': withLedger(LeastAdvancedLedger),
  'promotes a log that lacks entries of the former leader': withLedger(UncoveredLedger),
  'hands over to a log that is behind': withLedger(HastyHandoverLedger),
  'counts answers of an earlier attempt': withLedger(RememberingLedger),
  'writes the record unconditionally': { ...TAKEOVER_RULES, checksVersions: false },
  'ignores the fencing token': { ...TAKEOVER_RULES, checksFence: false },
};
