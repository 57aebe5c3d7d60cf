/** A point in the history of the platform's store. */
export interface StoreVersion {
  /**
   * Rises each time the store is restored from an older copy. What was written after that copy is
   * lost then, and revisions are given out again, so revisions of different eras aren't comparable.
   */
  readonly era: number;
  readonly revision: number;
}

/** Orders versions by era, then by revision; negative when `a` is the older one. */
export function compareStoreVersions(a: StoreVersion, b: StoreVersion): number {
  return a.era - b.era || a.revision - b.revision;
}
