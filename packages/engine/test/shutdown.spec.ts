import type { Millis } from '@shallotpick/core';
import { expect } from 'earl';
import { type Session, ShutdownSchedule, type Statement, wait } from '../src/index.js';
import { createFixture, type Fixture } from './fixture.js';

const READ: Statement = { kind: 'read', text: 'READ a' };
const WRITE: Statement = { kind: 'write', text: 'WRITE a b' };
const BEGIN: Statement = { kind: 'begin', isReadOnly: false };
const COMMIT: Statement = { kind: 'commit' };
/** The last 500 ms are left for the answers. */
const GRACE_MS: Millis = 1_500;
const PAUSE_MS: Millis = 5;
/** Work that is in progress when the process stops. */
const LONG_WORK_MS: Millis = 300;
const START_MS: Millis = 60;
const DOWN = { isDown: true };
const TIMEOUTS_MS: readonly Millis[] = [100, 1_000, 10_000];

describe('ShutdownSchedule', () => {
  // Guards against work that starts too late to end before the process is killed.
  it('lets only work start that ends in time, from half of the grace time on', () => {
    let now = 9_000;
    const schedule = new ShutdownSchedule({ readNow: () => now });
    /** What may start, and go on in a transaction, at this time after the start. */
    const describeAt = (elapsedMs: Millis): readonly unknown[] => {
      now = 9_000 + elapsedMs;
      const starts = TIMEOUTS_MS.map((timeoutMs) => schedule.mayStart(timeoutMs));
      const kinds = (['read', 'commit', 'rollback'] as const).map((kind) =>
        schedule.mayContinueTransaction(kind, 1_000),
      );
      return [starts, kinds, schedule.isOver()];
    };
    const all = [true, true, true];
    expect(describeAt(0)).toEqual([all, all, false]);
    schedule.start(6_000);
    expect(describeAt(0)).toEqual([all, all, false]);
    expect(describeAt(2_999)).toEqual([all, all, false]);
    expect(describeAt(3_000)).toEqual([[true, true, false], [false, true, true], false]);
    expect(describeAt(4_600)).toEqual([[true, false, false], [false, false, true], false]);
    expect(describeAt(5_500)).toEqual([[false, false, false], [false, false, true], true]);
  });

  // Guards against work after an early end, as when the last caller has left.
  it('lets nothing start after the end', () => {
    const schedule = new ShutdownSchedule({ readNow: () => 0 });
    schedule.stop();
    expect([schedule.isOver(), schedule.mayStart(1)]).toEqual([true, false]);
  });
});

describe('a proxy that reaches no instance', () => {
  // Guards against callers that stay with a VM which can only refuse their requests.
  it('has callers close their connections once the load balancer sends no new ones', async () => {
    const fixture = await createFixture();
    expect(fixture.proxy.findCloseReason()).toEqual(undefined);
    [fixture.leader, fixture.replica].forEach((instance) => Object.assign(instance, DOWN));
    while (!fixture.proxy.findCloseReason()) await wait(START_MS);
    expect(fixture.proxy.findCloseReason()).toEqual('isolation');
    expect(fixture.proxy.isReady()).toEqual(false);
    fixture.stop();
  });
});

describe('a session of a process that shuts down', () => {
  let fixture: Fixture;
  let session: Session;
  let ids = 0;

  beforeEach(async () => {
    fixture = await createFixture();
    session = fixture.createBusySession('fresh');
    ids = 0;
  });

  afterEach(() => fixture.stop());

  const run = async (statement: Statement) => {
    ids += 1;
    const { failure, state } = await session.run({ id: `q${ids}`, statement });
    return [failure?.verdict, state];
  };

  /** Sends a statement again and again, without a pause, until it fails or `isOver`. */
  const repeat = async (statement: Statement, isOver: () => boolean) => {
    for (;;) {
      const outcome = await run(statement);
      if (outcome[0] !== undefined || isOver()) return outcome;
      await wait(PAUSE_MS);
    }
  };

  // A transaction whose caller never paused was served until the process was killed.
  it('aborts a transaction after half of the time, however short its pauses are', async () => {
    await run(BEGIN);
    await run(WRITE);
    let isDrained = false;
    const drained = fixture.proxy.drain(GRACE_MS).then(() => {
      isDrained = true;
    });
    expect(await repeat(WRITE, () => isDrained)).toEqual(['aborted', 'failed']);
    expect(isDrained).toEqual(false);
    // The one that was refused has not run.
    expect(fixture.leader.received.some((text) => text.startsWith(`q${ids} `))).toEqual(false);
    await drained;
    expect(fixture.leader.committed).toEqual([]);
  });

  // A transaction that began late was cut off by the kill.
  it('begins no transaction after half of the time', async () => {
    const drained = fixture.proxy.drain(GRACE_MS);
    // A timer may fire a little before its time.
    await wait(GRACE_MS / 2 + START_MS);
    expect(await run(BEGIN)).toEqual(['overloaded', 'idle']);
    await drained;
  });

  // Statements were passed on up to the kill.
  it('runs nothing after the end', async () => {
    await run(BEGIN);
    await run(WRITE);
    fixture.proxy.stop();
    const received = fixture.leader.received.length;
    expect(await run(COMMIT)).toEqual(['overloaded', 'idle']);
    expect(await run(WRITE)).toEqual(['overloaded', 'idle']);
    expect(await run(BEGIN)).toEqual(['overloaded', 'idle']);
    await wait(START_MS);
    expect(fixture.leader.received.length).toEqual(received);
  });

  // An instance was at work on it when the process was killed, so that its caller heard nothing.
  it('answers the statement that runs at the end', async () => {
    fixture.leader.readDelayMs = () => LONG_WORK_MS;
    const running = run(WRITE);
    await wait(START_MS);
    fixture.proxy.stop();
    expect(await running).toEqual(['unknownOutcome', 'idle']);
  });

  it('answers the COMMIT that runs at the end, and promises nothing', async () => {
    await run(BEGIN);
    await run(WRITE);
    fixture.leader.readDelayMs = () => LONG_WORK_MS;
    const running = run(COMMIT);
    await wait(START_MS);
    fixture.proxy.stop();
    expect(await running).toEqual(['unknownOutcome', 'idle']);
  });

  it('answers the read of a transaction that runs at the end', async () => {
    await run(BEGIN);
    await run(READ);
    fixture.leader.readDelayMs = () => LONG_WORK_MS;
    const running = run(READ);
    await wait(START_MS);
    fixture.proxy.stop();
    expect(await running).toEqual(['aborted', 'failed']);
  });
});
