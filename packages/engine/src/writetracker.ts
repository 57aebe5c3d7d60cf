import type { Access, Reply, Statement } from './statement.js';

/** What a command does, as far as it matters for commits. */
export function classifyCommand(
  kind: Statement['kind'] | undefined,
  access: Access,
): 'write' | 'commit' | 'other' {
  if (kind === 'commit') return 'commit';
  return access === 'write' ? 'write' : 'other';
}

/** Tells which replies to the statements of one lease commit something. */
export class WriteTracker {
  /** True once a statement of the open transaction has written. */
  private hasWritten = false;

  /** Returns true for a reply that tells of a commit with at least one write. */
  handleReply(
    effect: ReturnType<typeof classifyCommand>,
    { failure, state }: Pick<Reply, 'failure' | 'state'>,
  ): boolean {
    if (failure || effect === 'other') return false;
    const hasCommitted = effect === 'commit' ? this.hasWritten : state === 'idle';
    this.hasWritten = effect === 'write' && state === 'open';
    return hasCommitted;
  }
}
