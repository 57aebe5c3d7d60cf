import { SuccessorSelector } from '@shallotpick/core';

export class UncheckedHandoverLedger extends SuccessorSelector {
  override isUpToDate(): boolean {
    return true;
  }
}

export class StaleReportLedger extends SuccessorSelector {
  override clearReports(): void {
    // Answers of an earlier attempt count as answers of this one.
  }
}
