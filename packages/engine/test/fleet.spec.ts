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

function createFleet(store: FakeStore, options: Partial<FleetOptions> = {}): Fleet {
  return new Fleet({
    ...{ vm: 'vm-1', zone: 'z', store, clock: new SystemClock(), startedAt: 1 },
    ...{ log: createEngineLog('error', 'test'), isFirstStart: false, onChange: () => undefined },
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
