import { expect } from 'earl';
import { type Session, type Statement, wait } from '../src/index.js';
import { createFixture, type Fixture } from './fixture.js';

const WRITE: Statement = { kind: 'write', text: 'WRITE a b' };
const BEGIN: Statement = { kind: 'begin', isReadOnly: false };
const COMMIT: Statement = { kind: 'commit' };
/** Term of an order to stop that a takeover has sent. */
const FENCE_TERM = 2;
/** Callers that commit at the same time. */
const CALLERS = 6;
/** Time that a replica takes to answer. */
const PROOF_MS = 200;

describe('an acknowledged commit', () => {
  let fixture: Fixture;

  let session: Session;

  beforeEach(async () => {
    fixture = await createFixture(true);
    session = fixture.createSession('fresh');
  });

  afterEach(() => fixture.stop());

  const run = async (id: string, statement: Statement): Promise<string | undefined> =>
    (await session.run({ id, statement })).failure?.verdict;

  /** A takeover that this VM doesn't hear of has stopped one replica; the other has started again. */
  const startUnseenTakeover = (): void => {
    fixture.store.isCut = true;
    fixture.replica.heldTerm = FENCE_TERM;
    fixture.other.breakConnections();
  };

  // A VM that reached the leader and not the store told its callers of commits that only the leader
  // and a restarted replica held. The promotion of the other replica lost them.
  it('has an unknown outcome when a takeover may promote an instance that lacks it', async () => {
    startUnseenTakeover();
    expect(await run('q1', WRITE)).toEqual('unknownOutcome');
  });

  // The same for a transaction, whose COMMIT was answered with success.
  it('of a transaction has an unknown outcome in that case as well', async () => {
    startUnseenTakeover();
    const verdicts = [await run('q1', BEGIN), await run('q2', WRITE), await run('q3', COMMIT)];
    expect(verdicts).toEqual([undefined, undefined, 'unknownOutcome']);
  });

  // Guards against a zone that serves no writes only because it does not reach the store.
  it('is handed on without the store when every instance holds it', async () => {
    fixture.store.isCut = true;
    expect(await run('q1', WRITE)).toEqual(undefined);
  });

  // Work that is sent to such a leader would end with an unknown outcome as well.
  it('keeps further work from the leader for a while once it may be lost', async () => {
    startUnseenTakeover();
    await run('q1', WRITE);
    expect(await run('q2', WRITE)).toEqual('overloaded');
    const writes = fixture.leader.received.filter((one) => one.includes('write'));
    expect(writes).toEqual(['q1 write WRITE a b']);
  });

  // Where connections are scarce, each commit kept one from others until it was proved.
  it('keeps no connection while it is proved', async () => {
    [fixture.replica, fixture.other].forEach((one) =>
      Object.assign(one, { readDelayMs: () => PROOF_MS }),
    );
    const sessions = Array.from({ length: CALLERS }, () => fixture.createSession('fresh'));
    const commits = sessions.map(async (one) => {
      await one.run({ id: 'q1', statement: BEGIN });
      await one.run({ id: 'q2', statement: WRITE });
      return one.run({ id: 'q3', statement: COMMIT });
    });
    await wait(PROOF_MS / 2);
    const open = fixture.leader.connections.size;
    const other = fixture.createSession('fresh');
    const read = await other.run({ id: 'q4', statement: { kind: 'read', text: 'READ a' } });
    expect([read.failure, fixture.leader.connections.size]).toEqual([undefined, open]);
    const failures = (await Promise.all(commits)).map(({ failure }) => failure);
    expect(failures).toEqual(sessions.map(() => undefined));
  });

  // Guards against reads that wait for a proof which only commits need.
  it('is needed for no read-only transaction', async () => {
    startUnseenTakeover();
    const read: Statement = { kind: 'read', text: 'READ a' };
    const verdicts = [await run('q1', BEGIN), await run('q2', read), await run('q3', COMMIT)];
    expect(verdicts).toEqual([undefined, undefined, undefined]);
  });
});
