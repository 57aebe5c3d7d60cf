import type { Millis } from '../clock.js';
import type { MemberUpdate } from './peer.js';

/** A suspect that does not refute the suspicion within this time is declared dead. */
export const SUSPECT_TIMEOUT_MS: Millis = 3_000;
/** After the n-th wrong suspicion of a VM, new ones are suppressed for n - 1 times this long. */
const SUPPRESSION_STEP_MS: Millis = 2_000;
const MAX_SUPPRESSION_MS: Millis = 30_000;
const FALSE_SUSPICION_TTL_MS: Millis = 60_000;

/** Wrong suspicions of one VM: their number and the time of the last. */
interface FalseSuspicions {
  readonly count: number;
  readonly at: Millis;
}

/**
 * Tracks the VMs that are suspected, or leaving and unresponsive, and counts the suspicions raised
 * by this VM that proved wrong.
 */
export class SuspicionTracker {
  private readonly suspects = new Map<string, Millis>();

  private readonly ownSuspicions = new Set<string>();

  private readonly falseSuspicions = new Map<string, FalseSuspicions>();

  /** Records that this VM itself raises the suspicion. */
  addOwnSuspicion(id: string): void {
    this.ownSuspicions.add(id);
  }

  /** Records that a leaving VM does not answer. */
  addUnresponsive(id: string, now: Millis): void {
    if (!this.suspects.has(id)) this.suspects.set(id, now);
  }

  handleChange(update: MemberUpdate, before: MemberUpdate | undefined, now: Millis): void {
    const { id } = update.vm;
    if (update.state === 'suspect') {
      this.suspects.set(id, now);
      return;
    }
    this.suspects.delete(id);
    const wasWrong = before?.state === 'suspect' && update.state !== 'dead';
    if (!this.ownSuspicions.delete(id) || !wasWrong) return;
    const previous = this.falseSuspicions.get(id);
    const count = previous && now - previous.at < FALSE_SUSPICION_TTL_MS ? previous.count + 1 : 1;
    this.falseSuspicions.set(id, { count, at: now });
  }

  /** True while this VM must not suspect `id`, because recent suspicions were wrong. */
  isSuppressed(id: string, now: Millis): boolean {
    const previous = this.falseSuspicions.get(id);
    if (!previous) return false;
    return (
      now - previous.at < Math.min(MAX_SUPPRESSION_MS, SUPPRESSION_STEP_MS * (previous.count - 1))
    );
  }

  listSuspects(): readonly string[] {
    return [...this.suspects.keys()];
  }

  /** Lists the VMs that have not refuted their suspicion in time. */
  listExpired(now: Millis): readonly string[] {
    return this.listSuspects().filter(
      (id) => now - (this.suspects.get(id) ?? now) >= SUSPECT_TIMEOUT_MS,
    );
  }

  remove(id: string): void {
    this.suspects.delete(id);
    this.ownSuspicions.delete(id);
    this.falseSuspicions.delete(id);
  }
}
