import { compareStoreVersions, type StoreVersion } from '@shallotpick/core';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import {
  ObjectStore,
  type StoreChanges,
  type StoreListing,
  type StoreLookup,
  type StoreWrite,
} from './store.js';

/** Services of an `EraAwareStore`. */
export interface EraAwareStoreOptions {
  readonly store: ObjectStore;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Notices in the answers of another store when that store was restored from an older copy. */
export class EraAwareStore extends ObjectStore {
  /** The newest version of the store seen in any answer. */
  private newest: StoreVersion | undefined;

  constructor(private readonly options: EraAwareStoreOptions) {
    super();
  }

  override async find(kind: string, name: string): Promise<StoreLookup> {
    const lookup = await this.options.store.find(kind, name);
    this.handleVersion({ era: lookup.era, revision: lookup.object?.revision ?? 0 });
    return lookup;
  }

  override async list(kind: string, mayBeStale = false): Promise<StoreListing> {
    const listing = await this.options.store.list(kind, mayBeStale);
    this.handleVersion(listing);
    return listing;
  }

  override async watch(kind: string, revision: number, waitMs: number): Promise<StoreChanges> {
    const changes = await this.options.store.watch(kind, revision, waitMs);
    this.handleVersion(changes);
    return changes;
  }

  override async write(
    kind: string,
    name: string,
    spec: unknown,
    revision: number,
  ): Promise<StoreWrite> {
    const outcome = await this.options.store.write(kind, name, spec, revision);
    if (outcome.kind === 'written') this.handleVersion(outcome);
    if (outcome.kind === 'conflict') this.handleVersion({ era: outcome.era, revision: 0 });
    return outcome;
  }

  private handleVersion({ era, revision }: StoreVersion): void {
    const before = this.newest;
    if (before && compareStoreVersions({ era, revision }, before) <= 0) return;
    this.newest = { era, revision };
    if (!before || before.era === era) return;
    const { log, metrics } = this.options;
    metrics.storeEras.inc();
    log.warn('store restored from an older copy', {
      ...{ era, revision },
      ...{ eraBefore: before.era, revisionBefore: before.revision },
    });
  }
}
