import type { ConfigurationProof, Millis } from '@shallotpick/core';

/** This VM's own watch tells of a new version within this time, unless a call was lost. */
const OWN_WATCH_MS: Millis = 300;

/** The latest version of the configuration that other VMs have told this one of. */
export class LaterVersion {
  private latest: ConfigurationProof | undefined;

  /** Since when this VM's own watch is expected to tell it. */
  private expectedSince: Millis | undefined;

  /** Notes a version above the one in force, and when it was last known to be the newest. */
  note(proof: ConfigurationProof, now: Millis): void {
    if (proof.version >= (this.latest?.version ?? 0)) this.latest = proof;
    this.expectedSince ??= now;
  }

  /** True when a version above the one in force was the newest within the last `withinMs`. */
  isAbove(inForce: number, now: Millis, withinMs: Millis): boolean {
    const { latest } = this;
    return latest !== undefined && latest.version > inForce && now - latest.provedAt < withinMs;
  }

  /** True, once, when this VM's own watch has not told the version in time. */
  takeOverdue(inForce: number, now: Millis): boolean {
    if (this.expectedSince === undefined || now - this.expectedSince < OWN_WATCH_MS) return false;
    this.expectedSince = undefined;
    return (this.latest?.version ?? 0) > inForce;
  }
}
