import { expect } from 'earl';
import pg from 'pg';
import { type Cluster, createCluster, PROFILES } from '../src/index.js';

const connect = async (cluster: Cluster, proxy: number): Promise<pg.Client> => {
  const port = cluster.daemons[proxy]?.readCallerPort();
  const client = new pg.Client({ host: '127.0.0.1', port, user: 'guest', database: 'booking-1' });
  client.on('error', () => undefined);
  await client.connect();
  return client;
};

describe('a cluster of daemons', () => {
  let cluster: Cluster;

  beforeEach(async () => {
    cluster = await createCluster({ profile: PROFILES.walks, proxies: 2, statementCostMs: 0 });
  });

  afterEach(() => cluster.stop());

  // Guards against a read that misses the same caller's write after a move to another proxy.
  it('lets a caller read its own write through another proxy', async () => {
    const [here, there] = await Promise.all([connect(cluster, 0), connect(cluster, 1)]);
    await here.query('INSERT INTO items (key, value) VALUES ($1, $2)', ['seat', 'paid']);
    const { rows } = await there.query('SELECT value FROM items WHERE key = $1', ['seat']);
    expect(rows).toEqual([{ value: 'paid' }]);
    await Promise.all([here.end(), there.end()]);
  });

  // Guards against writes that keep failing after the loss of a primary.
  it('accepts writes again after the loss of the primary', async () => {
    const client = await connect(cluster, 0);
    await client.query("INSERT INTO items (key, value) VALUES ('seat', 'paid')");
    await cluster.groups[0]?.findPrimary()?.stop();
    const write = (): Promise<unknown> =>
      client.query("INSERT INTO items (key, value) VALUES ('walk', 'claimed')");
    await write().catch(write);
    const { rows } = await client.query("SELECT value FROM items WHERE key = 'seat'");
    expect(rows).toEqual([{ value: 'paid' }]);
    await client.end();
  });
});
