/** An object of the platform's store. */
export interface StoredObject {
  readonly name: string;
  /** Revision of the object's last change. */
  readonly revision: number;
  readonly spec: unknown;
}

export interface StoreListing {
  readonly objects: readonly StoredObject[];
  /** Revision of the store, from which a watch goes on. */
  readonly revision: number;
}

export interface StoreChange {
  readonly object: StoredObject;
  readonly isDeleted: boolean;
}

export interface StoreChanges {
  readonly changes: readonly StoreChange[];
  readonly revision: number;
}

export type StoreWrite =
  | { readonly kind: 'written'; readonly revision: number }
  | { readonly kind: 'conflict' }
  /** No answer: the write may have taken effect, or may do so later. */
  | { readonly kind: 'unknown' }
  /** The store refused the call before it had any effect. */
  | { readonly kind: 'refused' };

/** The platform's object store. Reads reject with StoreError when no usable answer came. */
export abstract class ObjectStore {
  abstract find(kind: string, name: string): Promise<StoredObject | undefined>;

  /** Lists a kind; with `mayBeStale` cheaper, and seconds old. */
  abstract list(kind: string, mayBeStale?: boolean): Promise<StoreListing>;

  /**
   * Waits up to `waitMs` for changes of a kind after `revision`.
   *
   * @throws HistoryGoneError when the changes after `revision` are no longer kept.
   */
  abstract watch(kind: string, revision: number, waitMs: number): Promise<StoreChanges>;

  /** Writes an object's content when it still has `revision`; 0 means that it must be absent. */
  abstract write(kind: string, name: string, spec: unknown, revision: number): Promise<StoreWrite>;
}

/** Orders promotions at the platform. */
export abstract class PromotionService {
  abstract promote(
    group: string,
    instance: string,
    generation: number,
  ): Promise<'accepted' | 'refused' | 'unknown'>;
}
