import type { Millis } from '../clock.js';
import { computeHash } from '../membership/rendezvous.js';

/** Size of the LRU table of fingerprints, so that generated texts cannot fill the memory. */
const MAX_FINGERPRINTS = 2_000;
/** Text beyond this does not affect the fingerprint. */
const MAX_FINGERPRINT_CHARS = 512;
/** A statement below this is never long, however short the others are. */
const LONG_MIN_MS: Millis = 100;
/** A long statement takes at least this many times the typical cost. */
const LONG_RATIO = 8;
const FALL_WEIGHT = 0.5;
/** Small, since a sample that is too high usually includes waiting at the instance. */
const RISE_WEIGHT = 0.1;
/** Samples are capped at this multiple of the known cost, to limit outliers (paused instances). */
const MAX_SAMPLE_RATIO = 10;
/** Steps by this factor towards each sample converge on the median of all statements. */
const TYPICAL_STEP = 1.05;
const INITIAL_TYPICAL_MS: Millis = 5;

/** A statement is long only if this many runs were: short ones are rarely blocked that often. */
const RECENT_RUNS = 8;

/** Cost of one fingerprint, as learned from its runs. */
interface LearnedCost {
  costMs: Millis;
  isLong: boolean;
  /** Durations of the last runs. */
  readonly recent: readonly Millis[];
}

/** Replaces literals and folds white space, so that statements that differ in values are equal. */
export function formatFingerprint(text: string): string {
  return text
    .slice(0, MAX_FINGERPRINT_CHARS)
    .replace(/'(?:[^']|'')*'?/g, '?')
    .replace(/\b\d+(?:\.\d+)?\b/g, '?')
    .replace(/\?(?:\s*,\s*\?)+/g, '?')
    .replace(/\s+/g, ' ')
    .toLowerCase();
}

/** Computes the key of a statement's cost from its fingerprint and its contract. */
export function computeCostKey(text: string, contract: string): string {
  const fingerprint = formatFingerprint(text);
  return `${contract}:${computeHash(fingerprint)}:${fingerprint.length}`;
}

/** Learns the cost of statements by key, in bounded memory. */
export class CostEstimator {
  // A Map iterates in insertion order; each use moves a key to the end.
  private readonly learned = new Map<string, LearnedCost>();

  private typicalMs: Millis = INITIAL_TYPICAL_MS;

  constructor(private readonly maxFingerprints = MAX_FINGERPRINTS) {}

  /** Returns the number of fingerprints kept. */
  countFingerprints(): number {
    return this.learned.size;
  }

  /** Returns the learned cost of the statement; the typical cost when it is unknown. */
  findCost(key: string): Millis {
    return this.learned.get(key)?.costMs ?? this.typicalMs;
  }

  /** Returns the cost of a typical statement. */
  readTypicalCost(): Millis {
    return this.typicalMs;
  }

  /** True once the statement has proved long, until its cost falls below half the threshold. */
  isLong(key: string): boolean {
    return this.learned.get(key)?.isLong ?? false;
  }

  /** Returns the duration from which a statement counts as long. */
  readLongThreshold(): Millis {
    return Math.max(LONG_MIN_MS, LONG_RATIO * this.typicalMs);
  }

  /** Records how long one run of the statement took on an instance. */
  add(key: string, tookMs: Millis): void {
    const known = this.learned.get(key);
    const costMs = known ? this.mergeSample(known.costMs, tookMs) : tookMs;
    const bound = this.readLongThreshold();
    const recent = [...(known?.recent ?? []), tookMs].slice(-RECENT_RUNS);
    const isLong = Math.min(costMs, ...recent) >= (known?.isLong ? bound / 2 : bound);
    this.learned.delete(key);
    this.learned.set(key, { costMs, isLong, recent });
    // Long statements count too: if most statements take 100 ms, 100 ms is not long.
    this.typicalMs *= tookMs > this.typicalMs ? TYPICAL_STEP : 1 / TYPICAL_STEP;
    if (this.learned.size <= this.maxFingerprints) return;
    const [oldest] = this.learned.keys();
    if (oldest !== undefined) this.learned.delete(oldest);
  }

  private mergeSample(before: Millis, tookMs: Millis): Millis {
    if (tookMs < before) return before + FALL_WEIGHT * (tookMs - before);
    const sample = Math.min(tookMs, MAX_SAMPLE_RATIO * Math.max(before, 1));
    return before + RISE_WEIGHT * (sample - before);
  }
}
