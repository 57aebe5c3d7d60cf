import { expect } from 'earl';
import { type ServiceConfiguration, type Session, type Statement, wait } from '../src/index.js';
import { FakeInstance } from './fake.js';
import { createFixture, type Fixture } from './fixture.js';
import { createConfiguration, registerInstances } from './store.js';

const READ: Statement = { kind: 'read', text: 'READ a' };
const WRITE: Statement = { kind: 'write', text: 'WRITE a b' };
const CONNECTION_LIMIT = 20;
/** Until a version is in force, and the instances of a group are probed. */
const APPLY_MS = 300;
const READS = 5;

const FIRST = createConfiguration(CONNECTION_LIMIT, { timeoutMs: 600, transactionIdleMs: 300 });

/** The configuration of this version, in which the databases are at the group. */
function createVersion(version: number, group: string): ServiceConfiguration {
  const [settings] = [...FIRST.groups.values()];
  const names = ['g', 'h'];
  return {
    ...FIRST,
    version,
    routes: new Map([...FIRST.routes].map(([name, route]) => [name, { ...route, group }])),
    groups: new Map(names.map((name) => [name, { ...settings!, name }])),
  };
}

describe('a session whose database is moved to another group', () => {
  let fixture: Fixture;
  let session: Session;
  let otherLeader: FakeInstance;
  let version = 1;
  let ids = 0;

  const move = async (group: string): Promise<void> => {
    version += 1;
    fixture.store.put('configurations', 'main', createVersion(version, group));
    await wait(APPLY_MS);
  };

  beforeEach(async () => {
    version = 1;
    ids = 0;
    otherLeader = new FakeInstance('leader of h');
    const otherReplica = new FakeInstance('replica of h');
    otherLeader.isLeader = true;
    otherLeader.replicas = [otherReplica];
    fixture = await createFixture(false, [otherLeader, otherReplica]);
    registerInstances(fixture.store, [otherLeader, otherReplica], CONNECTION_LIMIT, 'h');
    session = fixture.createSession('aged');
  });

  afterEach(() => fixture.stop());

  const run = async (statement: Statement) => {
    ids += 1;
    return session.run({ id: `q${ids}`, statement });
  };

  /** Reads several times; returns what the reads failed with, and who ran those that didn't. */
  const readAll = async () => {
    const results: unknown[] = [];
    for (let index = 0; index < READS; index += 1) {
      const { failure, digest } = await run(READ);
      results.push(failure?.verdict ?? digest);
    }
    return new Set(results);
  };

  const setPosition = (offset: number, ...instances: readonly FakeInstance[]): void => {
    instances.forEach((instance) => Object.assign(instance, { position: { term: 1, offset } }));
  };

  // The position at the other group took the place of the session's commit, which its reads missed.
  it('reads its own commit after a commit at a group with a shorter log', async () => {
    setPosition(10, otherLeader, ...otherLeader.replicas);
    expect((await run(WRITE)).failure).toEqual(undefined);
    // This replica falls behind, as if it had received nothing.
    setPosition(100, fixture.replica);
    await move('h');
    expect((await run(WRITE)).digest).toEqual('digest of leader of h');
    await move('g');
    expect((await readAll()).has('digest of replica')).toEqual(false);
    expect(fixture.replica.received.every((text) => text.includes('after 1.101'))).toEqual(true);
  });

  // All reads were refused as lagging, since no log here reached the other group's position.
  it('reads after a commit at a group with a longer log', async () => {
    setPosition(500, otherLeader, ...otherLeader.replicas);
    await move('h');
    expect((await run(WRITE)).failure).toEqual(undefined);
    await move('g');
    const results = await readAll();
    expect([...results].every((result) => String(result).startsWith('digest'))).toEqual(true);
  });

  // A transaction whose caller rested after BEGIN ran at the group of a version long replaced.
  it('begins its transaction where the database is at the first statement', async () => {
    await run({ kind: 'begin', isReadOnly: false });
    await move('h');
    expect((await run(WRITE)).digest).toEqual('digest of leader of h');
    const { failure, state } = await run({ kind: 'commit' });
    expect([failure, state]).toEqual([undefined, 'idle']);
    expect(fixture.leader.received).toEqual([]);
  });

  it('ends its transaction where it began', async () => {
    await run({ kind: 'begin', isReadOnly: false });
    await run(WRITE);
    await move('h');
    expect((await run(WRITE)).digest).toEqual('digest of leader');
    expect((await run({ kind: 'commit' })).failure).toEqual(undefined);
    expect(otherLeader.received).toEqual([]);
  });

  it('begins no transaction once its database is gone', async () => {
    await run({ kind: 'begin', isReadOnly: false });
    version += 1;
    const gone = { ...createVersion(version, 'g'), routes: new Map() };
    fixture.store.put('configurations', 'main', gone);
    await wait(APPLY_MS);
    const { failure, state } = await run(READ);
    expect([failure?.verdict, state]).toEqual(['unknownDatabase', 'idle']);
    expect(fixture.leader.received).toEqual([]);
  });

  // A group whose instances are all new refused the session's reads until its log was as long.
  it('reads at a group whose former log is no more', async () => {
    expect((await run(WRITE)).failure).toEqual(undefined);
    await move('h');
    setPosition(7, fixture.leader, fixture.replica);
    await wait(APPLY_MS);
    await move('g');
    const results = await readAll();
    expect([...results].every((result) => String(result).startsWith('digest'))).toEqual(true);
    // The leader is asked without a position until it has proved where its log ends.
    const listReceived = () => [...fixture.leader.received, ...fixture.replica.received];
    const before = new Set(listReceived());
    await run(READ);
    const later = listReceived().filter((text) => !before.has(text));
    expect(later.filter((text) => text.includes('after 1.101'))).toEqual([]);
  });
});
