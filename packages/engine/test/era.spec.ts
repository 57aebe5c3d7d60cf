import type { StoreVersion } from '@shallotpick/core';
import { expect } from 'earl';
import {
  createEngineLog,
  EraAwareStore,
  HistoryGoneError,
  Metrics,
  ObjectWatcher,
  type StoreChanges,
  type StoreListing,
  StoreError,
  SystemClock,
  wait,
} from '../src/index.js';
import { FakeStore } from './store.js';

const KIND = 'instances';
const LONG_WATCH_MS = 60_000;

/** Store whose watches wait until they are answered by hand, and whose lists may be delayed. */
class SlowStore extends FakeStore {
  heldList: Promise<void> | undefined;

  override async list(kind: string): Promise<StoreListing> {
    const listing = await super.list(kind);
    await this.heldList;
    return listing;
  }

  override async watch(): Promise<StoreChanges> {
    await wait(LONG_WATCH_MS);
    throw new Error('the watch was not left');
  }
}

function createStore<T extends FakeStore>(store: T): { inner: T; outer: EraAwareStore } {
  const options = { log: createEngineLog('error', 'test'), metrics: new Metrics() };
  return { inner: store, outer: new EraAwareStore({ store, ...options }) };
}

async function describeOutcome(call: Promise<unknown>): Promise<string> {
  return call.then(
    () => 'answered',
    (error: Error) => error.constructor.name,
  );
}

describe('EraAwareStore', () => {
  // The restored store had reached the watched revision again, so that a watch told only what came
  // later: a configuration that was written in between stayed unknown.
  it('fails a watch that is answered in a later era than its revision', async () => {
    const { inner, outer } = createStore(new FakeStore());
    inner.put(KIND, 'a', {});
    const from = await outer.list(KIND);
    inner.restore(KIND, [['b', {}]], from.revision);
    expect(await describeOutcome(outer.watch(KIND, from, 100))).toEqual(HistoryGoneError.name);
  });

  it('fails waiting watches once another answer names a later era', async () => {
    const { inner, outer } = createStore(new SlowStore());
    const from = await outer.list(KIND);
    const watch = describeOutcome(outer.watch(KIND, from, LONG_WATCH_MS));
    inner.restore(KIND, [], from.revision);
    await outer.find(KIND, 'a');
    expect(await watch).toEqual(HistoryGoneError.name);
  });

  // A list of before the return arrived after one of after it, and undid what that one had told.
  it('rejects an answer of an earlier era that arrives late', async () => {
    const { inner, outer } = createStore(new SlowStore());
    let release = (): void => undefined;
    inner.heldList = new Promise((resolve) => {
      release = resolve;
    });
    const late = describeOutcome(outer.list(KIND));
    await wait(1);
    inner.heldList = undefined;
    inner.restore(KIND, [], 0);
    await outer.list(KIND);
    release();
    expect(await late).toEqual(StoreError.name);
  });

  // The write may be lost, so that it must not count.
  it('takes a write that was acknowledged in an earlier era for one without an answer', async () => {
    const { inner, outer } = createStore(new FakeStore());
    inner.era = 2;
    await outer.list(KIND);
    inner.era = 1;
    expect(await outer.write(KIND, 'a', {}, 0)).toEqual({ kind: 'unknown' });
  });

  it('tells its listeners of each restoration once', async () => {
    const { inner, outer } = createStore(new FakeStore());
    let restorations = 0;
    outer.addRestorationListener(() => {
      restorations += 1;
    });
    await outer.list(KIND);
    inner.restore(KIND, [], 0);
    await outer.list(KIND);
    await outer.find(KIND, 'a');
    expect(restorations).toEqual(1);
  });
});

/** Hides the eras of a store, as from a program that does not know them. */
class EraBlindStore extends FakeStore {
  override async list(kind: string): Promise<StoreListing> {
    return { ...(await super.list(kind)), era: 0 };
  }

  override async watch(kind: string, from: StoreVersion): Promise<StoreChanges> {
    return { ...(await super.watch(kind, from)), era: 0 };
  }
}

/** Watches a store that comes back with another object at the same revision; returns what is seen. */
async function watchRestoredStore(store: FakeStore): Promise<readonly string[]> {
  const { inner, outer } = createStore(store);
  inner.put(KIND, 'a', {});
  const seen: string[] = [];
  const watcher = new ObjectWatcher({
    ...{ kind: KIND, findWatchTime: () => 1_000, store: outer, clock: new SystemClock() },
    ...{ log: createEngineLog('error', 'test'), random: () => 0 },
    onListing: (objects) => seen.push(...objects.map(({ name }) => name)),
    onChange: ({ name }) => seen.push(name),
  });
  watcher.start();
  await wait(100);
  inner.restore(KIND, [['b', {}]], 0);
  await wait(300);
  watcher.stop();
  return seen;
}

describe('ObjectWatcher on a store that comes back from an older copy', () => {
  // Guards against a configuration or a leaving instance that is noticed only seconds later.
  it('lists the objects anew, whatever revision the store has reached', async () => {
    expect(await watchRestoredStore(new FakeStore())).toEqual(['a', 'b']);
  });

  // Guards against a spec that passes whatever the watcher does.
  it('misses an object when eras are ignored', async () => {
    expect(await watchRestoredStore(new EraBlindStore())).toEqual(['a']);
  });
});
