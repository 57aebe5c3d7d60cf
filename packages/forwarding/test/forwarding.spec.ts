import { connect } from 'node:net';
import { expect } from 'earl';
import { type Command, type Reply, type Session, type VmAddress, wait } from '@shallotpick/engine';
import { encodeFrame, LINK_VERSION, MAX_FRAME_BYTES } from '../src/index.js';
import {
  BEGIN,
  COMMIT,
  createForwarding,
  type FakeFleet,
  findFreePort,
  type FleetVm,
  READ,
  startFleet,
  WRITE,
} from './fleet.js';

/** Longer than a home sends no work to a leader that may lose commits. */
const DOUBT_MS = 400;
/** Shorter than a caller must pause to count as idle. */
const PAUSE_MS = 10;

const describeReply = ({ rows, failure }: Reply): unknown => failure?.verdict ?? [...rows];

describe('work that is passed on to a home', () => {
  let fleet: FakeFleet;
  let entry: FleetVm;
  let homes: readonly FleetVm[];
  let nextId = 1;

  const run = async (session: Session, statement: Parameters<Session['run']>[0]['statement']) => {
    nextId += 1;
    return describeReply(await session.run({ id: `r${nextId}`, statement }));
  };

  beforeEach(async () => {
    fleet = await startFleet();
    entry = fleet.vms.find(({ isHome }) => !isHome)!;
    homes = fleet.vms.filter(({ isHome }) => isHome);
  });

  afterEach(() => fleet.stop());

  // A VM was ready before its homes had told that they reach the instances, and refused the first
  // work that it got.
  it('is not invited before a home has told its state', () => {
    expect(fleet.messages).toInclude('most instances reachable');
    expect(fleet.messages.includes('most instances unreachable')).toEqual(false);
  });

  it('is answered as on the home itself', async () => {
    const session = entry.openSession('fresh');
    expect(await run(session, READ)).toEqual(['row of leader']);
    expect(await run(session, WRITE)).toEqual([]);
    await run(session, { kind: 'set', name: 'x', value: '1' });
    await run(session, { kind: 'prepare', name: 's', access: 'read', shape: 'q' });
    expect(await run(session, { kind: 'execute', name: 's', rest: 'a' })).toEqual([]);
    await run(session, BEGIN);
    expect(await run(session, READ)).toEqual(['row of leader']);
    expect(await run(session, COMMIT)).toEqual([]);
    const kinds = fleet.leader.received.map((text) => text.split(' ').slice(1, 3).join(' '));
    expect(kinds).toInclude('prepare p1');
    expect(kinds).toInclude('execute p1');
  }).timeout(10_000);

  // The position of a session's own commit must reach the home that serves its next read.
  it('reads the own writes of its session', async () => {
    const session = entry.openSession('aged');
    await run(session, WRITE);
    const { position } = fleet.leader;
    fleet.replica.position = position;
    await run(session, READ);
    const reads = [...fleet.leader.received, ...fleet.replica.received].filter((text) =>
      text.includes('read'),
    );
    expect(reads.at(-1) ?? '').toInclude(`after ${position.term}.${position.offset}`);
  }).timeout(10_000);

  // The VM that passed a commit on told its caller of it, although only its home could see that a
  // takeover may lose it.
  it('has an unknown outcome when its home sees a takeover that may lose it', async () => {
    const session = entry.openSession('fresh');
    fleet.replica.heldTerm = fleet.leader.position.term + 1;
    expect(await run(session, WRITE)).toEqual('unknownOutcome');
    const other = entry.openSession('fresh');
    await wait(DOUBT_MS);
    await run(other, BEGIN);
    await run(other, WRITE);
    expect(await run(other, COMMIT)).toEqual('unknownOutcome');
  }).timeout(10_000);

  it('keeps within the connections of an instance together', async () => {
    const sessions = fleet.vms.flatMap((vm) =>
      Array.from({ length: 4 }, () => vm.openSession('fresh')),
    );
    await Promise.all(sessions.map((session) => run(session, READ)));
    expect(fleet.leader.connections.size <= 6).toEqual(true);
  }).timeout(10_000);

  /** Breaks both homes off as soon as an instance receives a command of the kind. */
  const stopHomesAt = (kind: Command['operation']['kind']): void => {
    fleet.leader.intercept = ({ id, operation }) => {
      if (id === undefined || operation.kind !== kind) return undefined;
      homes.forEach((home) => home.stop());
      return undefined;
    };
  };

  // A request or an answer that is too large for a frame closed the link, with the work of others.
  it('goes on beside requests and answers that are too large for a link', async () => {
    const other = entry.openSession('fresh');
    await run(other, BEGIN);
    await run(other, WRITE);
    const text = `WRITE a ${'x'.repeat(MAX_FRAME_BYTES)}`;
    expect(await run(entry.openSession('fresh'), { kind: 'write', text })).toEqual(
      'unknownOutcome',
    );
    fleet.leader.rows = ['x'.repeat(MAX_FRAME_BYTES)];
    // A read is tried again, as long as its caller waits.
    expect(['failed', 'overloaded', 'timedOut']).toInclude(
      String(await run(entry.openSession('fresh'), READ)),
    );
    expect(await run(other, COMMIT)).toEqual([]);
    expect(fleet.messages.includes('link closed')).toEqual(false);
  }).timeout(10_000);

  // After a lost answer the caller must not be told that the work has not run, nor may it run twice.
  it('has an unknown outcome when the home is lost with a write', async () => {
    stopHomesAt('write');
    expect(await run(entry.openSession('fresh'), WRITE)).toEqual('unknownOutcome');
    expect(fleet.leader.received.filter((text) => text.includes('write')).length).toEqual(1);
  }).timeout(10_000);

  it('has an unknown outcome when the home is lost with a commit', async () => {
    const session = entry.openSession('fresh');
    await run(session, BEGIN);
    await run(session, READ);
    stopHomesAt('commit');
    expect(await run(session, COMMIT)).toEqual('unknownOutcome');
  }).timeout(10_000);

  it('is aborted when the home is lost before the commit', async () => {
    const session = entry.openSession('fresh');
    await run(session, BEGIN);
    await run(session, WRITE);
    homes.forEach((home) => home.stop());
    await wait(50);
    expect(await run(session, COMMIT)).toEqual('aborted');
    expect(fleet.leader.received.filter((text) => text.includes('commit'))).toEqual([]);
  }).timeout(10_000);

  it('goes to the other home when one is lost', async () => {
    homes[0]?.stop();
    await wait(50);
    const session = entry.openSession('fresh');
    expect(await run(session, READ)).toEqual(['row of leader']);
    expect(await run(session, READ)).toEqual(['row of leader']);
  }).timeout(10_000);

  // What can't be served is refused at once, not at its deadline.
  it('is refused at once when no home is left', async () => {
    homes.forEach((home) => home.stop());
    await wait(50);
    const startedAt = performance.now();
    expect(await run(entry.openSession('fresh'), READ)).toEqual('overloaded');
    expect(performance.now() - startedAt < 500).toEqual(true);
  }).timeout(10_000);

  // A planned stop of a home under load cut off requests that it had accepted.
  it('ends on a draining home and then goes to the other one', async () => {
    const session = entry.openSession('fresh');
    await run(session, BEGIN);
    await run(session, WRITE);
    const drains = homes.slice(0, 1).map((home) => home.drain());
    await wait(100);
    expect(await run(session, WRITE)).toEqual([]);
    expect(await run(session, COMMIT)).toEqual([]);
    expect(await run(session, READ)).toEqual(['row of leader']);
    await Promise.all(drains);
  }).timeout(20_000);

  // A home served the transactions of callers that never paused until its links were cut.
  it('ends at a draining home after half of the time, and promises only what is true', async () => {
    const session = entry.openSession('fresh');
    await run(session, BEGIN);
    await run(session, WRITE);
    let isDrained = false;
    const drains = Promise.all(homes.map((home) => home.drain())).then(() => {
      isDrained = true;
    });
    let outcome: unknown;
    do {
      await wait(PAUSE_MS);
      outcome = await run(session, WRITE);
    } while (Array.isArray(outcome) && !isDrained);
    expect([outcome, isDrained]).toEqual(['overloaded', false]);
    expect(fleet.leader.received.some((text) => text.startsWith(`r${nextId} `))).toEqual(false);
    expect(await run(session, COMMIT)).toEqual('aborted');
    await drains;
    expect(fleet.leader.committed).toEqual([]);
  }).timeout(20_000);

  // An error of a listening socket, such as a lack of file descriptors, ended the process.
  it('is served although the VM cannot accept links itself', async () => {
    const taken = homes[0]?.port ?? 0;
    const { forwarding, errors } = createForwarding(taken);
    await forwarding.start();
    expect(errors).toEqual(['cannot accept links']);
    forwarding.stop();
    expect(await run(entry.openSession('fresh'), READ)).toEqual(['row of leader']);
  }).timeout(10_000);

  // The exception ended the process, again at each start while the heartbeat stood in the store.
  it('goes on beside a VM that has registered an address out of range', async () => {
    const odd = [70_000, -1, Number.NaN].map((port, index) => ({
      ...{ id: `odd-${index}`, zone: 'z', host: '127.0.0.1', port },
    }));
    const { forwarding } = createForwarding(0, odd);
    forwarding.handleTick();
    expect(forwarding.isReachable('g')).toEqual(false);
    forwarding.stop();
  });

  // A request for permits must not fail where no work is passed on, and say so where it does.
  it('asks any VM for permits, and gets no answer from one that is lost', async () => {
    const port = await findFreePort();
    const address: VmAddress = { id: 'lender', zone: 'z', host: '127.0.0.1', port };
    const answer = { run: 'r', sentAt: 1, isLending: false, isReleased: false, granted: [] };
    const { forwarding: lender } = createForwarding(port, [], {
      findVm: async (id, host) => ({ ...address, id, host }),
      answerPermits: (vm) => ({ ...answer, run: `of ${vm}` }),
    });
    await lender.start();
    const { forwarding } = createForwarding(0);
    const request = {
      ...{ part: 0, uptimeMs: 0, confirmed: { term: 0, sequence: 0 }, wanted: [], returned: [] },
    };
    let found = await forwarding.requestPermits(address, request);
    while (!found) {
      await wait(10);
      found = await forwarding.requestPermits(address, request);
    }
    expect(found).toEqual({ ...answer, run: 'of test' });
    const pending = forwarding.requestPermits(address, request);
    lender.stop();
    await pending;
    expect(await forwarding.requestPermits(address, request)).toEqual(undefined);
    forwarding.stop();
  });

  // A malformed message or an unknown peer must end its link and nothing else.
  it('goes on beside links that send malformed messages or come from unknown VMs', async () => {
    const port = homes[0]?.port ?? 0;
    const hello = (vm: string): Buffer => encodeFrame({ type: 'hello', version: LINK_VERSION, vm });
    const attempts = [
      Buffer.from('GET / HTTP/1.1\r\n\r\n'),
      encodeFrame({ type: 'ping' }),
      encodeFrame({ type: 'hello', version: LINK_VERSION + 1, vm: entry.id }),
      Buffer.concat([hello(entry.id), encodeFrame({ type: 'run', lease: 'x' })]),
      hello('stranger'),
    ];
    const closed = attempts.map(
      (bytes) =>
        new Promise((resolve) => {
          const socket = connect({ host: '127.0.0.1', port }, () => socket.write(bytes));
          socket.on('error', () => resolve('closed')).on('close', () => resolve('closed'));
          socket.resume();
        }),
    );
    expect(await Promise.all(closed)).toEqual(attempts.map(() => 'closed'));
    expect(await run(entry.openSession('fresh'), READ)).toEqual(['row of leader']);
  }).timeout(10_000);
});
