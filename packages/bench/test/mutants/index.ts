import { FenceTally, MajorityTracker } from '@shallotpick/core';
import { RULES, type Rules } from '../../src/harness/rules.js';
import { EarlyPositionTracker, LaterTermTracker, PrimaryAloneTracker } from './acknowledge.js';
import { LeastAdvancedTally, OffsetTally, OneFenceTally } from './election.js';
import { OldReadingTracker, OneAnswerReadingTracker, PrimaryAgeTracker } from './reading.js';

const withTracker = (Tracker: typeof MajorityTracker): Rules => ({
  ...RULES,
  createTracker: (instances) => new Tracker(instances),
});

const withTally = (Tally: typeof FenceTally): Rules => ({
  ...RULES,
  createTally: (options) => new Tally(options),
});

/** Deliberately broken rules, by what each does wrong. */
export const MUTANTS: Readonly<Record<string, Rules>> = {
  'acknowledges on the primary alone': withTracker(PrimaryAloneTracker),
  'counts reports of later terms': withTracker(LaterTermTracker),
  'takes a position from before the commit': withTracker(EarlyPositionTracker),
  'uses a majority reading from before the arrival': withTracker(OldReadingTracker),
  'takes the age from the primary alone': withTracker(PrimaryAgeTracker),
  'takes a reading from a single answer': withTracker(OneAnswerReadingTracker),
  'compares positions without terms': withTally(OffsetTally),
  'promotes the least advanced candidate': withTally(LeastAdvancedTally),
  'promotes before a majority is fenced': withTally(OneFenceTally),
  'skips the conditional update': { ...RULES, checksVersions: false },
};
