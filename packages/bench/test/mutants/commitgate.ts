import { type AcknowledgedCommit, CommitGate, type CommitVerdict } from '@shallotpick/core';

/** Hands on whatever the leader acknowledges. */
export class TrustingCommitGate extends CommitGate {
  override decide(): CommitVerdict {
    return 'everywhere';
  }
}

/** Counts a replica that holds the commit, whatever became of its order to stop. */
export class AnyHolderCommitGate extends CommitGate {
  protected override isCounted(commit: AcknowledgedCommit): boolean {
    const { position } = commit;
    return position !== undefined && this.listHolders(commit.leader, position).length > 0;
  }
}

/** Counts a replica although late orders to receive again may be in flight. */
export class LateOrderCommitGate extends CommitGate {
  protected override mayCount(): boolean {
    return true;
  }
}

/** Counts a replica whatever became of the leader's process, and of its order to step down. */
export class AnyLeaderCommitGate extends CommitGate {
  protected override hasLedSince(): boolean {
    return true;
  }
}
