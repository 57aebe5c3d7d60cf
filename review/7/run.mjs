/**
 * The route of a database is removed and added again at another service, and then once more at the
 * first one. A session's reads then miss the session's own commit, since the proxy remembers one
 * position a session, whichever log it is one of.
 */
import { Case, HAS_TROUBLE } from '../lib-2/case.mjs';
import { Group } from '../lib-2/group.mjs';
import { Client, wait } from '../lib-2/vm.mjs';

const ZONES = ['ke-coast-a', 'ke-coast-b', 'ke-coast-c'];
/** In the site, a replica that receives nothing does so for 6.5 s (`replica_lag`, `deaf`). */
const DEAF_MS = 6_500;
/** In the site, quick changes come every 0.33 s (`config_storm`). */
const CHANGE_GAP_MS = 330;
const READS = 10;
const READ_GAP_MS = 30;
/** Time after which all instances are known and the group's first record is written. */
const WARM_UP_MS = 6_000;

const run = new Case(import.meta.url);
const { record } = run;

/** The configuration of this version, in which the database is at the service, or has no route. */
function createConfiguration(version, service) {
  const route = {
    ...{ host: 'route-claim', service, route_type: 'read_your_writes' },
    ...{ max_staleness_ms: 2_500, timeout_ms: 800, target_latency_ms: 200, priority: 2 },
  };
  return {
    version,
    routes: service ? [route] : [],
    services: ['bookings', 'bookings-2'].map((name) => ({ name, max_conns: 16, sync_replicas: 1 })),
    limits: { tx_idle_ms: 3_000 },
  };
}

/** Reads an item as the instance's log shows it. */
function readItem({ log, appliedCount }, item) {
  const writes = log.slice(0, appliedCount).flatMap((entry) => entry.writes);
  return [`ROW ${writes.findLast((one) => one.item === item)?.data ?? 'none'}`];
}

await run.run(async () => {
  await run.open(createConfiguration(7, 'bookings'));
  const ran = new Map();
  const options = {
    ...{ slots: 2, maxConns: 16, workMs: 3, lagMs: 20, read: readItem },
    onRun: ({ instance, id }) => ran.set(id, instance),
  };
  const bookings = await run.addGroup(new Group('bookings', run.store, options), ZONES);
  await run.addGroup(new Group('bookings-2', run.store, options), ZONES);
  // A machine in the zone of the replica that will receive nothing, which it prefers for reads.
  const machine = await run.addMachine({
    ...{ name: 'front-ke-coast-c-1', zone: 'ke-coast-c', host: '127.0.0.23', zones: ZONES },
    limits: { cpu_share: 0.675, cores: 2, memory_mb: 610, max_fds: 8400, link_mbps: 2000 },
  });
  if (!(await machine.waitUntilReady())) throw new Error('the machine is not ready');
  await wait(WARM_UP_MS);

  const client = new Client(machine);
  await client.send('CONNECT route-claim guide');
  let count = 0;
  const ask = async (text) => {
    count += 1;
    const id = `q${count}`;
    const answer = await client.send(`QUERY ${id} ${text}`);
    const { group, isPrimary, zone } = ran.get(id) ?? { group: { name: 'not run' } };
    const where = `${group.name} ${isPrimary ? 'primary' : 'replica'} ${zone ?? ''}`;
    record(`${text}: ${answer.error ?? answer.rows.join()} at ${answer.position}, run by ${where}`);
    return answer;
  };
  const changeConfiguration = async (version, service) => {
    run.store.put('config', 'main', createConfiguration(version, service));
    record(
      `configuration ${version}: the database ${service ? `is at ${service}` : 'has no route'}`,
    );
    await wait(CHANGE_GAP_MS);
  };

  await ask('WRITE walk-3 unclaimed');
  await wait(500);
  const [, , replica] = bookings.instances;
  replica.setDeaf(DEAF_MS);
  record(`the replica in ${replica.zone} receives nothing from now on`);
  const claim = await ask('WRITE walk-3 claimed');
  if (claim.error) throw new Error('the claim was not acknowledged');
  await changeConfiguration(8);
  await changeConfiguration(9, HAS_TROUBLE ? 'bookings-2' : 'bookings');
  await ask('WRITE walk-9 claimed');
  await changeConfiguration(10);
  await changeConfiguration(11, 'bookings');
  let stale = 0;
  for (let index = 0; index < READS; index += 1) {
    const { rows, error } = await ask('READ walk-3');
    if (!error && rows[0] !== 'claimed') stale += 1;
    await wait(READ_GAP_MS);
  }
  return stale > 0 ? `STALE: ${stale} of ${READS} reads miss the session's own commit` : undefined;
});
