import { expect } from 'earl';
import { setTimeout as sleep } from 'node:timers/promises';
import { formatNoteKey, type ReleaseNote } from '@shallotpick/core';
import pg from 'pg';
import { type Cluster, createCluster, PROFILES } from '../src/index.js';

const SLOW_MS = 400;

/** Creates a note that lowers the slots of the instances; the daemon then replaces the group server. */
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

describe('a group that a note changes', () => {
  let cluster: Cluster;

  beforeEach(async () => {
    cluster = await createCluster({ profile: PROFILES.walks, proxies: 1, statementCostMs: 0 });
  });

  afterEach(() => cluster.stop());

  // Guards against a change that aborts running statements, or that leaves open sessions attached to
  // the stopped group server.
  it('completes running statements and keeps serving open sessions', async () => {
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
