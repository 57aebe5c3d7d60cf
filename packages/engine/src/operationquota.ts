import type { Millis } from '@shallotpick/core';

/** Permission for one operation, counted against its organisation's rate limit. */
export interface OperationPermit {
  /** Gives the permission back after the operation has surely not reached an instance. */
  giveBack(): void;
}

/** Counts the operations of organisations against rate limits that hold for the whole fleet. */
export abstract class OperationQuota {
  /**
   * Takes permission to start one operation, at the latest at `deadline`.
   *
   * @throws NotRunError when the organisation has used up its limit.
   */
  abstract take(organisation: string | undefined, deadline: Millis): Promise<OperationPermit>;
}

const FREE_PERMIT: OperationPermit = { giveBack: () => undefined };

/** Permits every operation, where the configuration sets no limits. */
export class UnlimitedQuota extends OperationQuota {
  override async take(): Promise<OperationPermit> {
    return FREE_PERMIT;
  }
}
