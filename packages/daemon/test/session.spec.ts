import { RetryBudget } from '@shallotpick/core';
import { SystemClock } from '@shallotpick/engine';
import { FrameReader, parseErrorFields, serialize } from '@shallotpick/wire';
import { expect } from 'earl';
import type { CallerConnection } from '../src/caller.js';
import type { SessionOptions } from '../src/context.js';
import { createLog } from '../src/log.js';
import { Metrics } from '../src/metrics.js';
import type { CallerRequest } from '../src/request.js';
import { Session } from '../src/session.js';

const QUEUE_DEADLINE_MS = 1_000;

/** Reads the codes of errors, and the types of other messages. */
function describeAnswer(bytes: Buffer): readonly string[] {
  const reader = new FrameReader(true);
  reader.add(bytes);
  const answers: string[] = [];
  for (let frame = reader.read(); frame; frame = reader.read()) {
    const type = String.fromCharCode(frame.type);
    answers.push(type === 'E' ? `E ${parseErrorFields(frame.body).get('C')}` : type);
  }
  return answers;
}

function createQuery(text: string): CallerRequest {
  const reader = new FrameReader(true);
  reader.add(serialize.query(text));
  const frame = reader.read();
  return { kind: 'simple', frames: frame ? [frame] : [], isPartial: false };
}

describe('a session whose request fails unexpectedly', () => {
  // The connection was reset without an answer, and no log told why.
  it('tells that the outcome is unknown, and closes the connection', async () => {
    const answers: string[] = [];
    const caller = {
      address: '',
      send: (bytes: Buffer) => answers.push(...describeAnswer(bytes)),
      refuse: ({ code }: { readonly code: string }) => answers.push(`fatal ${code}`),
    } as unknown as CallerConnection;
    const log = createLog('error', 'test');
    log.transports.forEach((transport) => Object.assign(transport, { silent: true }));
    const options = {
      ...{ caller, clock: new SystemClock(), log, metrics: new Metrics() },
      ...{ queueDeadlineMs: QUEUE_DEADLINE_MS, computeBackoff: () => 0 },
      retryBudget: new RetryBudget({ ratio: 0.2, capacity: 1 }),
      readConfiguration: () => ({ contracts: [] }),
      findGroup: () => {
        throw new TypeError('unexpected');
      },
    } as unknown as SessionOptions;
    await new Session(options).handleRequest(createQuery('SELECT 1'));
    expect(answers).toEqual(['E 08007', 'Z', 'fatal SP001']);
  });
});
