import { SuccessorSelector } from '@shallotpick/core';

export class UncheckedHandoverSelector extends SuccessorSelector {
  override isUpToDate(): boolean {
    return true;
  }
}

export class StaleReportSelector extends SuccessorSelector {
  override clearReports(): void {
    // Answers of an earlier attempt count as answers of this one.
  }
}
