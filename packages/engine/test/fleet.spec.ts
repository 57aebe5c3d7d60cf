import { Clock } from '@shallotpick/core';
import { expect } from 'earl';
import {
  createEngineLog,
  Fleet,
  type FleetOptions,
  Metrics,
  OddEntryReporter,
  StoreError,
  type StoreLookup,
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
  const log = createEngineLog('error', 'test');
  const clock = new SystemClock();
  const oddEntries = new OddEntryReporter({ clock, log, metrics: new Metrics() });
  return new Fleet({
    ...{ vm: 'vm-1', zone: 'z', store, clock, startedAt: 1, oddEntries },
    ...{ log, random: () => 0, isFirstStart: false },
    onChange: () => undefined,
    ...options,
  });
}

/** Store in which no single object can be read. */
class UnreadableStore extends FakeStore {
  override async find(): Promise<StoreLookup> {
    throw new StoreError('invalid object');
  }
}

const HEARTBEAT = { beat: 1, startedAt: 1, zone: 'z', host: '10.0.0.2', port: 7_300 };

const DEEP_LEVELS = 200_000;
const DEEP: unknown = JSON.parse('['.repeat(DEEP_LEVELS) + ']'.repeat(DEEP_LEVELS));

/** Heartbeats that no VM writes. */
const ODD_HEARTBEATS: readonly unknown[] = [
  ...[null, 7, 'text', [], {}, DEEP],
  ...[1e300, 0.5, -1, '1', null, Number.MAX_SAFE_INTEGER].map((beat) => ({ ...HEARTBEAT, beat })),
  ...[1e300, 0.5, -1, '1', null].map((startedAt) => ({ ...HEARTBEAT, startedAt })),
  ...[undefined, 7, 'z'.repeat(1_000_000), ['z'], 'z\uFFFD', DEEP].map((zone) => ({
    ...HEARTBEAT,
    zone,
  })),
  ...['', 'a b', '256.0.0.1', 'x'.repeat(300), 7].map((host) => ({ ...HEARTBEAT, host })),
  ...[0, 70_000, 0.5, '7300', null, undefined].map((port) => ({ ...HEARTBEAT, port })),
  { ...HEARTBEAT, host: undefined },
];

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

  // VMs that started together wrote each heartbeat three times within seconds.
  it('writes its first heartbeat once while the store lists it', async () => {
    const store = new FakeStore();
    const fleet = createFleet(store);
    fleet.start();
    await wait(2 * HEARTBEAT_ROUND_MS);
    fleet.stop();
    const { object } = await store.find(VMS_KIND, 'vm-1');
    expect((object?.spec as { beat?: number }).beat).toEqual(1);
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

  // A port out of range was taken for the address of a VM, and the link to it ended the process. An
  // object without a port made every VM connect to every instance.
  it('takes nothing but well-formed heartbeats for VMs', async () => {
    const store = new FakeStore();
    ODD_HEARTBEATS.forEach((spec, index) => store.put(VMS_KIND, `odd-${index}`, spec));
    store.put(VMS_KIND, 'x'.repeat(201), HEARTBEAT);
    store.put(VMS_KIND, 'vm-2', HEARTBEAT);
    store.put(VMS_KIND, 'vm-3', { beat: 1, startedAt: 1, zone: 'z' });
    const fleet = createFleet(store);
    fleet.start();
    await wait(100);
    fleet.stop();
    expect(fleet.listLiveVms().map(({ id, port }) => [id, port])).toEqual([
      ['vm-1', undefined],
      ['vm-2', 7_300],
      ['vm-3', undefined],
    ]);
    expect(await fleet.findVm('odd-0', '10.0.0.2')).toEqual(undefined);
  });

  // Guards against a VM that no other one counts because of the form of its own address.
  it('counts VMs at any address that a VM can listen on', async () => {
    const hosts = ['10.0.0.2', '::1', '2001:db8::7', '0.0.0.0', 'vm-7.example'];
    const store = new FakeStore();
    hosts.forEach((host, index) => store.put(VMS_KIND, `vm-${index + 2}`, { ...HEARTBEAT, host }));
    const fleet = createFleet(store);
    fleet.start();
    await wait(100);
    fleet.stop();
    expect(fleet.listLiveVms().map(({ host }) => host)).toEqual(['', ...hosts]);
  });

  // A beat that was too large made all later beats of the VM older than it, so that the VM passed
  // for lost while it lived.
  it('keeps a live VM whose heartbeat an odd object has replaced for a while', async () => {
    const store = new FakeStore();
    const clock = new ManualClock();
    store.put(VMS_KIND, 'vm-2', HEARTBEAT);
    const fleet = createFleet(store, { clock });
    fleet.start();
    await wait(100);
    store.put(VMS_KIND, 'vm-2', { ...HEARTBEAT, beat: 1e300 });
    await wait(HEARTBEAT_ROUND_MS);
    clock.now = 20_000;
    store.put(VMS_KIND, 'vm-2', { ...HEARTBEAT, beat: 2 });
    await wait(HEARTBEAT_ROUND_MS);
    clock.now = 30_000;
    fleet.handleRestoration();
    await wait(100);
    fleet.stop();
    expect(fleet.listLiveVms().map(({ id }) => id)).toEqual(['vm-1', 'vm-2']);
  });

  // The round ended at the object, so that this VM never learnt of the others.
  it('reads the other heartbeats when its own object cannot be read', async () => {
    const store = new UnreadableStore();
    store.put(VMS_KIND, 'vm-1', HEARTBEAT);
    store.put(VMS_KIND, 'vm-2', HEARTBEAT);
    const fleet = createFleet(store);
    fleet.start();
    await wait(100);
    fleet.stop();
    expect(fleet.listLiveVms().map(({ id }) => id)).toEqual(['vm-1', 'vm-2']);
  });
});
