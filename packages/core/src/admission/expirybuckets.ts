import type { Millis } from '../clock.js';

/** Work that expires within the same bucket is found together. */
const BUCKET_MS: Millis = 25;

/** Items by the time of their expiry. What a tick costs depends on the items that expire. */
export class ExpiryBuckets<T extends { readonly deadline: Millis }> {
  private readonly buckets = new Map<number, Set<T>>();

  private collectedUntil: number | undefined;

  add(item: T): void {
    const bucket = this.findBucket(item);
    const items = this.buckets.get(bucket);
    if (items) items.add(item);
    else this.buckets.set(bucket, new Set([item]));
    this.collectedUntil = Math.min(this.collectedUntil ?? bucket, bucket);
  }

  remove(item: T): void {
    const bucket = this.findBucket(item);
    const items = this.buckets.get(bucket);
    if (items?.delete(item) && items.size === 0) this.buckets.delete(bucket);
  }

  /** Removes and returns the items that have expired. */
  takeExpired(now: Millis): readonly T[] {
    if (this.buckets.size === 0) {
      this.collectedUntil = undefined;
      return [];
    }
    const end = Math.floor(now / BUCKET_MS);
    const expired: T[] = [];
    for (let bucket = this.collectedUntil ?? end; bucket <= end; bucket += 1) {
      this.buckets.get(bucket)?.forEach((item) => expired.push(item));
      this.buckets.delete(bucket);
    }
    this.collectedUntil = end + 1;
    return expired;
  }

  private findBucket({ deadline }: T): number {
    return Math.ceil(deadline / BUCKET_MS);
  }
}
