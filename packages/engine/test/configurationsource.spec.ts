import { ManualClock, type Millis, type StoreVersion } from '@shallotpick/core';
import { expect } from 'earl';
import {
  ConfigurationHolder,
  createEngineLog,
  Metrics,
  OrganisationIndex,
  type ServiceConfiguration,
  type StoreChanges,
  StoreError,
  type StoreListing,
  wait,
} from '../src/index.js';
import { EraAwareStore } from '../src/era.js';
import { ConfigurationSource } from '../src/configurationsource.js';
import type { SourceOptions } from '../src/sourcewatcher.js';
import { createConfiguration, FakeStore } from './store.js';

const KIND = 'configurations';
const REVOCATION_MS: Millis = 5_000;
const LEASE_MS: Millis = 4_500;
/** Until the answers that wait have been handled. */
const SETTLE_MS: Millis = 30;
const BASE = createConfiguration(6, { timeoutMs: 100, transactionIdleMs: 100 });
const organisations = new OrganisationIndex([{ name: 'north', keys: ['a'], rateLimit: undefined }]);

/** A store whose listings and watches the test answers. */
class ScriptedStore extends FakeStore {
  /** Number of listings so far. */
  lists = 0;

  isListCut = false;

  private readonly waiting: ((changes: Partial<StoreChanges> | Error) => void)[] = [];

  /** Where the watches began. */
  readonly watchedFrom: number[] = [];

  constructor() {
    super();
    this.putVersion(1);
  }

  putVersion(version: number): void {
    this.put(KIND, 'main', { ...BASE, version, organisations });
  }

  override async list(kind: string): Promise<StoreListing> {
    this.lists += 1;
    if (this.isListCut) throw new StoreError('the store is cut off');
    return super.list(kind);
  }

  override async watch(_: string, from: StoreVersion): Promise<StoreChanges> {
    this.watchedFrom.push(from.revision);
    const answer = await new Promise<Partial<StoreChanges> | Error>((resolve) => {
      this.waiting.push(resolve);
    });
    if (answer instanceof Error) throw answer;
    return { changes: [], revision: from.revision, era: from.era, ...answer };
  }

  /** Answers the watch that waits. */
  async answerWatch(answer: Partial<StoreChanges> | Error): Promise<void> {
    this.waiting.shift()?.(answer);
    await wait(SETTLE_MS);
  }
}

describe('ConfigurationSource', () => {
  let store: ScriptedStore;
  let clock: ManualClock;
  let source: ConfigurationSource;
  let configuration: ConfigurationHolder;

  beforeEach(async () => {
    store = new ScriptedStore();
    clock = new ManualClock();
    configuration = new ConfigurationHolder();
    const log = createEngineLog('error', 'test');
    const metrics = new Metrics();
    source = new ConfigurationSource({
      parts: {
        ...{ log, metrics, zone: 'z', configurationKind: KIND, configurationName: 'main' },
        ...{ configurationApplyMs: 5_000, stableWindowMs: 5_000, revocationMs: REVOCATION_MS },
        decodeConfiguration: ({ name, spec }: { readonly name: string; readonly spec: unknown }) =>
          name === 'main' && spec ? (spec as ServiceConfiguration) : undefined,
      },
      store: new EraAwareStore({ store, log, metrics }),
      ...{ clock, ageClock: clock, configuration, receivers: {} },
      placement: { findReaderRank: () => 0, isAnyHome: () => true },
    } as unknown as SourceOptions);
    source.watcher.start();
    await wait(SETTLE_MS);
  });

  afterEach(() => source.watcher.stop());

  /** Reads the configuration as the verifier does when its proof is old. */
  const readAgain = async (): Promise<void> => {
    clock.advance(LEASE_MS);
    source.verifier.handleTick();
    await wait(SETTLE_MS);
  };

  it('proves the version that a listing shows', async () => {
    expect(source.verifier.areKeysInForce()).toEqual(true);
    await readAgain();
    expect(source.verifier.areKeysInForce()).toEqual(true);
  });

  // Each answer renewed the proof of the version that was seen last, whether or not it showed it.
  it('takes no proof from a listing that lacks the configuration', async () => {
    store.restore(KIND, [], 100);
    store.era -= 1;
    await readAgain();
    expect(source.verifier.areKeysInForce()).toEqual(false);
  });

  it('does not ask at each tick while listings lack the configuration', async () => {
    store.restore(KIND, [], 100);
    store.era -= 1;
    await readAgain();
    const before = store.lists;
    source.verifier.handleTick();
    await wait(SETTLE_MS);
    expect(store.lists).toEqual(before);
  });

  // An object of another name behind the configuration took its proof away.
  it('is not confused by other objects of the kind', async () => {
    store.put(KIND, 'other', undefined);
    await readAgain();
    expect(source.verifier.areKeysInForce()).toEqual(true);
  });

  it('takes no proof from a watch behind a change that cannot be read', async () => {
    const before = store.lists;
    clock.advance(1_000);
    store.isListCut = true;
    await store.answerWatch({ isPartial: true });
    expect(store.lists).toEqual(before + 1);
    clock.advance(LEASE_MS - 1_000);
    expect(source.verifier.areKeysInForce()).toEqual(false);
  });

  it('takes no proof from a watch once the configuration was deleted', async () => {
    const object = { name: 'main', revision: 9, spec: undefined };
    await store.answerWatch({ changes: [{ object, isDeleted: true }], revision: 9 });
    await wait(300);
    clock.advance(1_000);
    await store.answerWatch({ revision: 9 });
    await store.answerWatch({ revision: 9 });
    clock.advance(LEASE_MS - 1_000);
    expect(source.verifier.areKeysInForce()).toEqual(false);
  });

  // A change that a watch never carried was lost for good behind the revision with which it ended.
  it('finds a change that a silent watch has passed over', async () => {
    const [first = 0] = store.watchedFrom;
    store.putVersion(2);
    const { revision } = await store.list(KIND);
    await store.answerWatch({ revision });
    expect(store.watchedFrom).toEqual([first, first]);
    await store.answerWatch({ revision: revision + 1 });
    expect(store.watchedFrom).toEqual([first, first, revision]);
  });
});
