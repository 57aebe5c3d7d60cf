import type { Millis } from './clock.js';
import { computeHash } from './rendezvous.js';

/** Shapes kept; the one not used for longest goes first, so generated texts cannot fill memory. */
const MAX_SHAPES = 2_000;
/** Text beyond this does not tell shapes apart. */
const MAX_SHAPE_CHARS = 512;
/** Below this no statement counts as long, however short the others are. */
const LONG_MIN_MS: Millis = 100;
/** A long statement takes at least this many times the typical short one. */
const LONG_RATIO = 8;
const FALL_WEIGHT = 0.5;
/** Small, since a sample that is too high usually contains waiting at the instance. */
const RISE_WEIGHT = 0.1;
/** One outlier (a paused instance) raises a known cost at most by this factor times its weight. */
const MAX_SAMPLE_RATIO = 10;
/** Steps of this factor towards each sample lead to the median of all statements. */
const TYPICAL_STEP = 1.05;
const FIRST_TYPICAL_MS: Millis = 5;

/** A statement is long only when its last runs all were; a short one is not blocked that often. */
const RECENT_RUNS = 8;

interface Learned {
  costMs: Millis;
  isLong: boolean;
  /** How long the last runs took. */
  readonly recent: readonly Millis[];
}

/** The text with literals replaced and white space folded, so that equal work has equal shape. */
export function formatFingerprint(text: string): string {
  return text
    .slice(0, MAX_SHAPE_CHARS)
    .replace(/'(?:[^']|'')*'?/g, '?')
    .replace(/\b\d+(?:\.\d+)?\b/g, '?')
    .replace(/\?(?:\s*,\s*\?)+/g, '?')
    .replace(/\s+/g, ' ')
    .toLowerCase();
}

/** Key of a statement's cost: its shape and its contract. */
export function computeCostKey(text: string, contract: string): string {
  const shape = formatFingerprint(text);
  return `${contract}:${computeHash(shape)}:${shape.length}`;
}

/** Costs learned per key. Memory is bounded by the number of shapes kept. */
export class CostEstimator {
  // A Map iterates in insertion order; each use moves a key to the end.
  private readonly learned = new Map<string, Learned>();

  private typicalMs: Millis = FIRST_TYPICAL_MS;

  constructor(private readonly maxShapes = MAX_SHAPES) {}

  /** Number of shapes kept. */
  countFingerprints(): number {
    return this.learned.size;
  }

  /** Learned cost of the statement; the typical short cost when it is unknown. */
  findCost(key: string): Millis {
    return this.learned.get(key)?.costMs ?? this.typicalMs;
  }

  /** Cost of a typical short statement. */
  readTypicalCost(): Millis {
    return this.typicalMs;
  }

  /** True once the statement has turned out long, until its cost falls to half the bound. */
  isLong(key: string): boolean {
    return this.learned.get(key)?.isLong ?? false;
  }

  /** Time from which on a statement counts as long. */
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
    // Long statements count too: where most take 100 ms, 100 ms is not long.
    this.typicalMs *= tookMs > this.typicalMs ? TYPICAL_STEP : 1 / TYPICAL_STEP;
    if (this.learned.size <= this.maxShapes) return;
    const [oldest] = this.learned.keys();
    if (oldest !== undefined) this.learned.delete(oldest);
  }

  private mergeSample(before: Millis, tookMs: Millis): Millis {
    if (tookMs < before) return before + FALL_WEIGHT * (tookMs - before);
    const sample = Math.min(tookMs, MAX_SAMPLE_RATIO * Math.max(before, 1));
    return before + RISE_WEIGHT * (sample - before);
  }
}
