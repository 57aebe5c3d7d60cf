import type { PromotionRecord } from '@shallotpick/core';
import { expect } from 'earl';
import type { Log } from '../src/log.js';
import { Metrics } from '../src/metrics.js';
import { OpenRecordReporter } from '../src/openrecordreporter.js';

const OPEN: PromotionRecord = {
  ...{ group: 'g', era: 1, generation: 3, holder: 'vm-1', attempt: 'a' },
  ...{ phase: 'open', plan: 'raise', term: 1 },
};
const SETTLED: PromotionRecord = { ...OPEN, phase: 'settled' };

describe('OpenRecordReporter', () => {
  // Guards against a record that stays open for good, unnoticed, since the platform answers no call.
  it('logs a record that stays open once, and for how long it was', async () => {
    const lines: string[] = [];
    const write = (message: string, details: unknown): void => {
      lines.push(`${message} ${JSON.stringify(details)}`);
    };
    const log = { info: write, warn: write } as unknown as Log;
    const metrics = new Metrics();
    const reporter = new OpenRecordReporter('g', log, metrics);
    const readSeconds = async (): Promise<unknown> =>
      (await metrics.openRecordAge.get()).values.map(({ value }) => value);
    for (let now = 0; now <= 8_000; now += 1_000) reporter.handleTick(OPEN, now);
    const whileOpen = await readSeconds();
    reporter.handleTick(SETTLED, 9_000);
    reporter.handleTick(SETTLED, 10_000);
    expect({ lines, whileOpen, afterwards: await readSeconds() }).toEqual({
      lines: [
        'promotion record stays open {"group":"g","holder":"vm-1","plan":"raise","generation":3,"openMs":5000}',
        'promotion record is settled again {"group":"g","openMs":9000}',
      ],
      whileOpen: [8],
      afterwards: [0],
    });
  });

  // Guards against a line for each change of the leader.
  it('logs nothing of a record that is settled in time', () => {
    const refuse = (message: string): void => expect(message).toEqual('nothing');
    const log = { info: refuse, warn: refuse } as unknown as Log;
    const reporter = new OpenRecordReporter('g', log, new Metrics());
    [undefined, OPEN, SETTLED].forEach((record, index) => reporter.handleTick(record, index * 900));
  });
});
