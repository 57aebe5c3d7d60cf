import { Clock } from '@shallotpick/core';
import { expect } from 'earl';
import {
  createEngineLog,
  Fleet,
  type FleetOptions,
  SystemClock,
  VMS_KIND,
  wait,
} from '../src/index.js';
import { FakeStore } from './store.js';

const HEARTBEAT_ROUND_MS = 1_700;

/** Clock that a test moves. */
class ManualClock extends Clock {
  now = 0;

  override readNow(): number {
    return this.now;
  }
}

function createFleet(store: FakeStore, options: Partial<FleetOptions> = {}): Fleet {
  return new Fleet({
    ...{ vm: 'vm-1', zone: 'z', store, clock: new SystemClock(), startedAt: 1 },
    ...{ log: createEngineLog('error', 'test'), random: () => 0, isFirstStart: false },
    onChange: () => undefined,
    ...options,
  });
}

describe('Fleet', () => {
  // The write failed its condition and was made good only a round later, so that other VMs dropped
  // this one after a return of the store from an older copy.
  it('registers again in the same round when the store has lost its heartbeat', async () => {
    const store = new FakeStore();
    const fleet = createFleet(store);
    fleet.start();
    await wait(100);
    store.restore(VMS_KIND, [], 1);
    await wait(HEARTBEAT_ROUND_MS);
    fleet.stop();
    const { object } = await store.find(VMS_KIND, 'vm-1');
    expect((object?.spec as { beat?: number }).beat).toEqual(2);
  });

  // A process that started meanwhile did not see this VM for up to 10 s.
  it('registers again at once when the store was restored', async () => {
    const store = new FakeStore();
    const fleet = createFleet(store);
    fleet.start();
    await wait(100);
    store.restore(VMS_KIND, [], 1);
    fleet.handleRestoration();
    await wait(100);
    fleet.stop();
    expect((await store.find(VMS_KIND, 'vm-1')).object).not.toEqual(undefined);
  });

  // Each change of the object counted as a sign of life, so that a VM that had left was live again
  // for 25 s after a return of the store from an older copy.
  it('does not take an older heartbeat for a sign of life', async () => {
    const store = new FakeStore();
    const clock = new ManualClock();
    const register = (beat: number): void => {
      store.put(VMS_KIND, 'vm-2', { beat, startedAt: 1, zone: 'z' });
    };
    register(5);
    const fleet = createFleet(store, { clock });
    fleet.start();
    await wait(100);
    clock.now = 20_000;
    register(4);
    await wait(HEARTBEAT_ROUND_MS);
    clock.now = 30_000;
    await wait(HEARTBEAT_ROUND_MS);
    fleet.stop();
    expect(fleet.listLiveVms().map(({ id }) => id)).toEqual(['vm-1']);
  });

  // One object that was null ended every round of this VM.
  it('goes on when another writer has left a heartbeat without content', async () => {
    const store = new FakeStore();
    store.put(VMS_KIND, 'vm-2', null);
    const fleet = createFleet(store);
    fleet.start();
    await wait(100);
    fleet.stop();
    expect(fleet.countLiveVms()).toEqual(1);
  });

  // Ports are the same on all VMs, so that a VM that came back at another host under its name and
  // port went unnoticed, and its links were opened to the old host.
  it('reports a VM that has registered another host', async () => {
    const store = new FakeStore();
    const register = (host: string, beat: number): void => {
      store.put(VMS_KIND, 'vm-2', { beat, startedAt: 1, zone: 'z', host, port: 7_300 });
    };
    const hosts: (string | undefined)[] = [];
    register('10.0.0.2', 1);
    const fleet = createFleet(store, {
      onChange: () => hosts.push(fleet.listLiveVms().find(({ id }) => id === 'vm-2')?.host),
    });
    fleet.start();
    await wait(100);
    register('10.0.0.9', 2);
    await wait(HEARTBEAT_ROUND_MS);
    fleet.stop();
    expect(hosts).toEqual(['10.0.0.2', '10.0.0.9']);
  });
});
