import type { Millis } from '../clock.js';
import { WindowAccount } from './windowaccount.js';

/** Fewer operations in the life of a permit are no reason to ask ahead. */
const MIN_PREFETCH = 3;

/** Permits of one grant. */
export class PermitBatch {
  constructor(
    /** The lender's process. */
    readonly run: string,
    /** The interval of the lender's account in which they were issued. */
    readonly interval: number,
    readonly endsAt: Millis,
    private left: number,
  ) {}

  countLeft(): number {
    return this.left;
  }

  /** Takes a permit; false when none is left. */
  take(): boolean {
    if (this.left === 0) return false;
    this.left -= 1;
    return true;
  }

  giveBack(): void {
    this.left += 1;
  }

  /** Takes all permits that are left. */
  takeAll(): number {
    const { left } = this;
    this.left = 0;
    return left;
  }
}

/** The permits that a VM holds for one organisation, and what the organisation wants. */
export class PermitHolding {
  /** The batches with permits, in the order in which they end. */
  private batches: readonly PermitBatch[] = [];

  private readonly demand: WindowAccount;

  /** Operations that were started without a lender. */
  readonly floor: WindowAccount;

  private limitedUntil: Millis = Number.NEGATIVE_INFINITY;

  constructor(permitLifetimeMs: Millis, floorSpanMs: Millis) {
    this.demand = new WindowAccount(permitLifetimeMs);
    this.floor = new WindowAccount(floorSpanMs);
  }

  recordDemand(now: Millis): void {
    this.demand.add(1, now);
  }

  add(batch: PermitBatch): void {
    if (!this.batches.includes(batch)) this.batches = [...this.batches, batch];
  }

  /** Takes a permit from the batch that ends first; returns that batch. */
  take(): PermitBatch | undefined {
    return this.batches.find((batch) => batch.take());
  }

  /** Removes the batches that have ended and those without permits; returns the former. */
  removeEnded(now: Millis): readonly PermitBatch[] {
    if (this.batches.length === 0) return [];
    const ended = this.batches.filter(({ endsAt }) => endsAt <= now);
    this.batches = this.batches.filter((batch) => batch.endsAt > now && batch.countLeft() > 0);
    return ended;
  }

  /** Notes that the organisation has used up its limit; it is asked for again later. */
  setLimited(until: Millis): void {
    this.limitedUntil = until;
  }

  isLimited(now: Millis): boolean {
    return now < this.limitedUntil;
  }

  /** True when nothing is held and nothing was wanted lately. */
  isIdle(now: Millis): boolean {
    return this.batches.length + this.demand.readSum(now) + this.floor.readSum(now) === 0;
  }

  /** True when less than half of what will be needed is held. */
  mustAskAhead(now: Millis): boolean {
    return !this.isLimited(now) && this.countHeld() * 2 < this.computeTarget(now);
  }

  /** Permits to ask for, with those that `waiting` operations need. */
  computeWanted(waiting: number, now: Millis): number {
    if (this.isLimited(now)) return 0;
    return Math.max(0, this.computeTarget(now) + waiting - this.countHeld());
  }

  private countHeld(): number {
    return this.batches.reduce((sum, batch) => sum + batch.countLeft(), 0);
  }

  /** Permits that the recent demand needs within the life of a permit. */
  private computeTarget(now: Millis): number {
    const recent = this.demand.readSum(now);
    return recent >= MIN_PREFETCH ? recent : 0;
  }
}
