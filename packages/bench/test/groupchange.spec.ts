import { expect } from 'earl';
import { setTimeout as sleep } from 'node:timers/promises';
import { formatNoteKey, type ReleaseNote } from '@shallotpick/core';
import pg from 'pg';
import { type Cluster, createCluster, PROFILES } from '../src/index.js';

const SLOW_MS = 400;

/** A note that lowers the slots of the group's instances, which replaces its server. */
function createChange(cluster: Cluster): ReleaseNote {
  const { name, instances } = cluster.groups[0]?.toDatabaseGroup() ?? { name: '', instances: [] };
  const empty = { groups: [], contracts: [] };
  const changed = { name, instances: instances.map((one) => ({ ...one, slots: 1 })) };
  return {
    id: 'change',
    base: 1,
    added: empty,
    changed: { groups: [changed], contracts: [] },
    withdrawn: empty,
  };
}

describe('a changed group', () => {
  let cluster: Cluster;

  beforeEach(async () => {
    cluster = await createCluster({ profile: PROFILES.walks, proxies: 1, statementCostMs: 0 });
  });

  afterEach(() => cluster.stop());

  // Guards against a note that cuts what runs, or leaves open sessions with a stopped server.
  it('ends what it has begun and serves open sessions on', async () => {
    const port = cluster.daemons[0]?.readCallerPort();
    const client = new pg.Client({ host: '127.0.0.1', port, user: 'guest', database: 'booking-1' });
    await client.connect();
    const slow = client.query(`/* cost=${SLOW_MS} */ SELECT 1`);
    cluster.platform.set(formatNoteKey(2), JSON.stringify(createChange(cluster)));
    while (cluster.daemons[0]?.readConfiguration().number !== 2) await sleep(5);
    expect((await slow).rows).toEqual([{ value: '1' }]);
    await client.query("INSERT INTO items (key, value) VALUES ('seat', 'paid')");
    const { rows } = await client.query("SELECT value FROM items WHERE key = 'seat'");
    expect(rows).toEqual([{ value: 'paid' }]);
    await client.end();
  });
});
