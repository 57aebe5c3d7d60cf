import { FenceQuorum, MajorityTracker } from '@shallotpick/core';
import { DEFAULT_RULES, type SimulationRules } from '../../src/harness/rules.js';
import {
  EarlyPositionTracker,
  LaterTermReportTracker,
  PrimaryAloneTracker,
} from './acknowledge.js';
import { LeastAdvancedTally, OffsetOnlyTally, SingleFenceTally } from './election.js';
import { OldReadingTracker, SingleAnswerReadingTracker, PrimaryAgeTracker } from './reading.js';

const withTracker = (Tracker: typeof MajorityTracker): SimulationRules => ({
  ...DEFAULT_RULES,
  createTracker: (instances) => new Tracker(instances),
});

const withTally = (Tally: typeof FenceQuorum): SimulationRules => ({
  ...DEFAULT_RULES,
  createTally: (options) => new Tally(options),
});

/** Deliberately broken rules, by what each does wrong. */
export const MUTANTS: Readonly<Record<string, SimulationRules>> = {
  'acknowledges on the primary alone': withTracker(PrimaryAloneTracker),
  'counts reports of later terms': withTracker(LaterTermReportTracker),
  'takes a position from before the commit': withTracker(EarlyPositionTracker),
  'uses a majority reading from before the arrival': withTracker(OldReadingTracker),
  'takes the age from the primary alone': withTracker(PrimaryAgeTracker),
  'takes a reading from a single answer': withTracker(SingleAnswerReadingTracker),
  'compares positions without terms': withTally(OffsetOnlyTally),
  'promotes the least advanced candidate': withTally(LeastAdvancedTally),
  'promotes before a majority is fenced': withTally(SingleFenceTally),
  'skips the conditional update': { ...DEFAULT_RULES, checksVersions: false },
};
