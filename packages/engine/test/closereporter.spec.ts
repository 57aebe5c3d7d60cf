import { expect } from 'earl';
import {
  CloseReporter,
  ConfigurationHolder,
  createEngineLog,
  Metrics,
  SystemClock,
} from '../src/index.js';

function createReporter() {
  const lines: unknown[] = [];
  const log = createEngineLog('info', 'test');
  log.transports.forEach((transport) => Object.assign(transport, { silent: true }));
  log.on('data', ({ message, level, reason, unanswered }: Readonly<Record<string, unknown>>) =>
    lines.push([level, message, reason, unanswered]),
  );
  const { registry } = new Metrics();
  const closes = new CloseReporter({
    ...{ clock: new SystemClock(), log, registry, configuration: new ConfigurationHolder() },
    isDraining: () => false,
  });
  return { closes, registry, lines };
}

describe('CloseReporter', () => {
  // Guards against a request that ends without an answer and that no log or metric tells of.
  it('logs and counts the requests that a closed connection leaves unanswered', async () => {
    const { closes, registry, lines } = createReporter();
    closes.report({ reason: 'drain', unanswered: 0, oldest: undefined });
    closes.report({
      ...{ reason: 'requests ahead', unanswered: 3 },
      oldest: { request: 'QUERY a1 READ', ageMs: 20 },
    });
    closes.reportDropped('drain', 1);
    expect(lines).toEqual([
      ['warn', 'requests left unanswered', 'requests ahead', 3],
      ['warn', 'requests left unanswered', 'drain', 1],
    ]);
    const text = await registry.metrics();
    const counted = text.split('\n').filter((line) => /_(closes|requests)_total\{/.test(line));
    expect(counted).toEqual([
      'shallotpick_caller_closes_total{reason="drain"} 1',
      'shallotpick_caller_closes_total{reason="requests ahead"} 1',
      'shallotpick_unanswered_requests_total{reason="requests ahead"} 3',
      'shallotpick_unanswered_requests_total{reason="drain"} 1',
    ]);
  });
});
