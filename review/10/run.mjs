/** A client sets a value inside a transaction. The COMMIT behind it runs with the value from before. */
import { Case, HAS_TROUBLE } from '../lib-2/case.mjs';
import { Group } from '../lib-2/group.mjs';
import { Client } from '../lib-2/vm.mjs';

const ZONES = ['ke-coast-a', 'ke-coast-b', 'ke-coast-c'];
const TRANSACTIONS = 10;

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
  const ran = new Map();
  const options = {
    ...{ slots: 2, maxConns: 16, workMs: 3, lagMs: 20 },
    onRun: ({ id, text, values }) => ran.set(id, { text, guide: values.guide }),
  };
  await run.addGroup(new Group('bookings', run.store, options), ZONES);
  const machine = await run.addMachine({
    ...{ name: 'front-ke-coast-a-1', zone: 'ke-coast-a', host: '127.0.0.24', zones: ZONES },
    limits: { cpu_share: 0.675, cores: 2, memory_mb: 610, max_fds: 8400, link_mbps: 2000 },
  });
  if (!(await machine.waitUntilReady())) throw new Error('the machine is not ready');
  const client = new Client(machine);
  await client.send('CONNECT seat-hold agent');
  let wrong = 0;
  /** The value that was acknowledged last. */
  let acknowledged;
  let count = 0;
  const ask = async (text) => {
    count += 1;
    const id = `t${count}`;
    const { error, digest } = await client.send(`QUERY ${id} ${text}`);
    if (text.startsWith('SET') && !error) [, , acknowledged] = text.split(' ');
    const { guide } = ran.get(id) ?? {};
    record(
      `${text}: ${error ?? `DONE ${digest}`}${ran.has(id) ? `, run with guide=${guide}` : ''}`,
    );
    if (!ran.has(id) || error || guide === acknowledged) return;
    wrong += 1;
    record(`${text} should have run with guide=${acknowledged}`);
  };
  for (let index = 0; index < TRANSACTIONS; index += 1) {
    await ask(`SET guide first-${index}`);
    await ask('BEGIN');
    await ask(`WRITE walk-${index} claimed`);
    if (HAS_TROUBLE) await ask(`SET guide second-${index}`);
    await ask('COMMIT');
  }
  return wrong > 0 ? `PINNED: ${wrong} statements ran with other values` : undefined;
});
