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
