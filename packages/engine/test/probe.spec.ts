import { ManualClock, type RegisteredInstance } from '@shallotpick/core';
import { expect } from 'earl';
import {
  createEngineLog,
  type InstanceConnection,
  InstancePool,
  InstanceProbe,
  type Reply,
  Suspicion,
  wait,
} from '../src/index.js';
import { FakeConnector, FakeInstance } from './fake.js';

const INSTANCE: RegisteredInstance = {
  ...{ id: 'replica', group: 'g', zone: 'z', host: 'h', port: 1, slots: 2, connectionLimit: 20 },
  ...{ leaving: false, role: 'replica', startedAt: 1 },
};
const READ = { operation: { kind: 'read', text: 'READ a' } } as const;
const BEGIN = { operation: { kind: 'begin', isReadOnly: false } } as const;
/** Longer than the gap between two probes. */
const LONG_MS = 400;

const createReply = (offset: number): Reply => ({
  ...{ rows: [], digest: 'd', failure: undefined, state: 'idle' as const },
  position: { term: 1, offset },
});

/** Counts the connections that are tried. */
class CountingConnector extends FakeConnector {
  tried = 0;

  override async open(instance: RegisteredInstance): Promise<InstanceConnection> {
    this.tried += 1;
    return super.open(instance);
  }
}

/** A probe on a clock that stands still, with counts of what it did. */
function createProbe(isLeader: boolean, vms = 1) {
  const clock = new ManualClock(1_000);
  const instance = new FakeInstance('replica');
  instance.isLeader = isLeader;
  const probed = { count: 0, samples: 0 };
  instance.intercept = ({ operation }) => {
    if (operation.kind === 'begin') probed.count += 1;
    return undefined;
  };
  const state = { isUrgent: false, hasLeader: true, suspicion: new Suspicion() };
  const connector = new CountingConnector(new Map([['replica', instance]]));
  const pool = new InstancePool(connector, INSTANCE, clock);
  const probe = new InstanceProbe({
    ...{ instance: INSTANCE, pool, clock, ageClock: clock, log: createEngineLog('error', 'test') },
    suspicion: state.suspicion,
    isUrgent: () => state.isUrgent,
    hasLeader: () => state.hasLeader,
    countVms: () => vms,
    onResult: () => {
      probed.samples += 1;
    },
  });
  const tick = async (duration: number): Promise<number> => {
    probe.handleTick(clock.advance(duration));
    await wait(20);
    return probed.count;
  };
  return { clock, probe, state, probed, tick, instance, connector };
}

describe('InstanceProbe', () => {
  // Guards against probes that cost a busy instance as much as the callers' work.
  it('sends no probe while replies to other work tell the same', async () => {
    const { clock, probe, tick } = createProbe(false);
    expect(await tick(0)).toEqual(1);
    probe.handleReply(READ, createReply(7), clock.advance(LONG_MS));
    expect(probe.position).toEqual({ term: 1, offset: 7 });
    expect(await tick(0)).toEqual(1);
    expect(await tick(LONG_MS)).toEqual(2);
  });

  // A new leader that serves reads all the time would be noticed late.
  it('probes all the same while the group has no leader, or while it changes', async () => {
    const { clock, probe, state, tick } = createProbe(false);
    await tick(0);
    state.hasLeader = false;
    probe.handleReply(READ, createReply(7), clock.advance(LONG_MS));
    expect(await tick(0)).toEqual(2);
    state.hasLeader = true;
    state.isUrgent = true;
    expect(await tick(30)).toEqual(3);
  });

  // A zone that is cut off was noticed one instance after the other.
  it('probes at once when another instance has left a probe without answer', async () => {
    const { clock, state, tick } = createProbe(false);
    await tick(0);
    state.suspicion.raise(clock.advance(10));
    expect(await tick(10)).toEqual(2);
    expect(await tick(10)).toEqual(2);
  });

  // A cut-off zone cost each VM of a large fleet sixty refused connections a second.
  it('asks an instance that refuses connections less often in a large fleet', async () => {
    const countTries = async (vms: number): Promise<number> => {
      const { tick, instance, connector } = createProbe(false, vms);
      instance.isDown = true;
      for (let round = 0; round < 10; round++) await tick(110);
      return connector.tried;
    };
    expect(await countTries(1)).toEqual(10);
    expect(await countTries(32)).toEqual(3);
  });

  // Reads at a leader that has lost the lead are answered, so they prove nothing.
  it('takes only a plain BEGIN as proof of the lead', async () => {
    const { clock, probe, probed, tick } = createProbe(true);
    await tick(0);
    const { samples } = probed;
    probe.handleReply(READ, createReply(7), clock.advance(LONG_MS));
    expect(probed.samples).toEqual(samples);
    expect(await tick(0)).toEqual(2);
    probe.handleReply(BEGIN, createReply(8), clock.advance(LONG_MS));
    expect(probed.samples).toEqual(samples + 2);
    expect(await tick(0)).toEqual(2);
  });
});
