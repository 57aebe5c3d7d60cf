import { expect } from 'earl';
import {
  type Command,
  type Lease,
  type Reply,
  sendInSession,
  type SessionCommand,
  type SessionState,
} from '@shallotpick/engine';
/* eslint-disable import-x/no-relative-packages -- Test code of the engine is not in its package. */
import { FakeConnection, FakeInstance } from '../../engine/test/fake.js';
/* eslint-enable import-x/no-relative-packages */
import {
  createFakeLease,
  createRequest,
  FakeEntry,
  FakeGroup,
  type FakeHome,
  startHome,
} from './linkpair.js';

const DEADLINE_MS = 60_000;
/** A connection whose replies come in one packet, once all operations have been sent. */
class PacketConnection extends FakeConnection {
  private readonly waiting: (() => void)[] = [];

  override async run(command: Command): Promise<Reply> {
    const { kind } = command.operation;
    const reply = { rows: [], failure: undefined, state: 'idle', position: undefined } as const;
    return new Promise((resolve) => {
      this.waiting.push(() => resolve({ ...reply, digest: kind }));
      if (kind === 'rollback') this.waiting.forEach((answer) => answer());
    });
  }
}

const COMMIT: SessionCommand = { id: 'c', operation: { kind: 'commit' } };

const createState = (guide: string): SessionState => ({
  variables: new Map([['guide', guide]]),
  statements: new Map(),
});

describe('work that is passed on to a home', () => {
  // A home ran work that a later version allowed, and refused its own callers by the older one.
  it('tells the version of the configuration by which it was accepted', async () => {
    const home = await startHome('home');
    home.group = new FakeGroup(async () =>
      createFakeLease(new FakeConnection(new FakeInstance('i'))),
    );
    const entry = new FakeEntry([home.address]);
    await entry.forwarding.admit('g', createRequest(DEADLINE_MS, { version: 7 }));
    expect(home.versions).toEqual([7]);
    entry.stop();
    home.stop();
  });
});

describe('a COMMIT that is passed on to a home', () => {
  let home: FakeHome;
  let entry: FakeEntry;
  let instance: FakeInstance;
  let lease: Lease;

  const run = async (state: SessionState, command: SessionCommand) =>
    sendInSession(lease.connection, state, command);

  beforeEach(async () => {
    instance = new FakeInstance('i');
    instance.isLeader = true;
    home = await startHome('home');
    home.group = new FakeGroup(async () => createFakeLease(new FakeConnection(instance)));
    entry = new FakeEntry([home.address]);
    lease = await entry.forwarding.admit('g', createRequest(DEADLINE_MS, { isTransaction: true }));
    await run(createState('first'), { operation: { kind: 'begin', isReadOnly: false } });
  });

  afterEach(() => {
    entry.stop();
    home.stop();
  });

  // It ran with the value from before.
  it('runs with a value that was set inside its transaction', async () => {
    expect((await run(createState('second'), COMMIT)).failure).toEqual(undefined);
    expect(instance.received).toEqual(['- set guide first', '- set guide second', 'c commit']);
  });

  // Guards against a COMMIT whose outcome is told as unknown although it was never sent.
  it('is refused as not run when the value is refused', async () => {
    instance.intercept = ({ operation }) => (operation.kind === 'set' ? 'overloaded' : undefined);
    const { failure, state } = await run(createState('second'), COMMIT);
    expect([failure?.verdict, state]).toEqual(['overloaded', 'idle']);
    expect(instance.committed).toEqual([]);
    expect(home.forwarding.countLeases()).toEqual(0);
  });

  // Guards against values that are taken away where none come with the message.
  it('keeps the values of its transaction when it comes from an older build', async () => {
    expect((await lease.connection.run(COMMIT)).failure).toEqual(undefined);
    expect(instance.received).toEqual(['- set guide first', 'c commit']);
  });
});

describe('operations that are passed on one behind the other', () => {
  // The reply to a ROLLBACK was sent first, and taken for that to the read in front of it.
  it('get their replies in their order', async () => {
    const home = await startHome('home');
    const connection = new PacketConnection(new FakeInstance('i'));
    home.group = new FakeGroup(async () => createFakeLease(connection));
    const entry = new FakeEntry([home.address]);
    const lease = await entry.forwarding.admit('g', createRequest(DEADLINE_MS));
    const operations = [{ kind: 'read', text: 'READ a' }, { kind: 'rollback' }] as const;
    const replies = await Promise.all(
      operations.map(async (operation) =>
        sendInSession(lease.connection, createState('first'), { operation }),
      ),
    );
    expect(replies.map(({ digest }) => digest)).toEqual(['read', 'rollback']);
    entry.stop();
    home.stop();
  });
});
