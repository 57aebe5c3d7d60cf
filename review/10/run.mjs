/**
 * A process that starts while a service is being released takes the primary, which is leaving, for
 * one that has just begun to leave, and sends it work for longer than the drain time allows.
 */
import { Case, HAS_TROUBLE } from '../lib-2/case.mjs';
import { Group } from '../lib-2/group.mjs';
import { Client, WALKS_BOUNDS, wait } from '../lib-2/vm.mjs';

const ZONES = ['ke-coast-a', 'ke-coast-b', 'ke-coast-c'];
const { drain_ms: DRAIN_MS, stable_window_ms: STABLE_WINDOW_MS } = WALKS_BOUNDS;
/** Time between two instances of the release, which is replaced one after the other. */
const RELEASE_GAP_MS = 1_000;
/** An instance serves for `drain_ms` "and a little longer (at times many seconds)". */
const LONGER_MS = { primary: 1_000, replica: 4_000 };
/** The process is killed this long after the primary has reported that it is leaving. */
const KILL_AFTER_MS = 1_800;
const CLIENTS = 6;
const CLIENT_GAP_MS = 20;
/** Time in which the group becomes calm and its first record is written. */
const WARM_UP_MS = 12_000;

const run = new Case(import.meta.url);
const { record } = run;

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
  let primaryLeftAt = Infinity;
  let late = 0;
  const perSecond = new Map();
  /** When a statement of a client was sent, by id. */
  const sentAt = new Map();
  let inTouchFrom = 0;
  const onRun = ({ instance, id }) => {
    const sinceMs = Date.now() - primaryLeftAt;
    if (id === '-' || !instance.isLeaving || sinceMs < 0) return;
    const second = Math.floor(sinceMs / 1_000);
    perSecond.set(second, (perSecond.get(second) ?? 0) + 1);
    // Both ends lie behind the drain time, and the machine was in touch when it took the request.
    const isInTouch = sentAt.get(id) >= inTouchFrom;
    if (sinceMs <= DRAIN_MS || !isInTouch) return;
    late += 1;
    if (late <= 5) record(`${id} runs ${sinceMs} ms after ${instance.id} reported that it leaves`);
  };
  const options = { slots: 2, maxConns: 16, workMs: 3, lagMs: 20, onRun };
  const group = await run.addGroup(new Group('bookings', run.store, options), ZONES);
  const machine = await run.addMachine({
    ...{ name: 'front-ke-coast-a-1', zone: 'ke-coast-a', host: '127.0.0.24', zones: ZONES },
    limits: { cpu_share: 0.675, cores: 2, memory_mb: 610, max_fds: 8400, link_mbps: 2000 },
  });
  if (!(await machine.waitUntilReady())) throw new Error('the machine is not ready');
  await wait(WARM_UP_MS);

  const release = (instance) => {
    const role = instance.isPrimary ? 'primary' : 'replica';
    instance.leave();
    record(`${instance.id} (${role}) reports that it leaves`);
    setTimeout(() => {
      record(`${instance.id} exits`);
      instance.stop();
      run.store.remove('servers', instance.id);
    }, DRAIN_MS + LONGER_MS[role]);
  };
  let isEnding = false;
  const answers = { served: 0, refused: 0, unknown: 0 };
  const load = async (number) => {
    for (let index = 0; !isEnding; index += 1) {
      const client = new Client(machine);
      const { state } = await client.send('CONNECT seat-hold family');
      const id = `q${number}-${index}`;
      sentAt.set(id, Date.now());
      const { error } =
        state === 'I' ? await client.send(`QUERY ${id} WRITE seat-${number} held`) : {};
      if (state === 'I' && !error) answers.served += 1;
      else if (/^(INDOUBT|TIMEOUT|CLOSED)/.test(error)) {
        answers.unknown += 1;
        record(`${id}: ${error}`);
      } else answers.refused += 1;
      client.close();
      await wait(CLIENT_GAP_MS);
    }
  };
  const { primary } = group;
  const replicas = group.instances.filter((one) => one !== primary);
  for (const instance of [...replicas, primary]) {
    release(instance);
    if (instance !== primary) await wait(RELEASE_GAP_MS);
  }
  primaryLeftAt = Date.now();
  const loaded = Promise.all(Array.from({ length: CLIENTS }, (_, number) => load(number)));
  await wait(KILL_AFTER_MS);
  if (HAS_TROUBLE) {
    machine.kill();
    record(`the process of ${machine.name} is killed`);
    if (!(await machine.waitUntilReady())) throw new Error('the machine is not ready');
    inTouchFrom = machine.startedAt + STABLE_WINDOW_MS;
    record(`in touch from ${inTouchFrom - primaryLeftAt} ms after the report of the primary`);
  }
  await wait(Math.max(0, primaryLeftAt + DRAIN_MS + LONGER_MS.primary + 1_000 - Date.now()));
  isEnding = true;
  await loaded;
  record(`writes: ${JSON.stringify(answers)}`);
  record(`run by seconds after the report: ${JSON.stringify([...perSecond])}`);
  return late > 0 ? `DRAIN: ${late} writes reached the leaving primary too late` : undefined;
});
