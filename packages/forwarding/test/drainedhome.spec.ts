import { expect } from 'earl';
import { NotRunError, wait } from '@shallotpick/engine';
import { EchoConnection } from './echoinstance.js';
import {
  createFakeLease,
  createRequest,
  FakeEntry,
  FakeGroup,
  type FakeHome,
  startHome,
} from './linkpair.js';

const DEADLINE_MS = 60_000;
const POLL_MS = 5;

describe('work that waits at a home', () => {
  let homes: readonly FakeHome[];
  let entry: FakeEntry;
  let refuse: (error: Error) => void;
  let admitted: Promise<string>;
  let connection: EchoConnection;

  /** Starts two homes: the first one lets work wait, the second one serves it at once. */
  beforeEach(async () => {
    homes = [await startHome('first'), await startHome('second')];
    connection = new EchoConnection(() => 0);
    const granted = createFakeLease(connection, { instance: 'of second' });
    homes[0]!.group = new FakeGroup(
      async () =>
        new Promise((_, reject) => {
          refuse = reject;
        }),
    );
    homes[1]!.group = new FakeGroup(async () => granted);
    entry = new FakeEntry(homes.map(({ address }) => address));
  });

  afterEach(() => {
    entry.stop();
    homes.forEach((home) => home.stop());
  });

  /** Asks for a lease at the first home, where the work waits. */
  const waitAtFirst = async (): Promise<void> => {
    // Homes take turns, and the second one has the first turn.
    await entry.forwarding.admit('g', createRequest(DEADLINE_MS));
    admitted = entry.forwarding
      .admit('g', createRequest(DEADLINE_MS))
      .then(({ instance }) => instance)
      .catch((error: unknown) => String(error));
    while (homes[0]!.forwarding.countLeases() === 0) await wait(POLL_MS);
  };

  it('goes to another home when the group moves', async () => {
    await waitAtFirst();
    homes[0]!.group?.stop();
    homes[0]!.group = undefined;
    expect(await admitted).toEqual('of second');
  });

  // It was refused to its caller, although the other homes of the group served.
  it('goes to another home when the home drains and refuses it', async () => {
    await waitAtFirst();
    homes[0]!.status = { isIsolated: false, isDraining: true };
    refuse(new NotRunError('no room in time'));
    expect(await admitted).toEqual('of second');
  });

  it('goes to another home when the home stops', async () => {
    await waitAtFirst();
    homes[0]!.stop();
    expect(await admitted).toEqual('of second');
  });

  it('goes to another home when the home becomes isolated and refuses it', async () => {
    await waitAtFirst();
    homes[0]!.status = { isIsolated: true, isDraining: false };
    refuse(new NotRunError('no room in time'));
    expect(await admitted).toEqual('of second');
  });

  // Where the home still serves, another one is as full, and would be asked by all that are refused.
  it('is refused when the home still serves and refuses it', async () => {
    await waitAtFirst();
    refuse(new NotRunError('no room in time'));
    expect(String(await admitted)).toInclude('no room in time');
  });

  // The caller was told that its write may have run, although the home had never sent it.
  it('is refused, not in doubt, when its connection is lost between grant and statement', async () => {
    const lease = await entry.forwarding.admit('g', createRequest(DEADLINE_MS));
    connection.close();
    const { failure } = await lease.connection.run({ operation: { kind: 'write', text: 'WRITE' } });
    expect(failure?.verdict).toEqual('overloaded');
    expect(homes[1]!.forwarding.countLeases()).toEqual(0);
  });

  // A refusal of the second statement would be taken for the reply to the first, which may have run.
  it('is in doubt when its connection is lost with an earlier statement', async () => {
    const lease = await entry.forwarding.admit('g', createRequest(DEADLINE_MS));
    const operation = { kind: 'write', text: 'WRITE' } as const;
    connection.loseNext();
    const runs = [lease.connection.run({ operation }), lease.connection.run({ operation })];
    const results = await Promise.allSettled(runs);
    expect(results.map(({ status }) => status)).toEqual(['rejected', 'rejected']);
  });
});
