import type { Millis } from '../clock.js';
import { WorkCosts } from './workcost.js';

/** The usual latency rises by at most this share a second, so that a crowded time doesn't count. */
const RISE_PER_SECOND = 0.02;
const MS_PER_SECOND = 1_000;
/** Kinds of work that are kept; the least recently used goes first. */
const MAX_KINDS = 256;

/** The usual latency of one kind of work, and when it was computed. */
interface UsualLatency {
  readonly usualMs: Millis;
  readonly at: Millis;
}

/**
 * Learns the latency of statements without a wait, by kind of work: the least of the medians, which
 * is slowly given up.
 */
export class UsualLatencies {
  private readonly medians = new WorkCosts();

  // A Map iterates in insertion order; each sample moves its kind to the end.
  private readonly kinds = new Map<string, UsualLatency>();

  /** Records a latency, and returns the usual one; undefined while it isn't known. */
  add(kind: string, tookMs: Millis, now: Millis): Millis | undefined {
    this.medians.add(kind, tookMs, now);
    const medianMs = this.medians.find(kind, now)?.medianMs;
    if (medianMs === undefined) return undefined;
    const known = this.kinds.get(kind) ?? { usualMs: medianMs, at: now };
    const risenMs = known.usualMs * (1 + (RISE_PER_SECOND * (now - known.at)) / MS_PER_SECOND);
    const usualMs = Math.min(risenMs, medianMs);
    this.kinds.delete(kind);
    this.kinds.set(kind, { usualMs, at: now });
    if (this.kinds.size > MAX_KINDS) this.dropOldest();
    return usualMs;
  }

  private dropOldest(): void {
    const [oldest] = this.kinds.keys();
    if (oldest !== undefined) this.kinds.delete(oldest);
  }
}
