import {
  type Clock,
  ConfigurationLease,
  type ConfigurationProof,
  type Millis,
} from '@shallotpick/core';
import type { ConfigurationHolder } from './configuration.js';
import { LaterVersion } from './laterversion.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import { ProofWaiters } from './proofwaiters.js';

/** A VM without the duty to read asks the store itself once half of its lease is over. */
const REFRESH_FRACTION = 0.5;
/** The VM of a zone that reads for the others does so earlier by this fraction for each rank. */
const RANK_FRACTION = 0.125;
const FIRST_RANK_FRACTION = 0.25;
/** Delay before the configuration is read again after a read has failed. */
const RETRY_MS: Millis = 250;
/** Gap between two reads for a version that only other VMs have. */
const BEHIND_GAP_MS: Millis = 2_000;

/** What a VM tells another one of its proof. */
export interface ProofAge {
  readonly version: number;
  /** Time since the proof, as the VM that tells it has measured it. */
  readonly ageMs: Millis;
}

/** The version in force and the age of its proof, for the log. */
export interface ProofDescription {
  readonly version: number | undefined;
  /** Undefined before the first proof. */
  readonly provedMsAgo: Millis | undefined;
}

/** Services of a configuration verifier. */
export interface ConfigurationVerifierOptions {
  /** How long a proof holds; undefined when nothing that a version takes away is urgent. */
  readonly leaseMs: Millis | undefined;
  readonly configuration: ConfigurationHolder;
  /** Clock that includes suspensions of the VM. */
  readonly ageClock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** This VM's rank among those of its zone that read the configuration for the others. */
  readonly findRank: () => number;
  /** How long a proof is ground enough to refuse a caller by the version in force. */
  readonly refusalProofMs: Millis;
  /** Without keys, the configuration is read after this long without a proof. */
  readonly maxProofAgeMs: Millis;
  /** Reads the configuration from the store; returns the version that the store holds. */
  readonly readConfiguration: () => Promise<number | undefined>;
}

/**
 * Keeps the lease on the configuration: renews it by answers of the store and by proofs of other
 * VMs, and reads the configuration when these don't suffice.
 */
export class ConfigurationVerifier {
  private readonly lease: ConfigurationLease;

  private isReading = false;

  private mayReadAt: Millis = Number.NEGATIVE_INFINITY;

  private wasInForce = false;

  private readonly later = new LaterVersion();

  private readonly waiters = new ProofWaiters();

  constructor(private readonly options: ConfigurationVerifierOptions) {
    this.lease = new ConfigurationLease(options.leaseMs ?? Number.POSITIVE_INFINITY);
  }

  /** False while a key may have been revoked without this VM's knowledge. */
  areKeysInForce(): boolean {
    return this.options.leaseMs === undefined || this.lease.isValid(this.readNow());
  }

  /**
   * True when callers may be refused by the version in force: it was proved a short while ago, and
   * no later one is known.
   */
  mayRefuse(): boolean {
    const inForce = this.options.configuration.read()?.version;
    if (inForce === undefined) return false;
    const now = this.readNow();
    const { refusalProofMs } = this.options;
    const isBehind = this.later.isAbove(inForce, now, refusalProofMs);
    return !isBehind && this.lease.readAge(now) < refusalProofMs;
  }

  /** True when callers may be refused; otherwise the configuration is read. */
  requestProof(): boolean {
    if (this.mayRefuse()) return true;
    this.refresh(RETRY_MS);
    return false;
  }

  /** Waits for a proof by which callers may be refused; false when there is none in time. */
  async prove(limitMs: Millis): Promise<boolean> {
    if (!this.requestProof()) await this.waiters.wait(limitMs);
    return this.mayRefuse();
  }

  /**
   * Notes the version that the store has shown to hold, asked at `sentAt`; undefined when it has
   * shown none that can be decoded. False when that proves nothing of the version in force.
   */
  handleAnswer(version: number | undefined, sentAt: Millis): boolean {
    const inForce = this.options.configuration.read()?.version;
    // A store restored from an older copy proves nothing of a version that it has lost.
    if (inForce === undefined || version === undefined || version < inForce) return false;
    const isProved = this.lease.handleProof({ version, provedAt: sentAt }, inForce);
    this.answerWaiting();
    return isProved;
  }

  /** Notes the proof of another VM. */
  handleProof(proof: ConfigurationProof): void {
    const inForce = this.options.configuration.read()?.version;
    if (inForce === undefined) return;
    if (this.lease.handleProof(proof, inForce)) {
      this.answerWaiting();
      return;
    }
    this.later.note(proof, this.readNow());
    if (this.isNeeded()) this.refresh(RETRY_MS);
  }

  /** Notes the version by which another VM has accepted work that it passes on to this one. */
  handleVersion(version: number): void {
    const inForce = this.options.configuration.read()?.version;
    if (inForce === undefined || version <= inForce) return;
    const now = this.readNow();
    this.later.note({ version, provedAt: now }, now);
  }

  /** This VM's proof, for other VMs; undefined when it has none. */
  readProof(): ProofAge | undefined {
    const version = this.options.configuration.read()?.version;
    const ageMs = this.lease.readAge(this.readNow());
    return version === undefined || !Number.isFinite(ageMs) ? undefined : { version, ageMs };
  }

  describeProof(): ProofDescription {
    const version = this.options.configuration.read()?.version;
    const ageMs = this.lease.readAge(this.readNow());
    return { version, provedMsAgo: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined };
  }

  handleTick(): void {
    if (this.waiters.hasAny()) this.requestProof();
    this.checkLater();
    if (this.isNeeded()) this.checkKeys();
    else this.checkAge();
  }

  /** Reads a later version that this VM's own watch has not told in time. */
  private checkLater(): void {
    const inForce = this.options.configuration.read()?.version;
    if (inForce === undefined || !this.later.takeOverdue(inForce, this.readNow())) return;
    this.refresh(this.isNeeded() ? RETRY_MS : BEHIND_GAP_MS);
  }

  private answerWaiting(): void {
    if (this.mayRefuse()) this.waiters.answer();
  }

  /** Reads the configuration when neither the store nor another VM proves the one in force. */
  private checkAge(): void {
    const { maxProofAgeMs } = this.options;
    const ageMs = this.lease.readAge(this.readNow());
    // The answer that brought the first version is about to prove it.
    if (Number.isFinite(ageMs) && ageMs >= maxProofAgeMs) this.refresh(maxProofAgeMs);
  }

  private checkKeys(): void {
    const isInForce = this.areKeysInForce();
    const ageMs = this.lease.readAge(this.readNow());
    if (isInForce !== this.wasInForce) {
      const version = this.options.configuration.read()?.version;
      const message = isInForce ? 'keys proved to be in force' : 'keys not proved to be in force';
      this.options.log.info(message, { version, provedMsAgo: Math.round(ageMs) });
    }
    this.wasInForce = isInForce;
    this.options.metrics.configurationProofAge.set(Number.isFinite(ageMs) ? ageMs / 1_000 : -1);
    if (ageMs >= this.computeRefreshAge()) this.refresh(RETRY_MS);
  }

  private isNeeded(): boolean {
    const hasKeys = this.options.configuration.read()?.organisations !== undefined;
    return hasKeys && this.options.leaseMs !== undefined;
  }

  private computeRefreshAge(): Millis {
    const rank = Math.max(0, this.options.findRank());
    const fraction = Math.min(REFRESH_FRACTION, FIRST_RANK_FRACTION + rank * RANK_FRACTION);
    return (this.options.leaseMs ?? Number.POSITIVE_INFINITY) * fraction;
  }

  /** Reads the configuration; once that has failed, not again for `retryMs`. */
  private refresh(retryMs: Millis): void {
    const now = this.readNow();
    if (this.isReading || now < this.mayReadAt) return;
    this.isReading = true;
    this.options
      .readConfiguration()
      .then((version) => {
        // A read may succeed and prove nothing, as of a store that has lost a version.
        const isProved = this.handleAnswer(version, now);
        if (!isProved || !this.isNeeded()) this.mayReadAt = this.readNow() + retryMs;
      })
      .catch((error: unknown) => {
        this.mayReadAt = this.readNow() + retryMs;
        this.options.log.debug('configuration not read', { error: String(error) });
      })
      .finally(() => {
        this.isReading = false;
      });
  }

  private readNow(): Millis {
    return this.options.ageClock.readNow();
  }
}
