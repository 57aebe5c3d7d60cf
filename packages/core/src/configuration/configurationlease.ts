import type { Millis } from '../clock.js';

/** Proof that no version of the configuration above `version` was in force at `provedAt`. */
export interface ConfigurationProof {
  readonly version: number;
  readonly provedAt: Millis;
}

/**
 * The right to use what the configuration in force grants, and what a later version may take away.
 * It begins when the request was sent whose answer proved the version in force, and ends a fixed
 * time later unless it is renewed. Times are of a clock that counts suspensions of the VM.
 */
export class ConfigurationLease {
  private provedAt: Millis = Number.NEGATIVE_INFINITY;

  constructor(private readonly durationMs: Millis) {}

  /**
   * Renews the lease by a proof that covers the version in use; false when the proof is of a later
   * version, which must be read first.
   */
  handleProof(proof: ConfigurationProof, version: number): boolean {
    if (proof.version > version) return false;
    this.provedAt = Math.max(this.provedAt, proof.provedAt);
    return true;
  }

  isValid(now: Millis): boolean {
    return this.readAge(now) < this.durationMs;
  }

  /** Time since the last proof; infinite before the first one. */
  readAge(now: Millis): Millis {
    return now - this.provedAt;
  }
}
