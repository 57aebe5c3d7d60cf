import { expect } from 'earl';
import { type Session, type Statement, wait } from '../src/index.js';
import { createFixture, type Fixture } from './fixture.js';
import { createConfiguration } from './store.js';

const READ: Statement = { kind: 'read', text: 'READ a' };
const WRITE: Statement = { kind: 'write', text: 'WRITE a b' };
const BEGIN: Statement = { kind: 'begin', isReadOnly: false };
const SHORT_TIMEOUT_MS = 250;
/** Time until a watch that is in progress has answered. */
const WATCH_MS = 50;

describe('Session', () => {
  let fixture: Fixture;
  let ids = 0;

  beforeEach(async () => {
    fixture = await createFixture();
    ids = 0;
  });

  afterEach(() => fixture.stop());

  const run = async (session: Session, statement: Statement) => {
    ids += 1;
    const { rows, digest, failure, state } = await session.run({ id: `q${ids}`, statement });
    return { rows, digest, verdict: failure?.verdict, state };
  };

  // Guards against replicas that are idle while reads queue for the leader.
  it('reads from a replica that has reached the position, and writes at the leader', async () => {
    const session = fixture.createSession('aged');
    expect((await run(session, READ)).digest).toEqual('digest of replica');
    expect((await run(session, WRITE)).digest).toEqual('digest of leader');
    expect(fixture.replica.received).toEqual(['q1 read after 1.100 READ a']);
  });

  // Guards against a session that doesn't see its own commit.
  it('reads its own commit from an instance whose log includes it', async () => {
    const session = fixture.createSession('aged');
    await run(session, WRITE);
    const read = await run(session, READ);
    // The replica has shown that it holds the commit, before the caller was told of it.
    expect(read.digest).toEqual('digest of replica');
    expect(fixture.replica.received.at(-1)).toEqual('q2 read after 1.101 READ a');
  });

  // A position that an earlier start told must not let its empty log answer.
  it('reads elsewhere when a replica has started again without its log', async () => {
    fixture.replica.position = { term: 1, offset: 0 };
    const answer = await run(fixture.createSession('aged'), READ);
    expect(answer.digest).toEqual('digest of leader');
    expect(fixture.replica.received).toEqual(['q1 read after 1.100 READ a']);
  });

  // Guards against a read after a refused BEGIN, which would run outside a transaction.
  it('sends no fresh read to an instance that is no longer the leader', async () => {
    fixture.leader.isLeader = false;
    const answer = await run(fixture.createSession('fresh'), READ);
    expect(answer.verdict).toEqual('overloaded');
    expect(fixture.leader.received).toEqual([]);
  });

  // Guards against a write that takes effect twice.
  it('does not retry a write whose reply was lost', async () => {
    fixture.leader.intercept = ({ operation }) => (operation.kind === 'write' ? 'lose' : undefined);
    const answer = await run(fixture.createSession('fresh'), WRITE);
    expect(answer.verdict).toEqual('unknownOutcome');
    expect(fixture.leader.received).toEqual(['q1 write WRITE a b']);
  });

  it('retries a write that was refused before it ran', async () => {
    let refusals = 2;
    fixture.leader.intercept = ({ operation }) => {
      if (operation.kind !== 'write' || refusals === 0) return undefined;
      refusals -= 1;
      return 'overloaded';
    };
    expect((await run(fixture.createSession('fresh'), WRITE)).verdict).toEqual(undefined);
    expect(fixture.leader.received.length).toEqual(3);
  });

  it('retries a read on another instance when its reply was lost', async () => {
    fixture.replica.intercept = ({ operation }) => (operation.kind === 'read' ? 'lose' : undefined);
    expect((await run(fixture.createSession('aged'), READ)).digest).toEqual('digest of leader');
  });

  // Guards against reporting a transaction as aborted when its COMMIT may have run.
  it('distinguishes a lost connection from a lost COMMIT', async () => {
    const early = fixture.createSession('fresh');
    await run(early, BEGIN);
    await run(early, WRITE);
    fixture.leader.breakConnections();
    expect(await run(early, WRITE)).toEqual({
      ...{ rows: [], digest: undefined, verdict: 'aborted', state: 'failed' },
    });
    expect((await run(early, READ)).verdict).toEqual('malformed');
    expect((await run(early, { kind: 'rollback' })).state).toEqual('idle');

    await wait(300);
    const late = fixture.createSession('fresh');
    await run(late, BEGIN);
    await run(late, WRITE);
    fixture.leader.intercept = ({ operation }) =>
      operation.kind === 'commit' ? 'lose' : undefined;
    const answer = await run(late, { kind: 'commit' });
    expect(answer).toEqual({
      ...{ rows: [], digest: undefined, verdict: 'unknownOutcome', state: 'idle' },
    });
  });

  // A transaction that was aborted during its BEGIN still ran its first statement.
  it('runs no statement of a transaction that was aborted while it was opened', async () => {
    const session = fixture.createSession('fresh');
    fixture.leader.intercept = ({ operation }) => {
      if (operation.kind === 'begin') session.abort('the proxy is shutting down');
      return undefined;
    };
    await run(session, BEGIN);
    const answer = await run(session, WRITE);
    expect([answer.verdict, answer.state]).toEqual(['aborted', 'failed']);
    expect(fixture.leader.received.filter((text) => text.includes('WRITE'))).toEqual([]);
  });

  // Guards against idle transactions that hold a connection.
  it('aborts a transaction that is idle for too long and reports it', async () => {
    const session = fixture.createSession('fresh');
    await run(session, BEGIN);
    await run(session, WRITE);
    session.handleTick(performance.now() + 301);
    expect((await run(session, WRITE)).verdict).toEqual('aborted');
  });

  // Guards against statements that run with another session's variables or prepared statements.
  it('sets the variables and prepared statements of the session on a connection', async () => {
    const [first, second] = [fixture.createSession('aged'), fixture.createSession('aged')];
    const prepare = { kind: 'prepare', name: 's1', access: 'read', shape: 'q2c' } as const;
    await run(first, { kind: 'set', name: 'tenant', value: 'a' });
    await run(first, READ);
    await run(second, prepare);
    await run(second, { kind: 'execute', name: 's1', rest: '1a4' });
    await run(second, { kind: 'execute', name: 's1', rest: '1a5' });
    expect(fixture.replica.received).toEqual([
      '- set tenant a',
      'q2 read after 1.100 READ a',
      '- reset',
      '- prepare p1 read q2c',
      'q4 execute after 1.100 p1 1a4',
      'q5 execute after 1.100 p1 1a5',
    ]);
  });

  // Guards against reusing a connection whose recorded prepared statements the instance lacks.
  it('prepares again on another connection when the instance does not know the name', async () => {
    const session = fixture.createSession('aged');
    let refusals = 1;
    fixture.replica.intercept = ({ operation }) => {
      if (operation.kind !== 'execute' || refusals === 0) return undefined;
      refusals -= 1;
      return 'unknownStatement';
    };
    await run(session, { kind: 'prepare', name: 's1', access: 'read', shape: 'q2c' });
    const before = fixture.replica.connections.size;
    expect((await run(session, { kind: 'execute', name: 's1', rest: '1' })).verdict).toEqual(
      undefined,
    );
    expect(fixture.replica.connections.size < before + 1).toEqual(true);
  });

  it('refuses unknown prepared statements and databases without a route', async () => {
    const session = fixture.createSession('aged');
    const execute = { kind: 'execute', name: 'none', rest: '1' } as const;
    expect((await run(session, execute)).verdict).toEqual('unknownStatement');
    expect((await run(fixture.createSession('other'), READ)).verdict).toEqual('unknownDatabase');
  });

  // A read had the time that was left twice, once for its BEGIN and once for itself.
  it('ends a read of the leader at its timeout, however long its BEGIN took', async () => {
    const next = createConfiguration(20, { timeoutMs: SHORT_TIMEOUT_MS, transactionIdleMs: 300 });
    fixture.store.put('configurations', 'main', { ...next, version: 2 });
    await wait(WATCH_MS);
    fixture.leader.readDelayMs = ({ operation }) =>
      operation.kind === 'begin' || operation.kind === 'read' ? SHORT_TIMEOUT_MS * 0.7 : 1;
    const session = fixture.createSession('fresh');
    expect((await run(session, READ)).verdict).toEqual('failed');
  });
});
