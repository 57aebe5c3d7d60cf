import { expect } from 'earl';
import { setTimeout as sleep } from 'node:timers/promises';
import { formatNoteKey, type ReleaseNote } from '@shallotpick/core';
import pg from 'pg';
import { serialize } from '@shallotpick/wire';
import { type Cluster, createCluster, PROFILES } from '../src/index.js';
import { RawClient } from './rawclient.js';

const SLOW_MS = 400;
/** Longer than a request waits for the answer that it gets. */
const ANSWER_MS = 3_000;
/** Longer than a commit waits for its majority, and a request for a connection. */
const WAIT_MS = 13_000;

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

/** Creates a note that withdraws the group. */
function createWithdrawal(cluster: Cluster): ReleaseNote {
  const name = cluster.groups[0]?.options.name ?? '';
  const empty = { groups: [], contracts: [] };
  const withdrawn = { groups: [name], contracts: [] };
  return { ...{ id: 'withdrawal', base: 1, added: empty, changed: empty }, withdrawn };
}

/** Puts a second note into force. */
async function release(cluster: Cluster, note: ReleaseNote): Promise<void> {
  cluster.platform.set(formatNoteKey(2), JSON.stringify(note));
  while (cluster.daemons[0]?.readConfiguration().number !== 2) await sleep(5);
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

  // A request of an open session got neither an answer nor a refusal once its group was withdrawn,
  // and a series with Flush got its end without an error.
  it('refuses the requests of open sessions when it is withdrawn', async () => {
    const port = cluster.daemons[0]?.readCallerPort() ?? 0;
    const client = await RawClient.open(port, 'booking-1');
    await release(cluster, createWithdrawal(cluster));
    const answer = await Promise.race([client.query('SELECT 1'), sleep(ANSWER_MS)]);
    expect(answer).toEqual(['E SP001', 'Z I']);
    client.send(serialize.parse({ text: 'SELECT 1' }), serialize.flush());
    client.send(serialize.sync());
    const end = await Promise.race([client.readUntil('Z'), sleep(ANSWER_MS)]);
    expect(end).toEqual(['E SP001', 'Z I']);
    client.socket.destroy();
  });

  // Guards against a wait that ends with the stop of the replaced group server: its caller got
  // neither an answer nor an error.
  it('answers a commit that waits for its majority while the group is replaced', async () => {
    const [primary, ...replicas] = cluster.groups[0]?.instances ?? [];
    replicas.forEach(({ options: { id } }) => {
      cluster.groups[0]?.cutReplication(primary?.options.id ?? '', id);
    });
    const port = cluster.daemons[0]?.readCallerPort() ?? 0;
    const client = await RawClient.open(port, 'booking-1');
    client.send(serialize.query("INSERT INTO items (key, value) VALUES ('seat', 'paid')"));
    await sleep(SLOW_MS);
    await release(cluster, createChange(cluster));
    const answer = await Promise.race([client.readUntil('Z'), sleep(WAIT_MS)]);
    expect(answer).toEqual(['E 08007', 'Z I']);
    client.socket.destroy();
  });

  // As above, for the first request of a session, which waits for the position of the group.
  it('answers a request that waits for the position of the group while it is replaced', async () => {
    const instances = cluster.groups[0]?.instances ?? [];
    const port = cluster.daemons[0]?.readCallerPort() ?? 0;
    const client = await RawClient.open(port, 'booking-1');
    await Promise.all(instances.map((instance) => instance.stop()));
    client.send(serialize.query('SELECT 1'));
    await sleep(SLOW_MS);
    await release(cluster, createChange(cluster));
    const answer = await Promise.race([client.readUntil('Z'), sleep(WAIT_MS)]);
    expect(answer).toEqual(['E SP001', 'Z I']);
    client.socket.destroy();
  });
});
