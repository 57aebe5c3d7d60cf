import { type FenceAnswer, FenceQuorum, hasPosition } from '@shallotpick/core';

/** Compares positions by their offsets and ignores their terms. */
export class OffsetOnlyQuorum extends FenceQuorum {
  protected override chooseCandidate(answers: readonly FenceAnswer[]): FenceAnswer | undefined {
    return [...answers].sort((a, b) => b.durable.offset - a.durable.offset)[0];
  }
}

/** Chooses the candidate with the least log position. */
export class LeastAdvancedQuorum extends FenceQuorum {
  protected override chooseCandidate(answers: readonly FenceAnswer[]): FenceAnswer | undefined {
    return [...answers].sort((a, b) => (hasPosition(a.durable, b.durable) ? 1 : -1))[0];
  }
}

/** Takes a single fenced instance for a majority. */
export class SingleFenceQuorum extends FenceQuorum {
  protected override hasMajority(answers: readonly FenceAnswer[]): boolean {
    return answers.length > 0;
  }
}
