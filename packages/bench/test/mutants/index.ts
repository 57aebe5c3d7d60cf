import { FenceQuorum, MajorityTracker } from '@shallotpick/core';
import { DEFAULT_RULES, type SimulationRules } from '../../src/harness/rules.js';
import {
  EarlyPositionTracker,
  LaterTermReportTracker,
  PrimaryAloneTracker,
} from './acknowledge.js';
import { LeastAdvancedQuorum, OffsetOnlyQuorum, SingleFenceQuorum } from './election.js';
import { OldReadingTracker, SingleAnswerReadingTracker, PrimaryAgeTracker } from './reading.js';

const withTracker = (Tracker: typeof MajorityTracker): SimulationRules => ({
  ...DEFAULT_RULES,
  createTracker: (instances) => new Tracker(instances),
});

const withQuorum = (Quorum: typeof FenceQuorum): SimulationRules => ({
  ...DEFAULT_RULES,
  createQuorum: (options) => new Quorum(options),
});

/** Sets of rules with one deliberate fault each, by a description of the fault. */
export const MUTANTS: Readonly<Record<string, SimulationRules>> = {
  'acknowledges on the primary alone': withTracker(PrimaryAloneTracker),
  'counts reports of later terms': withTracker(LaterTermReportTracker),
  'takes a position from before the commit': withTracker(EarlyPositionTracker),
  'uses a majority reading from before the arrival': withTracker(OldReadingTracker),
  'takes the age from the primary alone': withTracker(PrimaryAgeTracker),
  'takes a reading from a single answer': withTracker(SingleAnswerReadingTracker),
  'compares positions without terms': withQuorum(OffsetOnlyQuorum),
  'promotes the least advanced candidate': withQuorum(LeastAdvancedQuorum),
  'promotes before a majority is fenced': withQuorum(SingleFenceQuorum),
  'skips the conditional update': { ...DEFAULT_RULES, checksVersions: false },
};
