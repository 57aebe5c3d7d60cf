import { expect } from 'earl';
import type { Command, Session, Statement } from '../src/index.js';
import { createFixture, type Fixture } from './fixture.js';

const WRITE: Statement = { kind: 'write', text: 'WRITE a b' };
const BEGIN: Statement = { kind: 'begin', isReadOnly: false };
const COMMIT: Statement = { kind: 'commit' };
/** Longer than a statement may take. */
const TOO_LONG_MS = 700;

const isCommit = ({ operation }: Command): boolean => operation.kind === 'commit';
const isSet = ({ operation }: Command): boolean => operation.kind === 'set';

describe('a COMMIT behind a value that was set inside its transaction', () => {
  let fixture: Fixture;
  let session: Session;
  let ids = 0;

  const run = async (statement: Statement) => {
    ids += 1;
    const { failure, state } = await session.run({ id: `q${ids}`, statement });
    return [failure?.verdict, state];
  };

  const set = async (value: string) => run({ kind: 'set', name: 'guide', value });

  beforeEach(async () => {
    ids = 0;
    fixture = await createFixture();
    session = fixture.createSession('fresh');
    await set('first');
    await run(BEGIN);
    await run(WRITE);
    await set('second');
  });

  afterEach(() => fixture.stop());

  // It ran with the value from before, such as another name for whoever commits.
  it('runs with the value', async () => {
    expect(await run(COMMIT)).toEqual([undefined, 'idle']);
    expect(fixture.leader.received).toEqual([
      ...['- set guide first', 'q3 write WRITE a b', '- set guide second', 'q5 commit'],
    ]);
  });

  // Guards against a COMMIT in one packet with a value that the instance refuses.
  it('is not sent when the value is refused', async () => {
    fixture.leader.intercept = (command) => (isSet(command) ? 'overloaded' : undefined);
    expect(await run(COMMIT)).toEqual(['aborted', 'idle']);
    expect(fixture.leader.received.some((text) => text.endsWith('commit'))).toEqual(false);
    expect(fixture.leader.committed).toEqual([]);
  });

  // Guards against an unknown outcome of a COMMIT that was never sent.
  it('is told as not run when the connection breaks with the value', async () => {
    fixture.leader.intercept = (command) => (isSet(command) ? 'lose' : undefined);
    expect(await run(COMMIT)).toEqual(['aborted', 'idle']);
    expect(fixture.leader.committed).toEqual([]);
  });

  // Guards against a COMMIT that is sent after its caller was answered.
  it('is answered in its time, and not sent later, when the value takes too long', async () => {
    fixture.leader.readDelayMs = (command) => (isSet(command) ? TOO_LONG_MS : 1);
    const [verdict] = await run(COMMIT);
    expect(['aborted', 'unknownOutcome'].includes(String(verdict))).toEqual(true);
    expect(fixture.leader.committed).toEqual([]);
  });

  // Guards against a second try that leaves the value out, or sends it twice.
  it('runs with the value when it is refused for lack of a slot before', async () => {
    let isRefused = false;
    fixture.leader.intercept = (command) => {
      if (isRefused || !isCommit(command)) return undefined;
      isRefused = true;
      return 'overloaded';
    };
    await run(COMMIT);
    const sets = fixture.leader.received.filter((text) => text === '- set guide second');
    expect(sets.length).toEqual(1);
  });

  // Guards against a transaction without a statement, whose connection is new at its COMMIT.
  it('runs with the values of the session when it is the first statement', async () => {
    await run({ kind: 'rollback' });
    await run(BEGIN);
    await set('third');
    expect(await run(COMMIT)).toEqual([undefined, 'idle']);
    const [value, commit] = fixture.leader.received.slice(-2);
    expect([value, commit?.endsWith('commit')]).toEqual(['- set guide third', true]);
  });
});
