import {
  chooseLater,
  FenceTally,
  type FenceAnswer,
  hasPosition,
  type InstanceStatus,
  LOG_START,
  type LogPosition,
  type MajorityDecision,
  type MajorityReading,
  MajorityTracker,
  type PendingCommit,
} from '@shallotpick/core';
import { FakeInstance } from '../src/harness/instance.js';
import { RULES, type Rules } from '../src/harness/rules.js';

class PrimaryAloneTracker extends MajorityTracker {
  protected override hasHolders(): boolean {
    return true;
  }
}

class LaterTermTracker extends MajorityTracker {
  protected override holds(durable: LogPosition, target: LogPosition): boolean {
    return durable.term >= target.term && durable.offset >= target.offset;
  }

  protected override decideCommit(
    commit: PendingCommit,
    status: InstanceStatus,
  ): MajorityDecision | undefined {
    const { durable } = status;
    const term = status.instance === commit.primary ? durable.term : commit.term;
    return super.decideCommit(commit, { ...status, durable: { ...durable, term } });
  }
}

class EarlyPositionTracker extends MajorityTracker {
  override addCommit(commit: PendingCommit): void {
    super.addCommit({ ...commit, completedAt: commit.completedAt - 60 });
    const status = this.latest.get(commit.primary);
    if (status) this.decideCommit(commit, { ...status, requestedAt: commit.completedAt });
  }
}

class OldReadingTracker extends MajorityTracker {
  protected override isReadingFor(): boolean {
    return true;
  }
}

class PrimaryAgeTracker extends MajorityTracker {
  private readonly primaryReadings: MajorityReading[] = [];

  override handleStatus(status: InstanceStatus): readonly MajorityDecision[] {
    const { role, requestedAt: startedAt, durable: position } = status;
    if (role === 'primary') this.primaryReadings.push({ startedAt, position });
    return super.handleStatus(status);
  }

  override findAge(instance: string, now: number): number | undefined {
    const { applied } = this.latest.get(instance) ?? {};
    const reading = this.primaryReadings.findLast(
      ({ position }) => applied && hasPosition(applied, position),
    );
    return reading && now - reading.startedAt;
  }
}

class OneAnswerReadingTracker extends MajorityTracker {
  protected override updateReadings(): void {
    const statuses = [...this.latest.values()].sort((a, b) => b.requestedAt - a.requestedAt);
    const startedAt = statuses[0]?.requestedAt ?? 0;
    if (startedAt <= (this.readings.at(-1)?.startedAt ?? 0)) return;
    const position = statuses
      .filter(({ requestedAt }) => requestedAt >= startedAt)
      .reduce((bound, { durable }) => chooseLater(bound, durable), LOG_START);
    this.readings.push({ startedAt, position });
  }
}

class OffsetTally extends FenceTally {
  protected override chooseCandidate(answers: readonly FenceAnswer[]): FenceAnswer | undefined {
    return [...answers].sort((a, b) => b.durable.offset - a.durable.offset)[0];
  }
}

class LeastAdvancedTally extends FenceTally {
  protected override chooseCandidate(answers: readonly FenceAnswer[]): FenceAnswer | undefined {
    return [...answers].sort((a, b) => (hasPosition(a.durable, b.durable) ? 1 : -1))[0];
  }
}

class OneFenceTally extends FenceTally {
  protected override hasMajority(answers: readonly FenceAnswer[]): boolean {
    return answers.length > 0;
  }
}

/** An instance whose fence leaves the stream of the old primary open. */
class OpenStreamInstance extends FakeInstance {
  protected override stopStream(): void {
    // Goes on following.
  }

  protected override isOwnStream(leader: string): boolean {
    return this.following === leader;
  }
}

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
  'leaves the stream of a fenced instance open': {
    ...RULES,
    createInstance: (...args) => new OpenStreamInstance(...args),
  },
};
