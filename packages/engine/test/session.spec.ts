import { DEFAULT_CONTRACT, type RegisteredInstance } from '@shallotpick/core';
import { expect } from 'earl';
import {
  createEngineLog,
  createProxy,
  Metrics,
  type ServiceConfiguration,
  type Session,
  type Statement,
  wait,
} from '../src/index.js';
import { FakeConnector, FakeInstance } from './fake.js';
import { FakePromotions, FakeStore } from './store.js';

const ROUTE = {
  ...{ group: 'g', readsOwnWrites: true, timeoutMs: 600, targetLatencyMs: 100, priority: 1 },
};

const CONFIGURATION: ServiceConfiguration = {
  version: 1,
  routes: new Map([
    ['fresh', { ...ROUTE, database: 'fresh', contract: DEFAULT_CONTRACT }],
    ['aged', { ...ROUTE, database: 'aged', contract: { ...DEFAULT_CONTRACT, maxAgeMs: 2_000 } }],
  ]),
  groups: new Map([['g', { name: 'g', connectionLimit: 20, synchronousReplicas: 1 }]]),
  transactionIdleMs: 300,
};

const READ: Statement = { kind: 'read', text: 'READ a' };
const WRITE: Statement = { kind: 'write', text: 'WRITE a b' };
const BEGIN: Statement = { kind: 'begin', isReadOnly: false };

interface World {
  readonly leader: FakeInstance;
  readonly replica: FakeInstance;
  createSession(database: string): Session;
  stop(): void;
}

/** A proxy before a leader and one replica, with the probes' first answers in. */
async function createWorld(): Promise<World> {
  const leader = new FakeInstance('leader');
  const replica = new FakeInstance('replica');
  leader.isLeader = true;
  const store = new FakeStore();
  store.put('configurations', 'main', CONFIGURATION);
  [leader, replica].forEach(({ id, isLeader }) =>
    store.put('instances', id, {
      ...{ id, group: 'g', zone: 'z', host: 'h', port: 1, slots: 2, connectionLimit: 20 },
      ...{ leaving: false, role: isLeader ? 'primary' : 'replica', startedAt: 1 },
    } satisfies RegisteredInstance),
  );
  const running = createProxy({
    ...{
      vm: 'vm',
      zone: 'z',
      drainMs: 7_000,
      settleMs: 4_000,
      applyMs: 3_000,
      store,
      metrics: new Metrics(),
    },
    log: createEngineLog('error', 'test'),
    promotions: new FakePromotions(),
    connector: new FakeConnector(
      new Map([
        ['leader', leader],
        ['replica', replica],
      ]),
    ),
    configurationKind: 'configurations',
    instancesKind: 'instances',
    decodeConfiguration: ({ spec }) => spec as ServiceConfiguration,
    decodeInstance: ({ spec }) => spec as RegisteredInstance,
  });
  running.start();
  await wait(250);
  return {
    leader,
    replica,
    createSession: (database) => running.proxy.createSession(database, 'caller'),
    stop: () => {
      running.stopWatchers();
      running.proxy.stop();
    },
  };
}

describe('Session', () => {
  let world: World;
  let ids = 0;

  beforeEach(async () => {
    world = await createWorld();
    ids = 0;
  });

  afterEach(() => world.stop());

  const run = async (session: Session, statement: Statement) => {
    ids += 1;
    const { rows, digest, failure, state } = await session.run({ id: `q${ids}`, statement });
    return { rows, digest, verdict: failure?.verdict, state };
  };

  // Guards against replicas that idle while reads wait for the leader.
  it('reads from a replica that proves the position, and writes at the leader', async () => {
    const session = world.createSession('aged');
    expect((await run(session, READ)).digest).toEqual('digest of replica');
    expect((await run(session, WRITE)).digest).toEqual('digest of leader');
    expect(world.replica.ran).toEqual(['q1 read after 1.100 READ a']);
  });

  // Guards against a session that does not see its own commit.
  it('reads its own commit where the log holds it', async () => {
    const session = world.createSession('aged');
    await run(session, WRITE);
    const read = await run(session, READ);
    expect(read.digest).toEqual('digest of leader');
    expect(world.leader.ran.at(-1)).toEqual('q2 read after 1.101 READ a');
  });

  // Guards against the read behind a refused BEGIN, which would run outside a transaction.
  it('sends no fresh read to an instance that has lost the lead', async () => {
    world.leader.isLeader = false;
    const answer = await run(world.createSession('fresh'), READ);
    expect(answer.verdict).toEqual('overloaded');
    expect(world.leader.ran).toEqual([]);
  });

  // Guards against a write that takes effect twice.
  it('never sends a write again whose reply was lost', async () => {
    world.leader.intercept = ({ operation }) => (operation.kind === 'write' ? 'lose' : undefined);
    const answer = await run(world.createSession('fresh'), WRITE);
    expect(answer.verdict).toEqual('unknownOutcome');
    expect(world.leader.ran).toEqual(['q1 write WRITE a b']);
  });

  it('sends a write again that was refused before it ran', async () => {
    let refusals = 2;
    world.leader.intercept = ({ operation }) => {
      if (operation.kind !== 'write' || refusals === 0) return undefined;
      refusals -= 1;
      return 'overloaded';
    };
    expect((await run(world.createSession('fresh'), WRITE)).verdict).toEqual(undefined);
    expect(world.leader.ran.length).toEqual(3);
  });

  it('repeats a read elsewhere when its reply was lost', async () => {
    world.replica.intercept = ({ operation }) => (operation.kind === 'read' ? 'lose' : undefined);
    expect((await run(world.createSession('aged'), READ)).digest).toEqual('digest of leader');
  });

  // Guards against a promise that nothing is kept when a COMMIT may have run.
  it('tells a lost transaction from a lost COMMIT', async () => {
    const early = world.createSession('fresh');
    await run(early, BEGIN);
    await run(early, WRITE);
    world.leader.breakConnections();
    expect(await run(early, WRITE)).toEqual({
      ...{ rows: [], digest: undefined, verdict: 'aborted', state: 'failed' },
    });
    expect((await run(early, READ)).verdict).toEqual('malformed');
    expect((await run(early, { kind: 'rollback' })).state).toEqual('idle');

    await wait(300);
    const late = world.createSession('fresh');
    await run(late, BEGIN);
    await run(late, WRITE);
    world.leader.intercept = ({ operation }) => (operation.kind === 'commit' ? 'lose' : undefined);
    const answer = await run(late, { kind: 'commit' });
    expect(answer).toEqual({
      ...{ rows: [], digest: undefined, verdict: 'unknownOutcome', state: 'idle' },
    });
  });

  // Guards against idle transactions that keep a connection from others.
  it('ends a transaction that rests for too long, and says so', async () => {
    const session = world.createSession('fresh');
    await run(session, BEGIN);
    await run(session, WRITE);
    session.handleTick(performance.now() + 301);
    expect((await run(session, WRITE)).verdict).toEqual('aborted');
  });

  // Guards against statements that run under another session's values or prepared names.
  it('brings a connection to the values and statements of the session', async () => {
    const [first, second] = [world.createSession('aged'), world.createSession('aged')];
    const prepare = { kind: 'prepare', name: 's1', access: 'read', shape: 'q2c' } as const;
    await run(first, { kind: 'set', name: 'tenant', value: 'a' });
    await run(first, READ);
    await run(second, prepare);
    await run(second, { kind: 'execute', name: 's1', rest: '1a4' });
    await run(second, { kind: 'execute', name: 's1', rest: '1a5' });
    expect(world.replica.ran).toEqual([
      '- set tenant a',
      'q2 read after 1.100 READ a',
      '- reset',
      '- prepare p1 read q2c',
      'q4 execute after 1.100 p1 1a4',
      'q5 execute after 1.100 p1 1a5',
    ]);
  });

  // Guards against a pooled connection that goes on under names which the instance does not have.
  it('prepares again on another connection when the instance does not know the name', async () => {
    const session = world.createSession('aged');
    let refusals = 1;
    world.replica.intercept = ({ operation }) => {
      if (operation.kind !== 'execute' || refusals === 0) return undefined;
      refusals -= 1;
      return 'unknownStatement';
    };
    await run(session, { kind: 'prepare', name: 's1', access: 'read', shape: 'q2c' });
    const before = world.replica.connections.size;
    expect((await run(session, { kind: 'execute', name: 's1', rest: '1' })).verdict).toEqual(
      undefined,
    );
    expect(world.replica.connections.size < before + 1).toEqual(true);
  });

  it('refuses names that were not prepared, and databases without a route', async () => {
    const session = world.createSession('aged');
    const execute = { kind: 'execute', name: 'none', rest: '1' } as const;
    expect((await run(session, execute)).verdict).toEqual('unknownStatement');
    expect((await run(world.createSession('other'), READ)).verdict).toEqual('unknownDatabase');
  });
});
