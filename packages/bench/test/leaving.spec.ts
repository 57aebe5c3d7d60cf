import { expect } from 'earl';
import { setTimeout as sleep } from 'node:timers/promises';
import { formatGroupKey, formatNoteKey } from '@shallotpick/core';
import { createDaemon, type Daemon, loadSettings } from '@shallotpick/daemon';
import { StandinGroup, StandinPlatform } from '@shallotpick/standin';
import pg from 'pg';
import { createFirstNote, createGroupOptions, PROFILES } from '../src/index.js';

const READ = "/* shallotpick contract=availability */ SELECT value FROM items WHERE key = 'seat'";

const waitUntil = async (check: () => boolean): Promise<void> => {
  while (!check()) await sleep(5);
};

const countConnections = (group: StandinGroup, id: string): number => {
  const instance = group.instances.find(({ options }) => options.id === id);
  return instance?.countConnections() ?? 0;
};

const countLeaving = (daemon: Daemon): number =>
  daemon
    .listGroups()
    .flatMap((one) => one.readView().group.instances)
    .filter(({ leaving }) => leaving).length;

describe('leaving daemons and instances', () => {
  const daemons: Daemon[] = [];
  let platform: StandinPlatform;
  let url = '';
  let group: StandinGroup;

  const start = async (vm: string, peers: string): Promise<Daemon> => {
    const daemon = createDaemon(
      loadSettings([], {
        SHALLOTPICK_VM: vm,
        SHALLOTPICK_ZONE: 'mombasa',
        SHALLOTPICK_PLATFORM_URL: url,
        SHALLOTPICK_CALLER_PORT: '0',
        SHALLOTPICK_METRICS_PORT: '0',
        SHALLOTPICK_PEER_PORT: '0',
        SHALLOTPICK_PEERS: peers,
        SHALLOTPICK_LOG_LEVEL: process.env.LOGS ?? 'error',
        SHALLOTPICK_DRAIN_LIMIT_MS: '300',
      }),
    );
    daemons.push(daemon);
    await daemon.start();
    await waitUntil(() => daemon.isReady());
    return daemon;
  };

  const startPair = async (): Promise<readonly [Daemon, Daemon]> => {
    const first = await start('vm-1', '');
    const { peerPort } = first.peering.membership.self;
    return [first, await start('vm-2', `vm-1@mombasa@127.0.0.1:${peerPort}`)];
  };

  const listLive = (daemon: Daemon): string =>
    daemon.peering.membership
      .listLive()
      .map(({ id }) => id)
      .join(' ');

  beforeEach(async () => {
    platform = new StandinPlatform();
    url = await platform.start();
    group = new StandinGroup(createGroupOptions(PROFILES.walks, 'booking-1', 0));
    await group.start();
    platform.set(formatGroupKey('booking-1'), JSON.stringify(group.toGroupRecord()));
    platform.set(formatNoteKey(1), JSON.stringify(createFirstNote([group.toDatabaseGroup()])));
  });

  afterEach(async () => {
    daemons.splice(0).forEach((daemon) => daemon.stop());
    await group.stop();
    await platform.stop();
  });

  /** Reads until a replica has a connection; returns the open client. */
  const readFromAll = async (daemon: Daemon, replicas: readonly string[]): Promise<pg.Client> => {
    const client = new pg.Client({
      host: '127.0.0.1',
      port: daemon.readCallerPort(),
      user: 'guest',
      database: 'booking-1',
    });
    client.on('error', () => undefined);
    await client.connect();
    const isServed = (): boolean => replicas.some((id) => countConnections(group, id) > 0);
    while (!isServed()) await client.query(READ);
    return client;
  };

  const findReplicas = (): readonly string[] =>
    group.instances.filter(({ role }) => role === 'replica').map(({ options }) => options.id);

  // Guards against a draining VM that keeps its duties until its peers find it unreachable.
  it('removes a draining daemon from the live VMs of its peers before it stops', async () => {
    const [first, second] = await startPair();
    await waitUntil(() => listLive(first) === 'vm-1 vm-2');
    const drained = second.drain();
    await waitUntil(() => listLive(first) === 'vm-1');
    expect(first.peering.membership.find('vm-2')?.state).toEqual('leaving');
    await drained;
  });

  // Guards against new statements and idle connections on an instance that the VM list marks as
  // leaving.
  it('stops using an instance that the VM list marks as leaving', async () => {
    const [first, second] = await startPair();
    const replicas = findReplicas();
    const clients = await Promise.all([first, second].map((one) => readFromAll(one, replicas)));
    platform.vms = replicas.map((id) => ({ id, zone: 'z', state: 'leaving' }));
    await waitUntil(() => [first, second].every((one) => countLeaving(one) === replicas.length));
    await waitUntil(() => replicas.every((id) => countConnections(group, id) === 0));
    group.instances.forEach((instance) => Object.assign(instance, { peakConnections: 0 }));
    for (const client of clients) await client.query(READ);
    const used = group.instances.filter(({ peakConnections }) => peakConnections > 0);
    expect(used.every(({ role }) => role === 'primary')).toEqual(true);
    platform.vms = [];
    await Promise.all(clients.map((client) => client.end()));
  });

  // Guards against a note that marks some instances as leaving and thereby aborts transactions on
  // the others.
  it('stops using an instance that a note marks as leaving, and keeps the other connections', async () => {
    const daemon = await start('vm-1', '');
    const replicas = findReplicas();
    const client = await readFromAll(daemon, replicas);
    const writes = new pg.Client({
      host: '127.0.0.1',
      port: daemon.readCallerPort(),
      user: 'guest',
      database: 'booking-1',
    });
    await writes.connect();
    await writes.query('BEGIN');
    await writes.query("INSERT INTO items (key, value) VALUES ('seat', 'paid')");
    const { name, instances } = group.toDatabaseGroup();
    const marked = instances.map((one) => ({ ...one, leaving: replicas.includes(one.id) }));
    const none = { groups: [], contracts: [] };
    const changed = { ...none, groups: [{ name, instances: marked }] };
    const note = { id: 'second', base: 1, added: none, changed, withdrawn: none };
    platform.set(formatNoteKey(2), JSON.stringify(note));
    await waitUntil(() => replicas.every((id) => countConnections(group, id) === 0));
    await writes.query('COMMIT');
    expect((await client.query(READ)).rows).toEqual([{ value: 'paid' }]);
    await Promise.all([client.end(), writes.end()]);
  });
});
