import type { Millis } from '../clock.js';

/** A VM that has acknowledged a lender acknowledges no other one for this long. */
export const ACKNOWLEDGEMENT_MS: Millis = 1_200;
/** A lender that has not answered for this long is given up. */
const SILENCE_MS: Millis = 600;
/** A VM that was silent is not chosen again for this long. */
const AVOID_MS: Millis = 3_000;

/** Chooses the VM that this VM acknowledges as lender of a part: one at a time. */
export class LenderChoice {
  private current: string | undefined;

  private unansweredSince: Millis | undefined;

  private isLending = false;

  private readonly avoidedUntil = new Map<string, Millis>();

  /** A process that starts may have acknowledged a lender before. */
  private promisedUntil: Millis;

  constructor(startedAt: Millis) {
    this.promisedUntil = startedAt + ACKNOWLEDGEMENT_MS;
  }

  /**
   * Chooses the lender to ask; undefined while an earlier choice binds that no longer serves.
   *
   * @param ranked the live VMs, the preferred lender first
   */
  choose(ranked: readonly string[], now: Millis): string | undefined {
    if (this.current !== undefined && this.mayKeep(this.current, ranked, now)) return this.current;
    if (now < this.promisedUntil) return undefined;
    this.current = this.findPreferred(ranked, now);
    this.unansweredSince = undefined;
    this.isLending = false;
    return this.current;
  }

  /** Records that a request was sent to the chosen lender. */
  handleSent(now: Millis): void {
    this.promisedUntil = now + ACKNOWLEDGEMENT_MS;
    this.unansweredSince ??= now;
  }

  handleAnswer(isLending: boolean, isReleased: boolean, now: Millis): void {
    this.unansweredSince = undefined;
    this.isLending = isLending;
    if (!isReleased || this.current === undefined) return;
    this.avoidedUntil.set(this.current, now + AVOID_MS);
    this.current = undefined;
    this.promisedUntil = now;
  }

  private mayKeep(vm: string, ranked: readonly string[], now: Millis): boolean {
    if (this.unansweredSince !== undefined && now - this.unansweredSince >= SILENCE_MS) {
      this.avoidedUntil.set(vm, now + AVOID_MS);
      return false;
    }
    return ranked.includes(vm) && (this.isLending || vm === this.findPreferred(ranked, now));
  }

  private findPreferred(ranked: readonly string[], now: Millis): string | undefined {
    return ranked.find((vm) => (this.avoidedUntil.get(vm) ?? now) <= now) ?? ranked[0];
  }
}
