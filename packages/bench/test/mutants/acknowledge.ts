import {
  type InstanceStatus,
  type LogPosition,
  type MajorityDecision,
  MajorityTracker,
  type PendingCommit,
} from '@shallotpick/core';

/** Acknowledges a commit that only the primary holds. */
export class PrimaryAloneTracker extends MajorityTracker {
  protected override isHeldByMajority(): boolean {
    return true;
  }
}

/** Counts reports of later terms as if they held the commit. */
export class LaterTermReportTracker extends MajorityTracker {
  protected override isHeldBy(durable: LogPosition, target: LogPosition): boolean {
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

/** Takes the position of a commit from a status that was requested before the commit. */
export class EarlyPositionTracker extends MajorityTracker {
  override addCommit(commit: PendingCommit): void {
    super.addCommit({ ...commit, completedAt: commit.completedAt - 60 });
    const status = this.latest.get(commit.primary);
    if (status) this.decideCommit(commit, { ...status, requestedAt: commit.completedAt });
  }
}
