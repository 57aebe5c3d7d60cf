import type { Millis } from '@shallotpick/core';

/** Permission for one operation, counted against its organisation's rate limit. */
export interface OperationPermit {
  /**
   * Returns a permission that may be used now: this one, or another if it has ended while the
   * operation waited for a connection.
   *
   * @throws NotRunError when there is no other; this one is given back.
   */
  refresh(): Promise<OperationPermit>;
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

/** The permit of an operation that counts against no limit. */
export const FREE_PERMIT: OperationPermit = {
  refresh: async () => FREE_PERMIT,
  giveBack: () => undefined,
};

/** Permits every operation, where the configuration sets no limits. */
export class UnlimitedQuota extends OperationQuota {
  override async take(): Promise<OperationPermit> {
    return FREE_PERMIT;
  }
}
