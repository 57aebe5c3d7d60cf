/**
 * A replica leaves while the other one receives nothing. What the primary acknowledges meanwhile is on
 * a log that goes with its instance; when the primary is lost as well, the replica without it is
 * promoted.
 */
import { Case, HAS_TROUBLE } from '../lib-2/case.mjs';
import { Group } from '../lib-2/group.mjs';
import { Client, WALKS_BOUNDS, wait } from '../lib-2/vm.mjs';

const ZONES = ['ke-coast-a', 'ke-coast-b', 'ke-coast-c'];
/** In the site, a replica that receives nothing does so for 6.5 s (`replica_lag`, `deaf`). */
const DEAF_MS = 6_500;
/** An instance serves for `drain_ms` "and a little longer" before it exits. */
const LONGER_MS = 1_000;
/** The leaving replica exits this long after the other one has begun to receive nothing. */
const EXIT_AFTER_MS = 3_000;
/** Time between the exit of the replica and the loss of the primary. */
const LOSS_AFTER_MS = 500;
/** Three status report intervals, after which the entry of a lost instance is removed. */
const EXPIRY_MS = 3_600;
const WRITE_GAP_MS = 30;
/** Time in which the group becomes calm; nothing is disturbed meanwhile. */
const WARM_UP_MS = 18_000;
const PROMOTION_LIMIT_MS = 50_000;

/** Parts of the disruption that a trial by hand leaves out: `leave`, `deaf` or `loss`. */
const LEFT_OUT = process.env.WITHOUT;
const has = (part) => HAS_TROUBLE && LEFT_OUT !== part;

const run = new Case(import.meta.url);
const { record } = run;

/** Writes one item after the other, and returns those whose commits were acknowledged. */
async function write(client, endAt) {
  const acknowledged = [];
  const answers = {};
  for (let index = 0; Date.now() < endAt; index += 1) {
    const item = `seat-${index}`;
    const { error } = await client.send(`QUERY w${index} WRITE ${item} held`);
    const code = error ? error.split(' ')[0] : 'DONE';
    answers[code] = (answers[code] ?? 0) + 1;
    if (!error) acknowledged.push(item);
    await wait(WRITE_GAP_MS);
  }
  record(`answers to the writes: ${JSON.stringify(answers)}`);
  return acknowledged;
}

await run.run(async () => {
  await run.open({
    version: 7,
    routes: [
      {
        ...{ host: 'seat-hold', service: 'bookings', route_type: 'primary', timeout_ms: 800 },
        ...{ target_latency_ms: 120, priority: 1 },
      },
    ],
    services: [{ name: 'bookings', max_conns: 16, sync_replicas: 1 }],
    limits: { tx_idle_ms: 3_000 },
  });
  const options = { slots: 2, maxConns: 16, workMs: 3, lagMs: 20 };
  const group = await run.addGroup(new Group('bookings', run.store, options), ZONES);
  for (const [index, zone] of ZONES.entries()) {
    await run.addMachine({
      ...{ name: `front-${zone}-1`, zone, host: `127.0.0.${25 + index}`, zones: ZONES },
      limits: { cpu_share: 0.675, cores: 2, memory_mb: 610, max_fds: 8400, link_mbps: 2000 },
    });
  }
  const [machine] = run.machines;
  for (const one of run.machines) {
    if (!(await one.waitUntilReady())) throw new Error(`${one.name} is not ready`);
  }
  await wait(WARM_UP_MS);
  const [primary, leaving, staying] = group.instances;
  if (!primary.isPrimary) throw new Error('the lead has moved without a disruption');

  const end = (instance, text) => {
    instance.stop();
    record(`${instance.id} ${text}`);
  };
  if (has('leave')) {
    leaving.leave();
    record(`${leaving.id} (replica) reports that it leaves`);
  }
  await wait(WALKS_BOUNDS.drain_ms + LONGER_MS - EXIT_AFTER_MS);
  if (has('deaf')) {
    staying.setDeaf(DEAF_MS);
    record(`${staying.id} (replica) receives nothing for ${DEAF_MS} ms`);
  }
  const client = new Client(machine);
  await client.send('CONNECT seat-hold family');
  const exitAt = Date.now() + EXIT_AFTER_MS;
  const written = write(client, exitAt);
  await wait(EXIT_AFTER_MS);
  if (has('leave')) {
    end(leaving, 'exits; its log is gone with it');
    run.store.remove('servers', leaving.id);
  }
  const acknowledged = await written;
  await wait(Math.max(0, exitAt + LOSS_AFTER_MS - Date.now()));
  if (has('loss')) {
    end(primary, '(primary) is lost for good');
    setTimeout(() => run.store.remove('servers', primary.id), EXPIRY_MS);
  }
  const limit = Date.now() + (has('loss') ? PROMOTION_LIMIT_MS : 5_000);
  const isPromoted = () => group.primary !== undefined && group.primary !== primary;
  while (Date.now() < limit && !isPromoted()) await wait(100);
  if (!isPromoted()) {
    record('no other instance was promoted');
    return undefined;
  }
  const held = new Set(group.primary.log.flatMap(({ writes }) => writes.map(({ item }) => item)));
  const lost = acknowledged.filter((item) => !held.has(item));
  record(`${group.primary.id} leads; ${lost.length} of ${acknowledged.length} are not in its log`);
  return lost.length > 0 ? 'LOST: acknowledged commits are not in the promoted log' : undefined;
});
