import { FenceLedger } from '@shallotpick/core';

export class HastyHandoverLedger extends FenceLedger {
  override isAhead(): boolean {
    return true;
  }
}

export class RememberingLedger extends FenceLedger {
  override clearReports(): void {
    // Answers of an earlier attempt count as answers of this one.
  }
}
