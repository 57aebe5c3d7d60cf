/** Revisions of one era in the range of encoded versions; those of later eras are above it. */
const REVISIONS_PER_ERA = 2 ** 32;
/** Greatest revision and era whose versions are encoded without loss. */
export const MAX_REVISION = REVISIONS_PER_ERA - 1;
export const MAX_ERA = 2 ** 20 - 1;

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

/** Encodes a version as a number that rises across eras. */
export function encodeStoreVersion({ era, revision }: StoreVersion): number {
  return era * REVISIONS_PER_ERA + revision;
}

/** Decodes a number that {@link encodeStoreVersion} returned. */
export function decodeStoreVersion(encoded: number): StoreVersion {
  const revision = encoded % REVISIONS_PER_ERA;
  return { era: (encoded - revision) / REVISIONS_PER_ERA, revision };
}

/** Returns the version, encoded, of an object that is absent in the era of an encoded version. */
export function computeAbsentVersion(encoded: number): number {
  return encodeStoreVersion({ era: decodeStoreVersion(encoded).era, revision: 0 });
}
