import { randomBytes } from 'node:crypto';
import type { Random } from '@shallotpick/bench';
import type { Millis, OperationRate } from '@shallotpick/core';
import type { KeyedOrganisation } from '@shallotpick/engine';

const KEY_BYTES = 12;

/** An organisation of a run and the only key of its callers. */
export interface SoakOrganisation {
  readonly name: string;
  readonly key: string;
}

/** A time in which a key was not in force; without an end it still isn't. */
interface Revocation {
  readonly key: string;
  readonly from: Millis;
  to: Millis;
}

/** The organisations of a run: gives out keys, takes them away and remembers when. */
export class SoakOrganisations {
  readonly list: readonly SoakOrganisation[];

  private readonly revoked = new Set<string>();

  private readonly revocations: Revocation[] = [];

  private readonly rateLimits = new Map<string, OperationRate>();

  /** @param publish writes the organisations into the configuration, as the operator does */
  constructor(
    count: number,
    private readonly publish: (organisations: readonly KeyedOrganisation[]) => void,
    private readonly readNow: () => Millis,
  ) {
    this.list = Array.from({ length: count }, (_, index) => ({
      name: `organisation${index}`,
      key: randomBytes(KEY_BYTES).toString('hex'),
    }));
  }

  /** The organisations as the configuration has them now; undefined when the run has none. */
  encode(): readonly KeyedOrganisation[] | undefined {
    if (this.list.length === 0) return undefined;
    return this.list.map(({ name, key }) => ({
      ...{ name, keys: this.revoked.has(key) ? [] : [key] },
      rateLimit: this.rateLimits.get(name),
    }));
  }

  /** Draws the rate limits, of which half of the organisations have none. */
  drawRateLimits(random: Random, mostPerSecond: number): void {
    this.list.forEach(({ name }) => {
      const ratePerSecond = 1 + random.nextInt(mostPerSecond);
      if (random.nextInt(2) === 0) this.rateLimits.delete(name);
      else this.rateLimits.set(name, { ratePerSecond, burst: ratePerSecond });
    });
  }

  removeRateLimits(): void {
    this.rateLimits.clear();
  }

  /** Takes the key of one organisation away; returns the function that gives it back. */
  revokeKey(index: number): () => void {
    const found = this.list[index % Math.max(1, this.list.length)];
    if (!found || this.revoked.has(found.key)) return () => undefined;
    const { key } = found;
    this.revoked.add(key);
    this.publish(this.encode() ?? []);
    const revocation = { key, from: this.readNow(), to: Number.POSITIVE_INFINITY };
    this.revocations.push(revocation);
    return () => {
      revocation.to = this.readNow();
      this.revoked.delete(key);
      this.publish(this.encode() ?? []);
    };
  }

  /** True when a key had been taken away for at least `limitMs` at a time. */
  wasRevoked(key: string, at: Millis, limitMs: Millis): boolean {
    return this.revocations.some(
      (one) => one.key === key && at >= one.from + limitMs && at < one.to,
    );
  }
}
