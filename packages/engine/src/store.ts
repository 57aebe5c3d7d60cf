import type { Millis, StoreVersion } from '@shallotpick/core';

/** An object of the platform's store. */
export interface StoredObject {
  readonly name: string;
  /** Revision of the object's last change. */
  readonly revision: number;
  readonly spec: unknown;
}

/** An object, or its absence, in an era of the store. */
export interface StoreLookup {
  readonly object: StoredObject | undefined;
  readonly era: number;
}

/** All objects of a kind at a version of the store, at which a watch can start. */
export interface StoreListing extends StoreVersion {
  readonly objects: readonly StoredObject[];
  /** True when there may be further objects, which can't be read; absence tells nothing then. */
  readonly isPartial?: boolean;
}

/** A change of one object. */
export interface StoreChange {
  readonly object: StoredObject;
  readonly isDeleted: boolean;
}

/** The changes of a kind up to a version of the store. */
export interface StoreChanges extends StoreVersion {
  readonly changes: readonly StoreChange[];
  /** True when there were further changes, of objects whose names can't be read. */
  readonly isPartial?: boolean;
}

/** Outcome of a write to the store. */
export type StoreWrite =
  | ({ readonly kind: 'written' } & StoreVersion)
  | { readonly kind: 'conflict'; readonly era: number }
  /** No answer: the write may have taken effect or may do so later. */
  | { readonly kind: 'unknown' }
  /** The store refused the call before it had any effect. */
  | { readonly kind: 'refused' };

/** The platform's object store. Reads reject with StoreError when they get no usable response. */
export abstract class ObjectStore {
  abstract find(kind: string, name: string): Promise<StoreLookup>;

  /** Lists a kind; with `mayBeStale` the list is cheaper but may be seconds old. */
  abstract list(kind: string, mayBeStale?: boolean): Promise<StoreListing>;

  /**
   * Waits up to `waitMs` for changes of a kind after a version of the store.
   *
   * @throws HistoryGoneError when the store no longer has the changes after that version.
   */
  abstract watch(kind: string, from: StoreVersion, waitMs: Millis): Promise<StoreChanges>;

  /** Writes an object if its revision is still `revision`; 0 means that it must not exist. */
  abstract write(kind: string, name: string, spec: unknown, revision: number): Promise<StoreWrite>;
}

/** Requests promotions from the platform, which refuses a fencing token below one it has seen. */
export abstract class PromotionService {
  abstract promote(
    group: string,
    instance: string,
    token: number,
  ): Promise<'accepted' | 'refused' | 'unknown'>;
}
