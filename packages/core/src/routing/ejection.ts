import type { Millis } from '../clock.js';

/** How long the first ejection lasts; each further one takes twice as long. */
const FIRST_EJECTION_MS: Millis = 1_000;
const MAX_EJECTION_MS: Millis = 30_000;
/** An instance that has served for this long again counts as one that never failed. */
const FORGIVE_MS: Millis = 30_000;
/** Trial reads that must succeed before an instance gets its full share again. */
const TRIALS = 3;
/** A trial without a result no longer keeps the next one from starting. */
const TRIAL_TIMEOUT_MS: Millis = 1_000;

/** Ejection of one instance: a time without work, then single trials until enough succeed. */
export class Ejection {
  private state: 'serving' | 'ejected' | 'trial' = 'serving';

  private count = 0;

  private trials = 0;

  /** When a trial started that has no result yet. */
  private trialAt: Millis | undefined;

  /** `since` is when the present state began. */
  constructor(private since: Millis) {}

  isServing(): boolean {
    return this.state === 'serving';
  }

  isInTrial(): boolean {
    return this.state === 'trial';
  }

  /** True while the instance may get a trial read. */
  mayTry(now: Millis): boolean {
    if (this.state === 'ejected' && now - this.since >= this.computeDuration()) {
      this.change('trial', now);
    }
    if (this.state !== 'trial') return false;
    return this.trialAt === undefined || now - this.trialAt >= TRIAL_TIMEOUT_MS;
  }

  /** Notes that a read starts on the instance. */
  handleStart(now: Millis): void {
    if (this.state === 'trial') this.trialAt = now;
  }

  /** Notes the success of a trial; returns true when the instance serves again. */
  handleSuccess(now: Millis): boolean {
    this.trialAt = undefined;
    this.trials += 1;
    if (this.trials < TRIALS) return false;
    this.change('serving', now);
    return true;
  }

  /** Begins an ejection, after a failed trial, too. */
  start(now: Millis): void {
    const isForgiven = this.state === 'serving' && now - this.since >= FORGIVE_MS;
    this.count = isForgiven ? 1 : this.count + 1;
    this.change('ejected', now);
  }

  private computeDuration(): Millis {
    return Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** (this.count - 1));
  }

  private change(state: Ejection['state'], now: Millis): void {
    this.state = state;
    this.since = now;
    this.trials = 0;
    this.trialAt = undefined;
  }
}
