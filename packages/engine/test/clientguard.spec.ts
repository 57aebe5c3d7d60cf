import { computeClientLimits } from '@shallotpick/core';
import { expect } from 'earl';
import { ClientGuard, createEngineLog, Metrics } from '../src/index.js';

const HEAP_BYTES = 256 * 1024 * 1024;

function createGuard() {
  const lines: unknown[] = [];
  const log = createEngineLog('info', 'test');
  log.transports.forEach((transport) => Object.assign(transport, { silent: true }));
  log.on('data', ({ message, reason, count }: Readonly<Record<string, unknown>>) =>
    lines.push([message, reason, count]),
  );
  const metrics = new Metrics();
  const limits = computeClientLimits(undefined, HEAP_BYTES, { messageMs: 500 });
  return { guard: new ClientGuard({ limits, log, registry: metrics.registry }), metrics, lines };
}

describe('ClientGuard', () => {
  // Guards against idle sessions that are closed, and against a wait that starts again with each byte.
  it('closes a connection that waits too long for the same thing, and no idle one', () => {
    const { guard } = createGuard();
    const closed: string[] = [];
    guard.watch(() => closed.push('idle'));
    const slow = guard.watch(() => closed.push('slow'));
    const quick = guard.watch(() => closed.push('quick'));
    for (let tick = 0; tick < 8; tick++) {
      slow.startWait('end of message');
      quick.startWait('end of message');
      quick.endWait('end of message');
      guard.handleTick();
    }
    expect(closed).toEqual(['slow']);
  });

  // Guards against a log that a crowd fills, and against a metric without the reason.
  it('logs a reason once a second, with the number of further ones', async () => {
    const { guard, metrics, lines } = createGuard();
    for (let count = 0; count < 5; count++) guard.report('memory');
    guard.report('connections');
    for (let tick = 0; tick < 8; tick++) guard.handleTick();
    expect(lines).toEqual([
      ['client limit reached', 'memory', undefined],
      ['client limit reached', 'connections', undefined],
      ['client limit reached', 'memory', 4],
    ]);
    const text = await metrics.registry.metrics();
    expect(text.includes('shallotpick_client_limits_total{reason="memory"} 5')).toEqual(true);
  });
});
