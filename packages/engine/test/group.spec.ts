import { DEFAULT_CONTRACT, ManualClock, type RegisteredInstance } from '@shallotpick/core';
import { expect } from 'earl';
import {
  createEngineLog,
  GroupService,
  type InstanceConnection,
  Metrics,
  Suspicion,
  wait,
} from '../src/index.js';
import { FakeConnector, FakeInstance } from './fake.js';

const INSTANCE: RegisteredInstance = {
  ...{ id: 'leader', group: 'g', zone: 'z', host: 'h', port: 1, slots: 2, connectionLimit: 20 },
  ...{ leaving: false, role: 'primary', startedAt: 1 },
};
/** Longer than the interval between two probes. */
const LONG_MS = 400;
const SHORT_MS = 50;
/** Limits of real time, for a busy machine. */
const MAX_PROBE_MS = 2_000;
const MAX_ADMISSION_MS = 2_000;
/** Enough lost reads to eject an instance. */
const LOSSES = 10;
const WORK = {
  ...{ requestId: 'r', contract: DEFAULT_CONTRACT, caller: 'c', priority: 1 },
  ...{ kind: 'write' as const, lastCommit: undefined, excluded: new Set<string>() },
  ...{ organisation: undefined, database: 'd', objective: LONG_MS },
};

type CreateTakeover = ConstructorParameters<typeof GroupService>[0]['createTakeover'];

/** A takeover that never happens. */
const NO_TAKEOVER = {
  isChangingLeader: () => false,
  isBeingReplaced: () => false,
  isEligible: () => true,
  handleTick: () => undefined,
} as unknown as ReturnType<CreateTakeover>;

/** Opens connections once `ready` has settled. */
class HeldConnector extends FakeConnector {
  ready: Promise<void> = Promise.resolve();

  opened = 0;

  override async open(instance: RegisteredInstance): Promise<InstanceConnection> {
    await this.ready;
    this.opened += 1;
    return super.open(instance);
  }
}

/** Creates a group with one instance, which leads and serves work, on a manual clock. */
async function createGroup(connectionLimit = 20) {
  const clock = new ManualClock(1_000);
  const instance = new FakeInstance('leader');
  const connector = new HeldConnector(new Map([['leader', instance]]));
  const metrics = new Metrics();
  instance.isLeader = true;
  const group = new GroupService({
    ...{ name: 'g', zone: 'z', clock, ageClock: clock, metrics, drainMs: 7_000 },
    log: createEngineLog('error', 'test'),
    connector,
    suspicion: new Suspicion(),
    createTakeover: () => NO_TAKEOVER,
    countVms: () => 1,
    mustReserve: () => false,
  });
  group.updateSettings({ name: 'g', connectionLimit, synchronousReplicas: 1 });
  const tick = async (): Promise<void> => {
    clock.advance(LONG_MS);
    group.handleTick();
    const deadline = performance.now() + MAX_PROBE_MS;
    while (!group.findLeader(clock.readNow()) && performance.now() < deadline) await wait(1);
    group.handleTick();
  };
  group.updateInstances([INSTANCE]);
  await tick();
  const lease = await group.admit({ ...WORK, deadline: clock.readNow() + LONG_MS });
  const restart = async (): Promise<void> => {
    group.updateInstances([{ ...INSTANCE, startedAt: 2 }]);
    await tick();
  };
  return { clock, connector, group, instance, lease, metrics, restart };
}

describe('GroupService', () => {
  // A refusal that an earlier start sent says nothing of the start that leads now.
  it('keeps the leader when its earlier start refuses work as read-only', async () => {
    const { clock, group, lease, restart } = await createGroup();
    await restart();
    lease.handleDemotion();
    expect(group.findLeader(clock.readNow())?.instance.startedAt).toEqual(2);
  });

  // A later start answers under the id before the list shows it; only the age of the connection
  // tells that the answer may not be of the listed start.
  it('tells when the connection of an answer was opened', async () => {
    const { clock, group, instance } = await createGroup();
    const [member] = group.listMembers();
    const before = await member!.probe.send({ kind: 'status' }, LONG_MS);
    instance.breakConnections();
    instance.position = { term: 1, offset: 0 };
    const restartedAt = clock.advance(LONG_MS);
    const after = await member!.probe.send({ kind: 'status' }, LONG_MS);
    expect(member?.instance.startedAt).toEqual(1);
    expect(after.position).toEqual({ term: 1, offset: 0 });
    expect([before.openedAt < restartedAt, after.openedAt]).toEqual([true, restartedAt]);
  });

  // Idle transactions of an earlier start kept the next one from getting work.
  it('admits work while work of an earlier start has not ended', async () => {
    const { clock, group, lease, restart } = await createGroup(1);
    lease.updateBusy(false);
    await restart();
    const deadline = clock.readNow() + LONG_MS;
    const next = await Promise.race([group.admit({ ...WORK, deadline }), wait(MAX_ADMISSION_MS)]);
    expect(next?.instance).toEqual('leader');
    lease.release();
    next?.release();
    expect((await group.admit({ ...WORK, deadline })).instance).toEqual('leader');
  });

  // Work that an earlier start left unanswered made the next start look slow.
  it('does not count the latency of an earlier start', async () => {
    const { clock, group, lease, restart } = await createGroup();
    await restart();
    const [member] = group.listMembers();
    const before = member?.estimateLatency(clock.readNow());
    lease.recordLatency(LONG_MS);
    expect(member?.estimateLatency(clock.readNow())).toEqual(before);
  });

  // Reads that an earlier start left unanswered ejected the next one, which had failed none.
  it('does not count the losses of an earlier start', async () => {
    const { clock, group, lease, metrics, restart } = await createGroup();
    lease.release();
    const deadline = clock.readNow() + LONG_MS;
    const read = await group.admit({ ...WORK, kind: 'read', deadline });
    await restart();
    for (let loss = 0; loss < LOSSES; loss += 1) read.handleLoss(LONG_MS);
    expect((await metrics.ejections.get()).values).toEqual([]);
    read.release();
  });

  // Work waited for a connection beyond its deadline, and was sent when no time was left.
  it('refuses work at its deadline while a connection is being opened, and keeps that', async () => {
    const { clock, connector, group, lease } = await createGroup();
    lease.release();
    const work = { ...WORK, organisation: 'o' };
    let finish = (): void => undefined;
    connector.ready = new Promise((resolve) => {
      finish = resolve;
    });
    const deadline = clock.readNow() + SHORT_MS;
    const outcome = group.admit({ ...work, deadline }).catch(String);
    expect(await Promise.race([outcome, wait(MAX_ADMISSION_MS)])).toEqual(
      'NotRunError: no connection in time',
    );
    const before = connector.opened;
    finish();
    await wait(SHORT_MS);
    await group.admit({ ...work, deadline: clock.readNow() + LONG_MS });
    expect(connector.opened - before).toEqual(1);
  });
});
