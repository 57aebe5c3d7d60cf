import { ManualClock, type RegisteredInstance } from '@shallotpick/core';
import { expect } from 'earl';
import type { LogEntry } from 'winston';
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
const CONNECTION = { dialedAt: 0, openedAt: 0, isUsable: () => true };
const BEGIN = { operation: { kind: 'begin', isReadOnly: false } } as const;
/** Longer than the interval between two probes. */
const LONG_MS = 400;

const createReply = (offset: number): Reply => ({
  ...{ rows: [], digest: 'd', failure: undefined, state: 'idle' as const },
  position: { term: 1, offset },
});

/** Counts the attempts to open a connection. */
class CountingConnector extends FakeConnector {
  tried = 0;

  override async open(instance: RegisteredInstance): Promise<InstanceConnection> {
    this.tried += 1;
    return super.open(instance);
  }
}

/** Creates a probe on a manual clock, with counts of the probes and results. */
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
  const log = createEngineLog('info', 'test');
  const lines: unknown[] = [];
  log.transports.forEach((transport) => Object.assign(transport, { silent: true }));
  log.on('data', ({ message, startedAt }: LogEntry) => lines.push({ message, startedAt }));
  const probe = new InstanceProbe({
    ...{ instance: INSTANCE, pool, clock, ageClock: clock, log },
    suspicion: state.suspicion,
    isChangingLeader: () => state.isUrgent,
    hasLeader: () => state.hasLeader,
    countVms: () => vms,
    onResult: () => {
      probed.samples += 1;
    },
    onReply: () => undefined,
  });
  const tick = async (duration: number): Promise<number> => {
    probe.handleTick(clock.advance(duration));
    await wait(20);
    return probed.count;
  };
  return { clock, probe, pool, state, probed, tick, instance, connector, lines };
}

describe('InstanceProbe', () => {
  // Full slots: the proof of a commit must not wait until a long read gives its connection back.
  it('asks for the status on a new connection when none is idle', async () => {
    const { probe, pool, instance } = createProbe(false);
    await pool.connect();
    let asked = 0;
    instance.intercept = ({ operation }) => {
      if (operation.kind === 'status') asked += 1;
      return undefined;
    };
    await probe.askStatus(() => true, LONG_MS);
    pool.updateLimit(2);
    const used = pool.takeIdle();
    await probe.askStatus(() => true, LONG_MS);
    expect([asked, used !== undefined, pool.countOpen()]).toEqual([1, true, 2]);
  });

  // Guards against probes that load a busy instance as much as the callers' work.
  it('sends no probe while replies to callers give the same information', async () => {
    const { clock, probe, tick } = createProbe(false);
    expect(await tick(0)).toEqual(1);
    probe.handleReply(CONNECTION, READ, createReply(7), clock.advance(LONG_MS));
    expect(probe.position).toEqual({ term: 1, offset: 7 });
    expect(await tick(0)).toEqual(1);
    expect(await tick(LONG_MS)).toEqual(2);
  });

  // Guards against a new leader that is detected late because it serves reads all the time.
  it('keeps probing while the group has no leader or a takeover is in progress', async () => {
    const { clock, probe, state, tick } = createProbe(false);
    await tick(0);
    state.hasLeader = false;
    probe.handleReply(CONNECTION, READ, createReply(7), clock.advance(LONG_MS));
    expect(await tick(0)).toEqual(2);
    state.hasLeader = true;
    state.isUrgent = true;
    expect(await tick(30)).toEqual(3);
  });

  // Guards against a partitioned zone whose instances are detected one after the other.
  it('probes at once when another instance has not answered a probe', async () => {
    const { clock, state, tick } = createProbe(false);
    await tick(0);
    state.suspicion.raise(clock.advance(10));
    expect(await tick(10)).toEqual(2);
    expect(await tick(10)).toEqual(2);
  });

  // Guards against connection attempts to a partitioned zone, which reached sixty a second per VM.
  it('probes an instance that refuses connections less often in a large fleet', async () => {
    const countTries = async (vms: number): Promise<number> => {
      const { tick, instance, connector } = createProbe(false, vms);
      instance.isDown = true;
      for (let round = 0; round < 10; round++) await tick(110);
      return connector.tried;
    };
    expect(await countTries(1)).toEqual(10);
    expect(await countTries(32)).toEqual(3);
  });

  // The result of an earlier start was logged and reported beside that of the next one.
  it('reports nothing of a probe that ends after it was stopped', async () => {
    const { clock, probe, probed } = createProbe(true);
    probe.handleTick(clock.readNow());
    probe.stop();
    await wait(20);
    expect([probe.leads, probe.health]).toEqual([false, 'unknown']);
    expect(probed).toEqual({ count: 1, samples: 0 });
  });

  // A log in which two starts share an id doesn't tell which of them led.
  it('names the start of the instance in its log lines', async () => {
    const { tick, lines } = createProbe(true);
    await tick(0);
    expect(lines).toEqual([
      { message: 'instance health changed', startedAt: 1 },
      { message: 'instance leadership changed', startedAt: 1 },
    ]);
  });

  // A former leader still answers reads, so they don't prove leadership.
  it('accepts only a plain BEGIN as proof of leadership', async () => {
    const { clock, probe, probed, tick } = createProbe(true);
    await tick(0);
    const { samples } = probed;
    probe.handleReply(CONNECTION, READ, createReply(7), clock.advance(LONG_MS));
    expect(probed.samples).toEqual(samples);
    expect(await tick(0)).toEqual(2);
    probe.handleReply(CONNECTION, BEGIN, createReply(8), clock.advance(LONG_MS));
    expect(probed.samples).toEqual(samples + 2);
    expect(await tick(0)).toEqual(2);
  });
});
