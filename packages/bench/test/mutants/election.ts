import { type FenceAnswer, FenceTally, hasPosition } from '@shallotpick/core';

export class OffsetTally extends FenceTally {
  protected override chooseCandidate(answers: readonly FenceAnswer[]): FenceAnswer | undefined {
    return [...answers].sort((a, b) => b.durable.offset - a.durable.offset)[0];
  }
}

export class LeastAdvancedTally extends FenceTally {
  protected override chooseCandidate(answers: readonly FenceAnswer[]): FenceAnswer | undefined {
    return [...answers].sort((a, b) => (hasPosition(a.durable, b.durable) ? 1 : -1))[0];
  }
}

export class OneFenceTally extends FenceTally {
  protected override hasMajority(answers: readonly FenceAnswer[]): boolean {
    return answers.length > 0;
  }
}
