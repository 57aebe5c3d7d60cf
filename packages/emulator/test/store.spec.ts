import { wait } from '@shallotpick/engine';
import { expect } from 'earl';
import { EmulatedStore } from '../src/index.js';

const KIND = 'servers';
const PAUSE_MS = 60;
const COPY_AGE_MS = 30;

describe('EmulatedStore', () => {
  // The soak relies on it to bring about the loss of acknowledged writes.
  it('loses what was written after the copy and gives revisions out again', async () => {
    const store = new EmulatedStore();
    store.put(KIND, 'kept', { version: 1 });
    store.put(KIND, 'removed', {});
    const copied = store.revision;
    await wait(PAUSE_MS);
    store.put(KIND, 'kept', { version: 2 });
    store.put(KIND, 'added', {});
    store.remove(KIND, 'removed');
    const newest = store.revision;
    store.restore(COPY_AGE_MS);
    expect(store.list(KIND).map(({ meta, spec }) => [meta.name, spec])).toEqual([
      ['kept', { version: 1 }],
      ['removed', {}],
    ]);
    expect([store.era, store.revision]).toEqual([2, copied]);
    expect(store.listEvents(KIND, newest)).toEqual(undefined);
    store.put(KIND, 'other', {});
    expect(store.find(KIND, 'other')?.meta.revision).toEqual(copied + 1);
  });
});
