import type { Millis } from '../clock.js';

/** A registered instance that has not answered within this time counts as no member. */
const UNPROVEN_TIMEOUT_MS: Millis = 2_000;

/**
 * Registered instances that have never answered. Any writer can register an entry that names a
 * group, so they count for decisions for a short while only.
 */
export class UnprovenEntries {
  /** When each was first seen, by id: an entry may name another start with each write. */
  private readonly since = new Map<string, Millis>();

  /** Updates the ids that have never answered. */
  update(ids: readonly string[], now: Millis): void {
    const present = new Set(ids);
    this.since.forEach((_, id) => {
      if (!present.has(id)) this.since.delete(id);
    });
    ids.forEach((id) => {
      if (!this.since.has(id)) this.since.set(id, now);
    });
  }

  /** True while an instance that has not answered may still turn out to be a member. */
  mayBeMember(id: string, now: Millis): boolean {
    const since = this.since.get(id);
    return since !== undefined && now - since < UNPROVEN_TIMEOUT_MS;
  }

  /** True for an instance that has not answered in time. */
  isForeign(id: string, now: Millis): boolean {
    return this.since.has(id) && !this.mayBeMember(id, now);
  }
}
