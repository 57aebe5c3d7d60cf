import type { Reply } from './statement.js';

/** Tells which replies to the statements of one lease commit something. */
export class WriteTracker {
  /** True once a statement of the open transaction has written. */
  private hasWritten = false;

  /** Handles the reply to a statement that writes; true if it has committed by itself. */
  handleWrite({ failure, state }: Pick<Reply, 'failure' | 'state'>): boolean {
    if (failure) return false;
    this.hasWritten = state === 'open';
    return state === 'idle';
  }

  /** Handles the reply to COMMIT; true if it has committed a write. */
  handleCommit({ failure }: Pick<Reply, 'failure'>): boolean {
    if (failure) return false;
    const { hasWritten } = this;
    this.hasWritten = false;
    return hasWritten;
  }
}
