import { expect } from 'earl';
import {
  type AcknowledgedCommit,
  CommitGate,
  type CommitVerdict,
  type ConnectionTrace,
  type LogPosition,
} from '../src/index.js';

/** Longer than an order of a settled claim may be in flight. */
const QUIET_MS = 13_000;
const CLAIM = '1/1/vm';
const SETTLED_AT = 1_000;
const ACKNOWLEDGED_AT = SETTLED_AT + QUIET_MS;
const COMMIT: LogPosition = { term: 1, offset: 10 };
const BEFORE: LogPosition = { term: 1, offset: 9 };

class Connection implements ConnectionTrace {
  isOpen = true;

  constructor(
    readonly dialedAt: number,
    readonly openedAt = dialedAt,
  ) {}

  isUsable(): boolean {
    return this.isOpen;
  }
}

/** A gate of a group of the leader `l` and the replicas `a` and `b`, with a settled record. */
class Fixture {
  readonly gate = new CommitGate();

  now = ACKNOWLEDGED_AT;

  readonly connections = new Map(['l', 'a', 'b'].map((id) => [id, new Connection(0)]));

  constructor(settledAt = SETTLED_AT) {
    this.gate.updateInstances(['l', 'a', 'b']);
    this.connections.forEach((_, id) => this.answer(id, BEFORE, 1));
    this.gate.handleSettledRecord(CLAIM, settledAt, settledAt);
  }

  find(id: string): Connection {
    return this.connections.get(id)!;
  }

  answer(id: string, position: LogPosition, at = this.now): void {
    const times = { sentAt: at, receivedAt: at, provesLead: id === 'l' };
    this.gate.handleAnswer(id, this.find(id), { position, ...times });
  }

  report(id: string, received: LogPosition, heldTerm = 0): void {
    const report = { role: 'replica', term: received.term, received, heldTerm } as const;
    this.gate.handleReport(id, this.find(id), report, this.now);
  }

  /** Breaks the connection to an instance, and opens another one later. */
  reconnect(id: string): void {
    this.find(id).isOpen = false;
    this.connections.set(id, new Connection(this.now));
  }

  decide(changes: Partial<AcknowledgedCommit> = {}): CommitVerdict {
    const commit = { leader: 'l', connection: this.find('l'), position: COMMIT };
    const acknowledged = { ...commit, acknowledgedAt: ACKNOWLEDGED_AT, ...changes };
    return this.gate.decide(acknowledged, this.now);
  }
}

describe('CommitGate', () => {
  // A leader acknowledged commits that the instance in promotion lacked, and callers were told.
  it('lets no commit pass on the word of its leader', () => {
    const fixture = new Fixture();
    fixture.answer('l', COMMIT);
    expect(fixture.decide()).toEqual('unproven');
  });

  it('lets a commit pass that a replica holds which any later takeover counts', () => {
    const fixture = new Fixture();
    fixture.answer('b', COMMIT);
    expect(fixture.decide()).toEqual('counted');
  });

  // The replica had lost its order to stop with its process, and the claim needed its old report.
  it('does not count a replica that may have started again since the record was settled', () => {
    const fixture = new Fixture();
    fixture.reconnect('b');
    fixture.answer('b', COMMIT);
    expect(fixture.decide()).toEqual('unproven');
  });

  // Both connections go on: the process may be the same, but nothing shows it.
  it('does not count a reply on a connection that may be one to another process', () => {
    const fixture = new Fixture();
    fixture.connections.set('b', new Connection(fixture.now));
    fixture.answer('b', COMMIT);
    expect(fixture.decide()).toEqual('unproven');
  });

  // An order to receive again that the settled claim had sent was carried out in the next takeover.
  it('does not count a replica while late orders of the settled claim may be in flight', () => {
    const fixture = new Fixture(ACKNOWLEDGED_AT - 10);
    fixture.answer('b', COMMIT);
    expect(fixture.decide()).toEqual('unproven');
  });

  // A takeover since then may have been followed by another one, which needs no report of the
  // instance that led before.
  it('does not count a replica when the leader has led in its term only since later', () => {
    const fixture = new Fixture();
    const position = { term: 2, offset: 10 };
    fixture.answer('l', position);
    fixture.answer('b', position);
    expect(fixture.decide({ position })).toEqual('unproven');
  });

  // A leader that had stepped down led again after its restart, and acknowledged more.
  it('does not count a replica when the leader may have started again', () => {
    const fixture = new Fixture();
    fixture.reconnect('l');
    fixture.answer('l', COMMIT);
    fixture.answer('b', COMMIT);
    expect(fixture.decide()).toEqual('unproven');
  });

  it('lets a commit pass that every other instance holds, whatever was in progress', () => {
    const fixture = new Fixture();
    ['a', 'b'].forEach((id) => fixture.reconnect(id));
    ['a', 'b'].forEach((id) => fixture.report(id, COMMIT));
    expect(fixture.decide()).toEqual('everywhere');
  });

  // A promotion may have cut the commit back before the log went on under the same number.
  it('takes no log of a newer term for one that holds the commit', () => {
    const fixture = new Fixture();
    ['a', 'b'].forEach((id) => fixture.report(id, { term: 2, offset: 20 }));
    expect(fixture.decide()).toEqual('threatened');
  });

  it('lets a commit pass when the record was read as settled after it, and not before', () => {
    const fixture = new Fixture();
    fixture.gate.handleSettledRecord(CLAIM, ACKNOWLEDGED_AT - 1, fixture.now);
    expect(fixture.decide()).toEqual('unproven');
    fixture.gate.handleSettledRecord(CLAIM, ACKNOWLEDGED_AT, fixture.now);
    expect(fixture.decide()).toEqual('settled');
  });

  it('proves a commit without a position by the record alone', () => {
    const fixture = new Fixture();
    ['a', 'b'].forEach((id) => fixture.report(id, COMMIT));
    expect(fixture.decide({ position: undefined })).toEqual('unproven');
    fixture.gate.handleSettledRecord(CLAIM, ACKNOWLEDGED_AT, fixture.now);
    expect(fixture.decide({ position: undefined })).toEqual('settled');
  });

  // Guards against instances that are asked again although their answer adds nothing.
  it('asks no instance that is known to hold the commit', () => {
    const fixture = new Fixture(ACKNOWLEDGED_AT - 10);
    const commit = { leader: 'l', connection: fixture.find('l'), position: COMMIT };
    const list = (): readonly string[] =>
      fixture.gate.listWitnesses({ ...commit, acknowledgedAt: ACKNOWLEDGED_AT });
    expect(list()).toEqual(['a', 'b']);
    fixture.answer('a', COMMIT);
    expect(list()).toEqual(['b']);
  });

  // Guards against callers that wait for their deadline although the outcome can't be known.
  it('tells of a takeover that a stopped replica shows', () => {
    const fixture = new Fixture();
    fixture.reconnect('b');
    fixture.report('b', COMMIT);
    fixture.report('a', BEFORE, 2);
    expect(fixture.decide()).toEqual('threatened');
  });
});
