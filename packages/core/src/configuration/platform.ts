/** An object of the platform's object API, with its version. */
export interface PlatformObject {
  readonly key: string;
  readonly value: string;
  readonly version: number;
}

/** An entry of the platform's VM list, which lags. */
export interface ListedVm {
  readonly id: string;
  readonly zone: string;
  readonly state: 'live' | 'leaving';
}

/** The objects under a prefix at one revision of the store. */
export interface PlatformListing {
  readonly revision: number;
  readonly objects: readonly PlatformObject[];
}

/** Outcome of a conditional write. `lost`: no answer arrived. */
export type PlatformWriteOutcome =
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'lost' };

/** The platform's object API and VM list. Reads reject when the platform cannot be reached. */
export abstract class Platform {
  abstract read(key: string): Promise<PlatformObject | undefined>;

  /**
   * Writes when the object has `expectedVersion`; 0 means that it must be absent.
   * `lost`: no answer arrived, and the write may have taken effect.
   */
  abstract write(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<PlatformWriteOutcome>;

  abstract list(prefix: string): Promise<PlatformListing>;

  /**
   * Waits for changes after `revision`; resolves with none when nothing changed in time.
   *
   * @throws CompactedError when the changes after `revision` are no longer kept.
   */
  abstract watch(prefix: string, revision: number): Promise<PlatformListing>;

  abstract listVms(): Promise<readonly ListedVm[]>;
}
