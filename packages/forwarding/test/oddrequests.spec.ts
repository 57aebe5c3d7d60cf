import { expect } from 'earl';
import * as fc from 'fast-check';
import {
  type Command,
  type Lease,
  type Reply,
  type SessionState,
  wait,
  type WorkRequest,
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

const SEED = 52;
const RUNS = 150;
const WAIT_MS = 1_000;
const POLL_MS = 5;
const LONG_NAME = 'n'.repeat(5_000);
const MIB = 1024 * 1024;
/** Positions have up to 15 digits. */
const MAX_POSITION = 999_999_999_999_999;

/** Texts of a caller: names that objects have anyway, odd characters, and any length. */
const text = fc.oneof(
  fc.string({ unit: 'binary' }),
  fc.string(),
  fc.constantFrom('', '__proto__', 'constructor', '\u0000', '"\\', ' ', LONG_NAME),
);
const position = fc.record({
  term: fc.integer({ min: 0, max: MAX_POSITION }),
  offset: fc.integer({ min: 0, max: MAX_POSITION }),
});
const operation = fc.oneof(
  fc.record({ kind: fc.constantFrom('read' as const, 'write' as const), text }),
  fc.record({ kind: fc.constant('execute' as const), name: text, rest: text }),
  fc.record({ kind: fc.constant('begin' as const), isReadOnly: fc.boolean() }),
  fc.record({ kind: fc.constantFrom('commit' as const, 'rollback' as const) }),
);
const session = fc.record({
  variables: fc.array(fc.tuple(text, text)),
  prepared: fc.record({
    name: text,
    shape: text,
    access: fc.constantFrom('read' as const, 'write' as const),
  }),
});
const request = fc.record({
  ...{ requestId: text, caller: text, database: text },
  organisation: fc.option(text, { nil: undefined }),
  isTransaction: fc.option(fc.boolean(), { nil: undefined }),
  priority: fc.nat(),
  excluded: fc.array(text).map((ids) => new Set(ids)),
  lastCommit: fc.option(fc.record({ position, acknowledgedAt: fc.integer({ max: 0 }) }), {
    nil: undefined,
  }),
  /** Before and after the time that the caller hopes for. */
  lateMs: fc.integer({ min: -5_000, max: 5_000 }),
});
const replyFields = fc.record({
  rows: fc.array(text),
  digest: fc.option(text, { nil: undefined }),
  failure: fc.option(
    fc.record({ verdict: fc.constantFrom('failed' as const, 'overloaded' as const), reason: text }),
    { nil: undefined },
  ),
  state: fc.constantFrom('idle' as const, 'open' as const, 'failed' as const),
  position: fc.option(position, { nil: undefined }),
});
const reply = replyFields.map((fields) => structuredClone(fields) as Reply);

/** A connection that gives the reply it was told to give. */
class ScriptedConnection extends FakeConnection {
  constructor(private readonly next: () => Reply) {
    super(new FakeInstance('i'));
  }

  override async setUp(): Promise<void> {
    // Nothing is prepared.
  }

  override async run(_: Command): Promise<Reply> {
    return this.next();
  }
}

describe('odd requests over a link', () => {
  let home: FakeHome;
  let entry: FakeEntry;
  let granted: WorkRequest | undefined;
  let next: Reply;
  let released: string[];

  const admit = async (work: WorkRequest): Promise<Lease> => entry.forwarding.admit('g', work);

  beforeEach(async () => {
    released = [];
    home = await startHome('home');
    home.group = new FakeGroup(async (work) => {
      granted = work;
      if (work.requestId === 'unexpected') throw new RangeError('unexpected');
      return createFakeLease(new ScriptedConnection(() => next), {
        release: () => {
          released.push(work.requestId);
          if (work.requestId === 'unreleased') throw new RangeError('unreleased');
        },
      });
    });
    next = { rows: [], digest: 'x', failure: undefined, state: 'open', position: undefined };
    entry = new FakeEntry([home.address]);
  });

  afterEach(() => {
    entry.stop();
    home.stop();
  });

  // A route, a group or an organisation with a long name closed the link, with the work of others.
  it('are served beside the work of others, whatever they hold', async () => {
    const other = await admit(createRequest(WAIT_MS));
    const property = fc.asyncProperty(
      fc.record({ request, operation, session, reply }),
      async (odd) => {
        const { lateMs, ...fields } = odd.request;
        const work = createRequest(WAIT_MS, fields);
        const lease = await admit({ ...work, objective: work.deadline - lateMs });
        expect(granted?.database).toEqual(fields.database);
        expect(granted?.organisation).toEqual(fields.organisation);
        next = odd.reply;
        const { prepared } = odd.session;
        const state: SessionState = {
          variables: new Map(odd.session.variables),
          statements: new Map([[prepared.name, prepared]]),
        };
        await lease.connection.setUp(state, odd.operation);
        const found = await lease.connection.run({
          id: fields.requestId,
          operation: odd.operation,
        });
        expect(found).toEqual(odd.reply);
        lease.release();
      },
    );
    await fc.assert(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
    expect(other.connection.isUsable()).toEqual(true);
  }).timeout(10_000);

  it('are served beside the work of others when they are as large as a message', async () => {
    const other = await admit(createRequest(WAIT_MS));
    // Each control character has six in JSON.
    const large = '\u0001'.repeat(MIB);
    const lease = await admit(createRequest(WAIT_MS, { caller: large }));
    next = { ...next, rows: [large] };
    const found = await lease.connection.run({ operation: { kind: 'write', text: large } });
    expect(found.rows[0] === large).toEqual(true);
    expect(other.connection.isUsable()).toEqual(true);
  }).timeout(10_000);

  // The name of an organisation in a request for permits did the same.
  it('leave the link open when they ask for permits', async () => {
    const other = await admit(createRequest(WAIT_MS));
    const wanted = [{ organisation: LONG_NAME, count: 1 }];
    const confirmed = { term: 0, sequence: 0 };
    const permits = { part: 0, uptimeMs: 0, confirmed, wanted, returned: [] };
    entry.forwarding.requestPermits(home.address, permits).catch(() => undefined);
    // The next message is handled after it.
    await admit(createRequest(WAIT_MS));
    expect(other.connection.isUsable()).toEqual(true);
  });

  // An unexpected error at one request closed the link, with the work of others.
  it('are refused alone after an unexpected error', async () => {
    const other = await admit(createRequest(WAIT_MS));
    const refused = admit(createRequest(WAIT_MS, { requestId: 'unexpected' }));
    await expect(refused).toBeRejectedWith('an unexpected error');
    expect(home.errors).toEqual(['admission failed']);
    expect(other.connection.isUsable()).toEqual(true);
  });

  // An error at the end of one lease kept the others, and ended the process when the link broke.
  it('end alone when their release fails unexpectedly', async () => {
    const requestIds = ['unreleased', 'kept', 'unreleased', 'last'];
    const leases = await Promise.all(
      requestIds.map((requestId) => admit(createRequest(WAIT_MS, { requestId }))),
    );
    leases[0]?.release();
    await admit(createRequest(WAIT_MS));
    expect(leases[1]?.connection.isUsable()).toEqual(true);
    entry.stop();
    while (home.forwarding.countLeases() > 0) await wait(POLL_MS);
    expect(released).toEqual([...requestIds, 'r']);
    const errors = home.errors.filter((message) => message === 'lease not ended');
    expect(errors.length).toEqual(2);
  });
});
