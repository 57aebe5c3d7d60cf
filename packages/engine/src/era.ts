import { compareStoreVersions, type Millis, type StoreVersion } from '@shallotpick/core';
import { HistoryGoneError, StoreError } from './errors.js';
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

/**
 * Passes calls to another store and notices in its answers when that store was restored from an
 * older copy. Watches of the era before fail then, and answers of it that arrive late are rejected.
 */
export class EraAwareStore extends ObjectStore {
  /** The newest version of the store seen in any answer. */
  private newest: StoreVersion | undefined;

  private readonly listeners: (() => void)[] = [];

  /** Fail the watches that wait for an answer. */
  private readonly waiting = new Set<() => void>();

  constructor(private readonly options: EraAwareStoreOptions) {
    super();
  }

  /** Adds a listener that is called each time the store was restored. */
  addRestorationListener(listener: () => void): void {
    this.listeners.push(listener);
  }

  override async find(kind: string, name: string): Promise<StoreLookup> {
    const lookup = await this.options.store.find(kind, name);
    this.checkEra({ era: lookup.era, revision: lookup.object?.revision ?? 0 });
    return lookup;
  }

  override async list(kind: string, mayBeStale = false): Promise<StoreListing> {
    const listing = await this.options.store.list(kind, mayBeStale);
    this.checkEra(listing);
    return listing;
  }

  override async watch(kind: string, from: StoreVersion, waitMs: Millis): Promise<StoreChanges> {
    const changes = await this.watchInEra(kind, from, waitMs);
    this.checkEra(changes);
    // The revision has been given out again, so changes before it are missing from the answer.
    if (changes.era !== from.era) throw new HistoryGoneError('the watch began in an earlier era');
    return changes;
  }

  override async write(
    kind: string,
    name: string,
    spec: unknown,
    revision: number,
  ): Promise<StoreWrite> {
    const outcome = await this.options.store.write(kind, name, spec, revision);
    if (outcome.kind !== 'written' && outcome.kind !== 'conflict') return outcome;
    const version = { revision: 0, ...outcome };
    // The store may have lost what it acknowledged in an earlier era.
    if (this.isOfEarlierEra(version)) return { kind: 'unknown' };
    this.handleVersion(version);
    return outcome;
  }

  /** Waits for the answer of a watch, or fails at the first answer of a later era. */
  private async watchInEra(
    kind: string,
    from: StoreVersion,
    waitMs: Millis,
  ): Promise<StoreChanges> {
    return new Promise((resolve, reject) => {
      const fail = (): void => reject(new HistoryGoneError('the store was restored'));
      this.waiting.add(fail);
      this.options.store
        .watch(kind, from, waitMs)
        .then(resolve, reject)
        .finally(() => this.waiting.delete(fail));
    });
  }

  /** @throws StoreError when the answer is of an earlier era than the newest seen. */
  private checkEra(version: StoreVersion): void {
    if (this.isOfEarlierEra(version)) throw new StoreError('late answer of an earlier era');
    this.handleVersion(version);
  }

  private isOfEarlierEra({ era }: StoreVersion): boolean {
    return this.newest !== undefined && era < this.newest.era;
  }

  private handleVersion({ era, revision }: StoreVersion): void {
    const before = this.newest;
    if (before && compareStoreVersions({ era, revision }, before) <= 0) return;
    this.newest = { era, revision };
    if (!before || before.era === era) return;
    const { log, metrics } = this.options;
    metrics.storeRestorations.inc();
    log.warn('store restored from an older copy', {
      ...{ era, revision, watches: this.waiting.size },
      ...{ eraBefore: before.era, revisionBefore: before.revision },
    });
    this.waiting.forEach((fail) => fail());
    this.listeners.forEach((listener) => listener());
  }
}
