import type { Millis } from '../clock.js';

/** Samples of one kind of work that are kept. */
const MAX_SAMPLES = 32;
/** With fewer samples the cost is unknown. */
const MIN_SAMPLES = 5;
/** Samples that are older don't count. */
const MAX_AGE_MS: Millis = 30_000;
/** Kinds of work that are kept; the least recently used goes first. */
const MAX_KINDS = 256;
const TAIL_QUANTILE = 0.9;

/** What one kind of work has cost lately. */
export interface LearntCost {
  readonly medianMs: Millis;
  readonly tailMs: Millis;
}

/** How long one piece of work took, and when that was known. */
interface Sample {
  readonly tookMs: Millis;
  readonly at: Millis;
}

/** The last samples of one kind of work. */
class CostSamples {
  private samples: Sample[] = [];

  private cost: LearntCost | undefined;

  add(sample: Sample): void {
    this.samples.push(sample);
    if (this.samples.length > MAX_SAMPLES) this.samples.shift();
    this.cost = undefined;
  }

  find(now: Millis): LearntCost | undefined {
    const { samples } = this;
    const [oldest] = samples;
    if (oldest && now - oldest.at > MAX_AGE_MS) {
      this.samples = samples.filter(({ at }) => now - at <= MAX_AGE_MS);
      this.cost = undefined;
    }
    if (this.samples.length < MIN_SAMPLES) return undefined;
    this.cost ??= this.compute();
    return this.cost;
  }

  private compute(): LearntCost {
    const sorted = this.samples.map(({ tookMs }) => tookMs).sort((a, b) => a - b);
    const readQuantile = (share: number): Millis =>
      sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
    return { medianMs: readQuantile(0.5), tailMs: readQuantile(TAIL_QUANTILE) };
  }
}

/** Learns how long work occupies a slot, by kind of work, in bounded memory. */
export class WorkCosts {
  // A Map iterates in insertion order; each sample moves its kind to the end.
  private readonly kinds = new Map<string, CostSamples>();

  private readonly all = new CostSamples();

  /** Records how long one piece of work has occupied a slot. */
  add(kind: string, tookMs: Millis, now: Millis): void {
    const samples = this.kinds.get(kind) ?? new CostSamples();
    samples.add({ tookMs, at: now });
    this.all.add({ tookMs, at: now });
    this.kinds.delete(kind);
    this.kinds.set(kind, samples);
    if (this.kinds.size <= MAX_KINDS) return;
    const [oldest] = this.kinds.keys();
    if (oldest !== undefined) this.kinds.delete(oldest);
  }

  /** Returns the cost of a kind of work; undefined while it isn't known. */
  find(kind: string, now: Millis): LearntCost | undefined {
    return this.kinds.get(kind)?.find(now);
  }

  /** Returns the cost of all work; undefined while it isn't known. */
  findTypical(now: Millis): LearntCost | undefined {
    return this.all.find(now);
  }

  /** Returns the number of kinds that are kept. */
  countKinds(): number {
    return this.kinds.size;
  }
}
