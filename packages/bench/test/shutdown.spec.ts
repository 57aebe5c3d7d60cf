import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { serialize } from '@shallotpick/wire';
import { type Cluster, createCluster, PROFILES } from '../src/index.js';
import { RawClient } from './rawclient.js';

const PAUSE_MS = 100;
const LONG = '/* cost=60000 */';
const put = (key: string): string => `INSERT INTO items (key, value) VALUES ('${key}', 'v')`;
const END = ['E 57P01', 'closed'];

describe('a daemon whose time to drain is over', () => {
  let cluster: Cluster;
  const clients: RawClient[] = [];

  const open = async (): Promise<RawClient> => {
    const client = await RawClient.open(cluster.daemons[0]?.readCallerPort() ?? 0, 'booking-1');
    clients.push(client);
    return client;
  };

  /** Drains the daemon, and returns what the client gets up to the end of its connection. */
  const drain = async (client: RawClient): Promise<readonly string[]> => {
    await sleep(PAUSE_MS);
    await cluster.daemons[0]?.drain();
    return client.readUntil('closed');
  };

  beforeEach(async () => {
    cluster = await createCluster({
      ...{ profile: PROFILES.walks, proxies: 1, statementCostMs: 0 },
      environment: { SHALLOTPICK_DRAIN_LIMIT_MS: '300' },
    });
  });

  afterEach(async () => {
    clients.splice(0).forEach(({ socket }) => socket.destroy());
    await cluster.stop();
  });

  // The connection was reset: neither the running request nor the one behind it got an answer.
  it('tells that the outcome of a write is unknown, and that what is behind it did not run', async () => {
    const client = await open();
    client.send(serialize.query(`${LONG} ${put('a')}`), serialize.query(put('b')));
    expect(await drain(client)).toEqual(['E 08007', 'Z I', ...END]);
    expect(cluster.groups[0]?.findPrimary()?.storage.findRow('items', 'b')).toEqual(undefined);
  });

  // As above, for a request that no instance had got.
  it('refuses a request that waits for a slot', async () => {
    const holders = await Promise.all(
      Array.from({ length: PROFILES.walks.slots + 2 }, async () => open()),
    );
    holders.forEach((holder, index) => holder.send(serialize.query(`${LONG} ${put(`h${index}`)}`)));
    await sleep(PAUSE_MS);
    const client = await open();
    client.send(serialize.query(put('a')));
    expect(await drain(client)).toEqual(['E SP001', 'Z I', ...END]);
  });

  // As above, for a read that an instance runs.
  it('tells that a read has no effect', async () => {
    const client = await open();
    await client.query('SELECT 1');
    client.send(serialize.query(`${LONG} SELECT 1`));
    expect(await drain(client)).toEqual(['E SP003', 'Z I', ...END]);
  });

  // As above, for a statement of a transaction.
  it('tells that a transaction has no effect', async () => {
    const client = await open();
    await client.query('BEGIN');
    client.send(serialize.query(`${LONG} ${put('a')}`));
    expect(await drain(client)).toEqual(['E SP001', 'Z E', ...END]);
  });

  // As above, for a caller in the middle of a transaction.
  it('tells a caller that the proxy shuts down', async () => {
    const client = await open();
    await client.query('BEGIN');
    expect(await drain(client)).toEqual(END);
  });
});
