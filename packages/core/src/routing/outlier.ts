import type { Millis } from '../clock.js';
import { Ejection } from './ejection.js';
import { ResultWindow, type WorkResult } from './resultwindow.js';

/** Share of failures beyond that of the peers from which an instance is an outlier. */
const FAILURE_MARGIN = 0.2;
/** An instance that is slower by this factor, and by `SLOW_MS`, is an outlier, too. */
const SLOW_FACTOR = 8;
const SLOW_MS: Millis = 100;

/** A change of an instance's use. */
export interface OutlierChange {
  readonly instance: string;
  readonly kind: 'ejected' | 'restored';
  /** Share of failures when the change was made. */
  readonly failureRate: number;
}

/** One instance's results and its ejection. */
interface Observed {
  readonly window: ResultWindow;
  readonly ejection: Ejection;
}

/**
 * Finds instances that fail work, or are slow, against their peers, as one VM sees them. Such an
 * instance gets no reads for a time that doubles with each ejection, then single trial reads.
 * Probes play no part, since an instance may answer them and fail its work.
 */
export class OutlierDetector {
  private readonly observed = new Map<string, Observed>();

  /** Notes the result of work on an instance; returns a change of the instance's use. */
  handleResult(instance: string, result: WorkResult, now: Millis): OutlierChange | undefined {
    const one = this.find(instance, now);
    const { window, ejection } = one;
    window.add(result, now);
    if (ejection.isInTrial()) return this.handleTrial(instance, one, result, now);
    if (!ejection.isServing() || !this.isOutlier(instance, now)) return undefined;
    ejection.start(now);
    return { instance, kind: 'ejected', failureRate: window.computeFailureRate() };
  }

  /** Notes that a read starts on an instance. */
  handleStart(instance: string, now: Millis): void {
    this.observed.get(instance)?.ejection.handleStart(now);
  }

  /** Forgets an instance that has been removed. */
  remove(instance: string): void {
    this.observed.delete(instance);
  }

  /**
   * Lists the instances that the next read must not use: at most half of the candidates, and none
   * while the others fail as much.
   */
  listAvoided(candidates: readonly string[], now: Millis): ReadonlySet<string> {
    if (this.observed.size === 0) return new Set();
    const avoided = candidates.filter((id) => this.isAvoided(id, candidates, now));
    return new Set(avoided.slice(0, Math.floor(candidates.length / 2)));
  }

  private find(instance: string, now: Millis): Observed {
    const known = this.observed.get(instance);
    if (known) return known;
    const created = { window: new ResultWindow(), ejection: new Ejection(now) };
    this.observed.set(instance, created);
    return created;
  }

  private isAvoided(id: string, candidates: readonly string[], now: Millis): boolean {
    const ejection = this.observed.get(id)?.ejection;
    if (!ejection || ejection.isServing() || ejection.mayTry(now)) return false;
    const others = candidates.filter((other) => other !== id);
    return !others.every((other) => this.isFailing(other, now));
  }

  /** True when the instance fails so much that it is no better than an ejected one. */
  private isFailing(id: string, now: Millis): boolean {
    const window = this.observed.get(id)?.window;
    return window?.hasEvidence(now) === true && window.computeFailureRate() >= FAILURE_MARGIN;
  }

  private isOutlier(instance: string, now: Millis): boolean {
    const { window } = this.find(instance, now);
    if (!window.hasEvidence(now)) return false;
    const peers = [...this.observed].flatMap(([id, peer]) =>
      id !== instance && peer.window.hasEvidence(now) ? peer.window : [],
    );
    const peerRate = Math.max(0, ...peers.map((peer) => peer.computeFailureRate()));
    if (window.computeFailureRate() >= peerRate + FAILURE_MARGIN) return true;
    if (peers.length === 0) return false;
    const peerMs = Math.max(...peers.map((peer) => peer.computeLatency()));
    const ownMs = window.computeLatency();
    return ownMs >= peerMs * SLOW_FACTOR && ownMs >= peerMs + SLOW_MS;
  }

  private handleTrial(
    instance: string,
    { window, ejection }: Observed,
    { isFailed }: WorkResult,
    now: Millis,
  ): OutlierChange | undefined {
    if (isFailed) {
      ejection.start(now);
      return { instance, kind: 'ejected', failureRate: window.computeFailureRate() };
    }
    if (!ejection.handleSuccess(now)) return undefined;
    window.clear();
    return { instance, kind: 'restored', failureRate: 0 };
  }
}
