import { PromotionRecordView, type StoreVersion } from '@shallotpick/core';

/** Derives fencing tokens from the revision alone, which the store gives out again. */
export class RevisionTokenView extends PromotionRecordView {
  override computeToken({ revision }: StoreVersion): number {
    return revision;
  }
}

/** Takes any record, or its absence, for one of the present era: a lost claim is never replaced. */
export class EraBlindView extends PromotionRecordView {
  override isCurrent(): boolean {
    return true;
  }

  override readCurrent() {
    return this.record;
  }
}

/** Derives fencing tokens from the number that the record counts. */
export class CountingTokenView extends PromotionRecordView {
  override computeToken(): number {
    return this.record?.generation ?? 0;
  }
}
