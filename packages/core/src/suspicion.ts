import type { Millis } from './clock.js';
import type { MemberUpdate } from './peer.js';

/** A suspect that does not contradict within this time is dead. */
export const SUSPECT_TIMEOUT_MS: Millis = 3_000;
/** A VM that this one suspected wrongly twice is suspected again only after a growing hold. */
const HOLD_STEP_MS: Millis = 2_000;
const MAX_HOLD_MS: Millis = 30_000;
const FORGIVE_MS: Millis = 60_000;

interface Flaps {
  readonly count: number;
  readonly at: Millis;
}

/** The VMs that are suspect, or leaving and silent, and which suspicions of this VM were wrong. */
export class SuspicionTracker {
  private readonly doubted = new Map<string, Millis>();

  private readonly accused = new Set<string>();

  private readonly flaps = new Map<string, Flaps>();

  /** Notes that this VM itself raises the suspicion. */
  addOwnSuspicion(id: string): void {
    this.accused.add(id);
  }

  /** Notes that a leaving VM does not answer. */
  addUnresponsive(id: string, now: Millis): void {
    if (!this.doubted.has(id)) this.doubted.set(id, now);
  }

  handleChange(update: MemberUpdate, before: MemberUpdate | undefined, now: Millis): void {
    const { id } = update.vm;
    if (update.state === 'suspect') {
      this.doubted.set(id, now);
      return;
    }
    this.doubted.delete(id);
    const wasWrong = before?.state === 'suspect' && update.state !== 'dead';
    if (!this.accused.delete(id) || !wasWrong) return;
    const flaps = this.flaps.get(id);
    const count = flaps && now - flaps.at < FORGIVE_MS ? flaps.count + 1 : 1;
    this.flaps.set(id, { count, at: now });
  }

  /** True while this VM must not suspect `id`, because it was wrong lately. */
  isSuppressed(id: string, now: Millis): boolean {
    const flaps = this.flaps.get(id);
    if (!flaps) return false;
    return now - flaps.at < Math.min(MAX_HOLD_MS, HOLD_STEP_MS * (flaps.count - 1));
  }

  listSuspects(): readonly string[] {
    return [...this.doubted.keys()];
  }

  /** The VMs that have not contradicted in time. */
  listExpired(now: Millis): readonly string[] {
    return this.listSuspects().filter(
      (id) => now - (this.doubted.get(id) ?? now) >= SUSPECT_TIMEOUT_MS,
    );
  }

  remove(id: string): void {
    this.doubted.delete(id);
    this.accused.delete(id);
    this.flaps.delete(id);
  }
}
