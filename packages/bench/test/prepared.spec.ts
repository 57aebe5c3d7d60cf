import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { serialize } from '@shallotpick/wire';
import pg from 'pg';
import { type Cluster, createCluster, PROFILES } from '../src/index.js';
import { RawClient } from './rawclient.js';

const FIND = 'SELECT value FROM items WHERE key = $1';
const PUT = 'INSERT INTO items (key, value) VALUES ($1, $2)';

describe('prepared statements and session parameters', () => {
  let cluster: Cluster;
  let port: number;
  let client: RawClient;

  beforeEach(async () => {
    cluster = await createCluster({ profile: PROFILES.walks, proxies: 1, statementCostMs: 0 });
    port = cluster.daemons[0]?.readCallerPort() ?? 0;
    client = await RawClient.open(port, 'booking-1');
  });

  afterEach(async () => {
    client.socket.destroy();
    await cluster.stop();
  });

  const send = async (...messages: readonly Buffer[]): Promise<readonly string[]> => {
    client.send(...messages, serialize.sync());
    return client.readUntil('Z');
  };
  const use = (statement: string, ...values: string[]): readonly Buffer[] => [
    serialize.bind({ statement, values }),
    serialize.execute(),
  ];

  // Guards against a name that is missing on another connection or taken by another session's
  // statement.
  it('finds its statement on every connection, even if other sessions use the same name', async () => {
    const connect = async (): Promise<pg.Client> => {
      const one = new pg.Client({ host: '127.0.0.1', port, user: 'g', database: 'booking-1' });
      await one.connect();
      return one;
    };
    const clients = await Promise.all(Array.from({ length: 6 }, connect));
    for (let round = 0; round < 10; round++) {
      const answers = await Promise.all(
        clients.map((one, index) =>
          one.query({ name: 'same', text: `SELECT ${index % 3}`, values: [] }),
        ),
      );
      expect(answers.map(({ rows }) => rows[0].value)).toEqual(['0', '1', '2', '0', '1', '2']);
    }
    await Promise.all(clients.map((one) => one.end()));
  });

  // Drivers reuse the unnamed statement after Sync; on a shared connection another session may have
  // replaced it in the meantime.
  it('keeps unnamed and named statements after Sync, and drops closed and failed ones', async () => {
    const other = await RawClient.open(port, 'booking-1');
    await send(serialize.parse({ text: PUT }), ...use('', 'a', 'one'));
    expect(await send(serialize.parse({ text: FIND }), serialize.describe({ type: 'S' }))).toEqual([
      ...['1', 't', 'T', 'Z I'],
    ]);
    other.send(serialize.parse({ text: 'SELECT 5' }), serialize.sync());
    await other.readUntil('Z');
    expect(await send(...use('', 'a'))).toEqual(['2', 'D one', 'C SELECT 1', 'Z I']);
    expect(await send(serialize.parse({ name: 's', text: FIND }))).toEqual(['1', 'Z I']);
    expect(await send(serialize.parse({ name: 's', text: FIND }))).toEqual(['E 42P05', 'Z I']);
    expect(await send(...use('s', 'a'))).toEqual(['2', 'D one', 'C SELECT 1', 'Z I']);
    const close = serialize.close({ type: 'S', name: 's' });
    const again = serialize.parse({ name: 's', text: 'SELECT 9' });
    expect(await send(close, again, ...use('s'))).toEqual([
      ...['3', '1', '2', 'D 9', 'C SELECT 1', 'Z I'],
    ]);
    expect(await send(close)).toEqual(['3', 'Z I']);
    expect(await send(...use('s'))).toEqual(['E 26000', 'Z I']);
    expect(await send()).toEqual(['Z I']);
    other.socket.destroy();
  });

  // A portal belongs to the connection of its transaction and must end with the transaction.
  it('fetches from a portal in a transaction', async () => {
    await client.query("INSERT INTO items (key, value) VALUES ('a', '1')");
    await client.query("INSERT INTO items (key, value) VALUES ('b', '2')");
    await client.query('BEGIN');
    const parse = serialize.parse({ text: 'SELECT key, value FROM items' });
    const fetch = serialize.execute({ portal: 'p', rows: 1 });
    expect(await send(parse, serialize.bind({ portal: 'p' }), fetch)).toEqual([
      ...['1', '2', 'D a,1', 's', 'Z T'],
    ]);
    expect(await send(fetch)).toEqual(['D b,2', 'C SELECT 1', 'Z T']);
    await client.query('COMMIT');
    expect(await send(fetch)).toEqual(['E 34000', 'Z I']);
  });

  // Guards against a caller that waits forever for answers before its Sync.
  it('answers at Flush, and commits on a majority at Sync', async () => {
    client.send(serialize.parse({ name: 'f', text: PUT }), serialize.flush());
    expect(await client.readUntil('1')).toEqual(['1']);
    client.send(...use('f', 'k', 'v'), serialize.flush());
    expect(await client.readUntil('C')).toEqual(['2', 'C INSERT 0 1']);
    const primary = cluster.groups[0]?.findPrimary();
    expect(primary?.storage.findRow('items', 'k')).toEqual(undefined);
    expect(await send()).toEqual(['Z I']);
    expect(primary?.storage.findRow('items', 'k')).toEqual('v');
    expect(await send(...use('f', 'k', 'w'))).toEqual(['2', 'C INSERT 0 1', 'Z I']);
    client.send(...use('missing'), serialize.flush());
    expect(await client.readUntil('E')).toEqual(['E 26000']);
    expect(await send()).toEqual(['Z I']);
    client.send(...use('f', 'lost', 'x'), serialize.flush());
    await client.readUntil('C');
    client.send(serialize.parse({ text: 'COMMIT' }), ...use(''), serialize.flush());
    expect(await client.readUntil('E')).toEqual(['E 0A000']);
    expect(await send()).toEqual(['Z I']);
    expect(primary?.storage.findRow('items', 'lost')).toEqual(undefined);
  });

  // Guards against a caller that waits forever when a connection breaks between Flush and Sync.
  it('reports a lost connection between Flush and Sync at once', async () => {
    client.send(serialize.parse({ text: PUT }), ...use('', 'k', 'v'), serialize.flush());
    await client.readUntil('C');
    await cluster.groups[0]?.findPrimary()?.stop();
    expect(await client.readUntil('E')).toEqual(['E SP003']);
    expect(await send(...use('', 'k', 'v'))).toEqual(['Z I']);
  });

  // Guards against a parameter of one session that takes effect in another on a shared connection.
  it('replays parameters on other connections and isolates them from other sessions', async () => {
    const other = await RawClient.open(port, 'booking-1');
    const show = async (one: RawClient): Promise<string | undefined> =>
      (await one.query('SHOW timezone'))[1];
    expect(await client.query("SET TimeZone TO 'Africa/Nairobi'")).toEqual(['C SET', 'Z I']);
    expect([await show(other), await show(client)]).toEqual(['D default', 'D Africa/Nairobi']);
    await client.query('BEGIN');
    await client.query("SET timezone = 'Europe/Paris'");
    expect(await show(client)).toEqual('D Europe/Paris');
    await client.query('ROLLBACK');
    expect([await show(other), await show(client)]).toEqual(['D default', 'D Africa/Nairobi']);
    await client.query('BEGIN');
    await client.query("SET timezone = 'Europe/Paris'");
    await client.query('COMMIT');
    expect([await show(other), await show(client)]).toEqual(['D default', 'D Europe/Paris']);
    await client.query('BEGIN');
    await client.query("SET timezone = 'Asia/Tokyo'");
    await client.query('COMMIT; BEGIN');
    await client.query('ROLLBACK');
    expect([await show(other), await show(client)]).toEqual(['D default', 'D Asia/Tokyo']);
    await client.query('RESET ALL');
    expect(await show(client)).toEqual('D default');
    expect(await client.query('SET session_replication_role = replica')).toEqual([
      ...['E 0A000', 'Z I'],
    ]);
    expect(await client.query("BEGIN; SET timezone = 'UTC'")).toEqual(['E 0A000', 'Z I']);
    other.socket.destroy();
  });

  // Guards against requests that are buffered without limit for a caller that never reads.
  it('stops reading from a caller that does not read', async () => {
    client.socket.pause();
    const query = serialize.query(`/* ${'-'.repeat(10_000)} */ SELECT payload(100, 10000)`);
    for (let index = 0; index < 6_000; index++) client.send(query);
    let ran = 0;
    const primary = cluster.groups[0]?.findPrimary();
    if (primary) {
      primary.hasFault = (_, stage) => {
        if (stage === 'after') ran += 1;
        return false;
      };
    }
    for (let before = -1; before !== ran; await sleep(200)) before = ran;
    expect(ran < 100).toEqual(true);
    expect(client.socket.writableLength > 0).toEqual(true);
  });
});
