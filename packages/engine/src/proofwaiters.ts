import type { Millis } from '@shallotpick/core';
import { waitAtMost } from './timing.js';

/** The callers that wait for a proof of the configuration in force. */
export class ProofWaiters {
  private readonly waiting = new Set<() => void>();

  hasAny(): boolean {
    return this.waiting.size > 0;
  }

  /** Waits until the next proof, for `limitMs` at most. */
  async wait(limitMs: Millis): Promise<void> {
    let handleProof = (): void => undefined;
    const proved = new Promise<void>((resolve) => {
      handleProof = resolve;
    });
    this.waiting.add(handleProof);
    await waitAtMost(proved, limitMs).catch(() => undefined);
    this.waiting.delete(handleProof);
  }

  answer(): void {
    this.waiting.forEach((handleProof) => handleProof());
  }
}
