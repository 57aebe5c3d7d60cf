import { expect } from 'earl';
import * as fc from 'fast-check';
import { type ConnectionTrace, ProcessContinuity } from '../src/index.js';

/** A connection to one of the processes that an instance runs one after the other. */
interface ModelConnection extends ConnectionTrace {
  readonly process: number;
}

/** What happens to an instance and the connections to it, one millisecond apart. */
const events = fc.array(
  fc.oneof(
    fc.constant({ kind: 'restart' as const, pick: 0 }),
    fc.constant({ kind: 'open' as const, pick: 0 }),
    fc.record({ kind: fc.constant('reply' as const), pick: fc.nat({ max: 5 }) }),
    fc.record({ kind: fc.constant('close' as const), pick: fc.nat({ max: 5 }) }),
  ),
  { maxLength: 30 },
);

describe('ProcessContinuity', () => {
  // Guards against evidence of one process that is taken for that of another, as after a crash that
  // leaves a connection which looks open.
  it('takes no connection to another process for one to the process that it follows', () => {
    fc.assert(
      fc.property(events, (list) => {
        const continuity = new ProcessContinuity();
        const connections: ModelConnection[] = [];
        const closed = new Set<ModelConnection>();
        const startedAt = [0];
        let followed = 0;
        list.forEach(({ kind, pick }, index) => {
          const now = index + 1;
          const process = startedAt.length - 1;
          const open = connections.filter((one) => !closed.has(one));
          const picked = open[pick % Math.max(1, open.length)];
          if (kind === 'restart') startedAt.push(now);
          else if (kind === 'open') {
            const opened: ModelConnection = {
              ...{ process, dialedAt: now, openedAt: now },
              isUsable: () => !closed.has(opened),
            };
            connections.push(opened);
          } else if (kind === 'close' && picked) closed.add(picked);
          else if (picked?.process === process) {
            if (continuity.handleReply(picked, now) === 'new') followed = process;
            connections
              .filter((one) => continuity.hasConnection(one))
              .forEach((one) => expect(one.process).toEqual(followed));
            expect(continuity.since >= (startedAt[followed] ?? 0)).toEqual(true);
          }
        });
      }),
      { seed: 39, numRuns: 2_000 },
    );
  });

  it('follows a connection that was opened while the process ran', () => {
    const continuity = new ProcessContinuity();
    const create = (openedAt: number): ConnectionTrace => ({
      ...{ dialedAt: openedAt, openedAt, isUsable: () => true },
    });
    const [first, second] = [create(1), create(5)];
    expect(continuity.handleReply(first, 2)).toEqual('new');
    expect(continuity.handleReply(second, 6)).toEqual('unknown');
    expect(continuity.handleReply(first, 7)).toEqual('same');
    expect(continuity.handleReply(second, 8)).toEqual('same');
    expect(continuity.since).toEqual(1);
  });
});
