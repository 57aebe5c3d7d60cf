import type { StoreVersion } from '@shallotpick/core';
import { expect } from 'earl';
import {
  createEngineLog,
  ObjectWatcher,
  type ObjectWatcherOptions,
  type StoreChanges,
  SystemClock,
  wait,
} from '../src/index.js';
import { FakeStore } from './store.js';

const CHANGE_INTERVAL_MS = 40;
const CHANGES = 20;

/** Counts the watch calls that returned changes, each of which is priced once a VM. */
class CountingStore extends FakeStore {
  returned = 0;

  lists = 0;

  isPartial = false;

  override async list(kind: string) {
    this.lists += 1;
    return { ...(await super.list(kind)), isPartial: this.isPartial };
  }

  override async watch(kind: string, { revision }: StoreVersion): Promise<StoreChanges> {
    await wait(10);
    const { objects, revision: now, era } = await super.list(kind);
    const changed = objects.filter((object) => object.revision > revision);
    if (changed.length > 0) this.returned += 1;
    return { changes: changed.map((object) => ({ object, isDeleted: false })), revision: now, era };
  }
}

const createWatcher = (
  store: CountingStore,
  options: Partial<ObjectWatcherOptions>,
): ObjectWatcher =>
  new ObjectWatcher({
    ...{ kind: 'instances', findWatchTime: () => 1_000, store, clock: new SystemClock() },
    ...{ log: createEngineLog('error', 'test'), random: () => 0 },
    ...{ onListing: () => undefined, onChange: () => undefined },
    ...options,
  });

/** Changes objects for a while under a watcher and returns its store. */
async function watchChanges(watchers: number): Promise<CountingStore> {
  const store = new CountingStore();
  const watcher = createWatcher(store, { countWatchers: () => watchers });
  watcher.start();
  for (let index = 0; index < CHANGES; index += 1) {
    store.put('instances', `i-${index % 3}`, { index });
    await wait(CHANGE_INTERVAL_MS);
  }
  watcher.stop();
  return store;
}

describe('ObjectWatcher', () => {
  // Each change of an instance was returned to every VM, so that calls grew with VMs x changes.
  it('collects the changes of a longer time where many VMs watch', async () => {
    const [few, many] = await Promise.all([watchChanges(1), watchChanges(48)]);
    expect(few.returned >= 3).toEqual(true);
    expect(many.returned * 2 <= few.returned).toEqual(true);
  });

  it('watches nothing while the objects are not needed, and lists them anew afterwards', async () => {
    const store = new CountingStore();
    let isNeeded = false;
    const seen: string[] = [];
    const watcher = createWatcher(store, {
      isNeeded: () => isNeeded,
      onListing: (objects) => seen.push(...objects.map(({ name }) => name)),
    });
    watcher.start();
    await wait(100);
    expect([store.lists, watcher.hasSynced()]).toEqual([0, false]);
    store.put('instances', 'i-1', {});
    isNeeded = true;
    await wait(200);
    watcher.stop();
    expect([seen, watcher.hasSynced()]).toEqual([['i-1'], true]);
  });

  // The failure of one page must neither hide that absences are unknown, nor fill the log.
  it('uses partial listings, which prove nothing, and lists again', async () => {
    const store = new CountingStore();
    store.put('instances', 'i-1', {});
    store.isPartial = true;
    const listings: boolean[] = [];
    let answers = 0;
    const watcher = createWatcher(store, {
      findWatchTime: () => 20,
      onListing: (objects, _, isPartial) => listings.push(isPartial && objects.length === 1),
      onAnswer: () => {
        answers += 1;
      },
    });
    watcher.start();
    await wait(200);
    expect([listings.length > 1, listings.every((isPartial) => isPartial)]).toEqual([true, true]);
    expect([answers, watcher.isReachable()]).toEqual([0, true]);
    store.isPartial = false;
    await wait(200);
    watcher.stop();
    expect([listings.at(-1), answers > 0]).toEqual([false, true]);
  });
});
