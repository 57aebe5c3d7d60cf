import { SystemClock } from '@shallotpick/engine';
import { expect } from 'earl';
import { createLog } from '../src/log.js';
import { Metrics } from '../src/metrics.js';
import { type CommitOutcome, StatusMonitor } from '../src/status.js';

const DEADLINE_MS = 60_000;

describe('StatusMonitor that stops', () => {
  // A wait that never ended left its caller without an answer.
  it('ends the waits of commits and sessions', async () => {
    const clock = new SystemClock();
    const monitor = new StatusMonitor({
      ...{ clock, log: createLog('error', 'test'), metrics: new Metrics(), links: new Map() },
      group: { name: 'g', instances: [] },
      onStatus: () => undefined,
    });
    const findPosition = async (): Promise<string> =>
      monitor.findInitialPosition(clock.readNow() + DEADLINE_MS).then(String, String);
    const outcomes = [monitor.waitForMajority('primary', 1), findPosition()] as const;
    expect(monitor.isIdle()).toEqual(false);
    monitor.stop();
    expect(monitor.isIdle()).toEqual(true);
    const reason = 'the group is no longer served here';
    const expected: [CommitOutcome, string] = [
      { kind: 'unknown', reason },
      `RefusedError: ${reason}`,
    ];
    expect(await Promise.all(outcomes)).toEqual(expected);
    expect(await Promise.all([monitor.waitForMajority('primary', 1), findPosition()])).toEqual(
      expected,
    );
  });
});
