import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { serialize } from '@shallotpick/wire';
import type { StandinInstance } from '@shallotpick/standin';
import { type Cluster, createCluster, PROFILES } from '../src/index.js';
import { RawClient } from './rawclient.js';

const put = (key: string, value = 'v'): string =>
  `INSERT INTO items (key, value) VALUES ('${key}', '${value}')`;
const find = (key: string): string => `SELECT value FROM items WHERE key = '${key}'`;

describe('a session', () => {
  let cluster: Cluster;
  let client: RawClient;
  const clients: RawClient[] = [];

  const open = async (proxy = 0): Promise<RawClient> => {
    const port = cluster.daemons[proxy]?.readCallerPort() ?? 0;
    const opened = await RawClient.open(port, 'booking-1');
    clients.push(opened);
    return opened;
  };
  const findPrimary = (): StandinInstance => {
    const primary = cluster.groups[0]?.findPrimary();
    if (!primary) throw new Error('no primary');
    return primary;
  };
  /** Sends more slow writes than there are slots, so that later requests are queued. */
  const fillSlots = async (): Promise<readonly RawClient[]> => {
    const { slots } = PROFILES.walks;
    const holders = await Promise.all(Array.from({ length: slots + 2 }, () => open()));
    holders.forEach((holder, index) => {
      holder.send(serialize.query(`/* cost=60000 */ ${put(`holder-${index}`)}`));
    });
    await sleep(50);
    return holders;
  };
  /** Breaks the instance's connection at the stage `at` of the first statement containing `part`. */
  const breakOnce = (part: string, at: string): void => {
    const primary = findPrimary();
    primary.hasFault = (text, stage) => {
      if (stage !== at || !text.includes(part)) return false;
      primary.hasFault = undefined;
      return true;
    };
  };

  beforeEach(async () => {
    cluster = await createCluster({ profile: PROFILES.walks, proxies: 2, statementCostMs: 0 });
    client = await open();
  });

  afterEach(async () => {
    clients.splice(0).forEach(({ socket }) => socket.destroy());
    await cluster.stop();
  });

  // Guards against a wrong SQLSTATE for each point at which the connection can break.
  it('distinguishes not run, unknown and interrupted when the connection breaks', async () => {
    breakOnce('seat-1', 'before');
    expect(await client.query(put('seat-1'))).toEqual(['E 08007', 'Z I']);
    breakOnce('seat-2', 'after');
    expect(await client.query(put('seat-2'))).toEqual(['E 08007', 'Z I']);
    breakOnce('SELECT value', 'after');
    expect(await client.query(find('seat-2'))).toEqual(['T', 'D v', 'C SELECT 1', 'Z I']);
    breakOnce('payload', 'rows');
    const cut = await client.query('SELECT payload(500, 10000)');
    expect(cut.slice(-2)).toEqual(['E 08007', 'Z I']);
    breakOnce('BEGIN', 'after');
    expect(await client.query('BEGIN')).toEqual(['C BEGIN', 'Z T']);
    breakOnce('seat-3', 'after');
    expect(await client.query(put('seat-3'))).toEqual(['E SP001', 'Z E']);
    expect(await client.query(put('seat-3'))).toEqual(['E 25P02', 'Z E']);
    expect(await client.query('COMMIT')).toEqual(['C ROLLBACK', 'Z I']);
    expect(await client.query(find('seat-3'))).toEqual(['T', 'C SELECT 0', 'Z I']);
    await client.query('BEGIN');
    await client.query(put('seat-4'));
    breakOnce('COMMIT', 'after');
    expect(await client.query('COMMIT')).toEqual(['E 08007', 'Z I']);
    await client.query('BEGIN');
    breakOnce('ROLLBACK', 'before');
    expect(await client.query('ROLLBACK')).toEqual(['C ROLLBACK', 'Z I']);
    breakOnce('seat-5', 'after');
    expect(await client.query(`BEGIN; ${put('seat-5')}`)).toEqual([
      'C BEGIN',
      'C INSERT 0 1',
      'Z T',
    ]);
  });

  // A read that breaks after its first rows must fail: a retry would send the rows again.
  it('reports a read whose response was interrupted', async () => {
    cluster.groups[0]?.instances.forEach((instance) => {
      // eslint-disable-next-line no-param-reassign -- The stand-in's fault is set by its field.
      instance.hasFault = (_, stage) => stage === 'rows';
    });
    const read = '/* shallotpick contract=availability */ SELECT payload(500, 10000)';
    const answer = await client.query(read);
    expect(answer.slice(0, 2).map((one) => one[0])).toEqual(['T', 'D']);
    expect(answer.slice(-2)).toEqual(['E SP003', 'Z I']);
  });

  // A cut read was reported as "outcome unknown" when the primary happened to serve it, because the
  // function in it could have written there. Replicas that lag behind the session's own write leave
  // only the primary.
  it('reports a cut read alike on the primary, after a retry and in a read-only block', async () => {
    const read = '/* shallotpick contract=availability */ SELECT payload(500, 10000)';
    const primary = findPrimary();
    cluster.groups[0]?.instances.forEach((one) => one !== primary && one.setApplyLag(60_000));
    expect(await client.query(put('own'))).toEqual(['C INSERT 0 1', 'Z I']);
    breakOnce('payload', 'rows');
    expect((await client.query(read)).slice(-2)).toEqual(['E SP003', 'Z I']);
    const stages: string[] = [];
    primary.hasFault = (text, stage) => {
      if (!text.includes('payload')) return false;
      stages.push(stage);
      return stages.length === 1 || stage === 'rows';
    };
    expect((await client.query(read)).slice(-2)).toEqual(['E SP003', 'Z I']);
    expect(stages.slice(0, 3)).toEqual(['before', 'before', 'rows']);
    primary.hasFault = undefined;
    expect(await client.query('BEGIN READ ONLY')).toEqual(['C BEGIN', 'Z T']);
    breakOnce('payload', 'rows');
    expect((await client.query(read)).slice(-2)).toEqual(['E SP003', 'Z E']);
    expect(await client.query('COMMIT')).toEqual(['C ROLLBACK', 'Z I']);
  });

  // A read-only connection must serve a write of the same or another session again.
  it('writes through the connection that served a read of a stated age', async () => {
    const call = "/* shallotpick contract=availability */ SELECT put('x', 'y')";
    const primary = findPrimary();
    cluster.groups[0]?.instances.forEach((one) => one !== primary && one.setApplyLag(60_000));
    expect(await client.query(put('own'))).toEqual(['C INSERT 0 1', 'Z I']);
    expect(await client.query(call)).toEqual(['T', 'D y', 'C SELECT 1', 'Z I']);
    expect(primary.storage.findRow('items', 'x')).toEqual('y');
    const read = '/* shallotpick contract=availability */ SELECT payload(1, 1)';
    expect(await client.query(read)).toEqual(['T', 'D x', 'C SELECT 1', 'Z I']);
    expect(await client.query(put('next'))).toEqual(['C INSERT 0 1', 'Z I']);
  });

  // Guards against a write that is missed because it follows a read in the same text, or is made by
  // a function.
  it('waits for the majority after each request that may write', async () => {
    const [primary, ...replicas] = cluster.groups[0]?.instances ?? [];
    replicas.forEach(({ options: { id } }) => {
      cluster.groups[0]?.cutReplication(primary?.options.id ?? '', id);
    });
    const texts = [
      `SELECT 1; ${put('seat')}`,
      'SELECT payload(1, 1)',
      `BEGIN; ${put('s')}; COMMIT`,
    ];
    const all = await Promise.all([open(), open(), open()]);
    const answers = await Promise.all(texts.map((text, index) => all[index]?.query(text)));
    expect(answers.map((answer) => answer?.slice(-2))).toEqual(texts.map(() => ['E 08007', 'Z I']));
    expect(await client.query('SELECT 1')).toEqual(['T', 'D 1', 'C SELECT 1', 'Z I']);
  });

  // A failed statement must neither commit the statements before it nor appear as partial success.
  it('runs a text of several statements as one transaction', async () => {
    expect(await client.query(`${put('a')}; SELECT nonsense FROM`)).toEqual([
      'C INSERT 0 1',
      'E 42601',
      'Z I',
    ]);
    expect(await client.query("SELECT 'x;y'; SELECT count(*) FROM items")).toEqual([
      ...['T', 'D x;y', 'C SELECT 1'],
      ...['T', 'D 0', 'C SELECT 1', 'Z I'],
    ]);
    expect(await client.query(';')).toEqual(['I', 'Z I']);
    // A response that the proxy must buffer as a whole is limited in size.
    expect(await client.query(`${put('b')}; SELECT payload(2000, 10000)`)).toEqual([
      'E 08007',
      'Z I',
    ]);
  });

  // Guards against answers out of order, and against statements in another session's transaction.
  it('answers pipelined requests in order and isolates transactions', async () => {
    const other = await open();
    const script = ['BEGIN', put('mine', 'b'), find('mine'), 'COMMIT', find('mine'), 'SELECT 7'];
    client.send(...script.map((text) => serialize.query(text)));
    const meanwhile = other.query(find('mine'));
    const seen: string[] = [];
    for (let index = 0; index < script.length; index++) seen.push(...(await client.readUntil('Z')));
    expect(seen.filter((answer) => !answer.startsWith('T'))).toEqual([
      ...['C BEGIN', 'Z T', 'C INSERT 0 1', 'Z T', 'D b', 'C SELECT 1', 'Z T', 'C COMMIT', 'Z I'],
      ...['D b', 'C SELECT 1', 'Z I', 'D 7', 'C SELECT 1', 'Z I'],
    ]);
    await meanwhile;
  });

  // A BEGIN through Parse, Bind and Execute must pin the connection as a BEGIN in a Query does.
  it('opens and ends transactions in the extended protocol', async () => {
    const run = (text: string): Buffer =>
      Buffer.concat([
        serialize.parse({ text }),
        serialize.bind(),
        serialize.execute(),
        serialize.sync(),
      ]);
    client.send(run('BEGIN'), run(put('one')), run('COMMIT'));
    const answers = [];
    for (let index = 0; index < 3; index++) answers.push(...(await client.readUntil('Z')));
    expect(answers.filter((answer) => /^[CZ]/.test(answer))).toEqual([
      ...['C BEGIN', 'Z T', 'C INSERT 0 1', 'Z T', 'C COMMIT', 'Z I'],
    ]);
    expect(findPrimary().storage.findRow('items', 'one')).toEqual('v');
  });

  // A write inside a function must be refused by the replica and then run once on the primary.
  it('retries on the primary a write that a replica refused', async () => {
    const call = "/* shallotpick contract=availability */ SELECT put('x', 'y')";
    const ran: string[] = [];
    cluster.groups[0]?.instances.forEach((instance) => {
      // eslint-disable-next-line no-param-reassign -- The stand-in's fault is set by its field.
      instance.hasFault = (_, stage) => {
        if (stage === 'after') ran.push(instance.role);
        return false;
      };
    });
    while (ran[0] !== 'replica') {
      ran.length = 0;
      await client.query(call);
    }
    expect(ran).toEqual(['replica', 'primary']);
    expect(await client.query(find('x'))).toEqual(['T', 'D y', 'C SELECT 1', 'Z I']);
  });

  // An abandoned transaction must be rolled back before its connection is used again.
  it('rolls back and frees the connection when the caller disconnects', async () => {
    await client.query('BEGIN');
    await client.query(put('gone'));
    client.socket.destroy();
    const slow = await open();
    slow.send(serialize.query(`/* cost=60000 */ ${put('late')}`));
    await sleep(100);
    slow.socket.destroy();
    const next = await open();
    expect(await next.query(find('gone'))).toEqual(['T', 'C SELECT 0', 'Z I']);
    await sleep(100);
    expect([
      findPrimary().slots.countRunning(),
      findPrimary().storage.findRow('items', 'late'),
    ]).toEqual([0, undefined]);
  });

  // After COPY the instance would wait for data that the proxy does not forward.
  it('refuses COPY, FunctionCall and statements that need a dedicated connection', async () => {
    const refused = ['COPY items FROM STDIN', 'LISTEN x', 'SELECT 1; SET ROLE admin'];
    for (const text of refused) expect(await client.query(text)).toEqual(['E 0A000', 'Z I']);
    client.send(Buffer.from([0x46, 0, 0, 0, 14, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0]));
    expect(await client.readUntil('Z')).toEqual(['E 0A000', 'Z I']);
    expect(await client.query('SELECT 1')).toEqual(['T', 'D 1', 'C SELECT 1', 'Z I']);
  });

  // Guards against a late cancel request that hits another session's statement.
  it('cancels a running or queued request, and no other', async () => {
    client.send(serialize.query(`/* cost=60000 */ ${put('slow')}`));
    await sleep(50);
    await client.cancel();
    expect(await client.readUntil('Z')).toEqual(['E 57014', 'Z I']);
    await client.cancel();
    expect(await client.query(put('next'))).toEqual(['C INSERT 0 1', 'Z I']);
    const holders = await fillSlots();
    client.send(serialize.query(put('queued')));
    await sleep(50);
    await client.cancel();
    expect(await client.readUntil('Z')).toEqual(['E 57014', 'Z I']);
    await Promise.all(holders.map((holder) => holder.cancel()));
    expect(await client.query(find('queued'))).toEqual(['T', 'C SELECT 0', 'Z I']);
  });

  // Statements pipelined after a refused BEGIN must not run outside a transaction.
  it('runs no statement that was pipelined after a refused BEGIN', async () => {
    const holders = await fillSlots();
    client.send(...['BEGIN', put('alone'), 'COMMIT'].map((text) => serialize.query(text)));
    await sleep(50);
    await client.cancel();
    const answers: string[] = [];
    for (let index = 0; index < 3; index++) answers.push(...(await client.readUntil('Z')));
    expect(answers).toEqual(['E 57014', 'Z E', 'E 25P02', 'Z E', 'C ROLLBACK', 'Z I']);
    await Promise.all(holders.map((holder) => holder.cancel()));
    expect(findPrimary().storage.findRow('items', 'alone')).toEqual(undefined);
  });

  // The error of a later message took the place of the answer to a request that an instance ran.
  it('answers the earlier requests before it refuses a malformed message', async () => {
    const malformed = Buffer.from([0x51, 0, 0, 0, 1]);
    client.send(serialize.query('/* cost=200 */ SELECT 1'), serialize.query(put('ahead')));
    client.send(malformed);
    expect(await client.readUntil('closed')).toEqual([
      ...['T', 'D 1', 'C SELECT 1', 'Z I', 'C INSERT 0 1', 'Z I'],
      ...['E 08P01', 'closed'],
    ]);
  });
});
