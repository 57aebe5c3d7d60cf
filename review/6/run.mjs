/**
 * A process gets SIGTERM. Sessions that begin a transaction soon after it and pause only for a moment
 * between their statements are served until the process is killed, in the middle of a statement.
 */
import { Case, HAS_TROUBLE } from '../lib-2/case.mjs';
import { Group } from '../lib-2/group.mjs';
import { Client, WALKS_BOUNDS, wait } from '../lib-2/vm.mjs';

const ZONES = ['quimperle', 'clohars', 'moelan'];
const { grace_s: GRACE_S, loss_slack_ms: LOSS_SLACK_MS } = WALKS_BOUNDS;
const GRACE_MS = GRACE_S * 1_000;
/** The longest work of a statement of `catalogue-lecture` in the site file. */
const WORK_MS = 270;
/** As many sessions as the three instances have slots. */
const SESSIONS = 9;
/** PROTOCOL.md: "a transaction of up to 12 statements with pauses between them". */
const STATEMENTS = 12;
const PAUSE_MS = 50;
/** When the transactions begin after SIGTERM: the first one, and the time between two of them. */
const FIRST_BEGIN_MS = 1_700;
const BEGIN_GAP_MS = 30;
/** RULES.md, LOST: what was sent no later than this after SIGTERM may be cut at the end of grace_s. */
const EXCUSED_MS = 3_000;
/** Time in which the machine becomes calm: the stable window, and some more. */
const WARM_UP_MS = 6_000;

const run = new Case(import.meta.url);
const { record } = run;

await run.run(async () => {
  await run.open({
    version: 7,
    routes: [
      {
        ...{ host: 'catalogue-lecture', service: 'gabarits', route_type: 'bounded_staleness' },
        ...{ max_staleness_ms: 1_500, timeout_ms: 2_000, target_latency_ms: 500, priority: 2 },
      },
    ],
    services: [{ name: 'gabarits', max_conns: 46, sync_replicas: 1 }],
    limits: { tx_idle_ms: 3_000 },
  });
  /** When an instance has received a request, by id. */
  const receivedAt = new Map();
  const options = {
    ...{ slots: 3, maxConns: 46, workMs: WORK_MS, lagMs: 8 },
    onReceive: ({ id }) => receivedAt.set(id, Date.now()),
  };
  await run.addGroup(new Group('gabarits', run.store, options), ZONES);
  const machine = await run.addMachine({
    ...{ name: 'front-quimperle-1', zone: 'quimperle', host: '127.0.0.28', zones: ZONES },
    limits: { cpu_share: 0.675, cores: 2, memory_mb: 610, max_fds: 8400, link_mbps: 2000 },
  });
  if (!(await machine.waitUntilReady())) throw new Error('the machine is not ready');
  await wait(WARM_UP_MS);
  const clients = [];
  for (let index = 0; index < SESSIONS; index += 1) {
    const client = new Client(machine);
    await client.send(`CONNECT catalogue-lecture reader-${index}`);
    clients.push(client);
  }

  const startedAt = Date.now();
  if (HAS_TROUBLE) {
    machine.terminate(GRACE_MS);
    record(`${machine.name} gets SIGTERM, and SIGKILL ${GRACE_MS} ms later if it still runs`);
  }
  let lost = 0;
  let unfinished = 0;
  const ask = async (client, id, text) => {
    const wasClosed = client.isClosed;
    const sentAt = Date.now();
    const answer = await client.send(`QUERY ${id} ${text}`);
    if (answer.error !== 'CLOSED' || wasClosed) return answer;
    const sentMs = sentAt - startedAt;
    const heldMs = Date.now() - sentAt;
    const isPassedOn = receivedAt.has(id);
    const isExcused = sentMs <= EXCUSED_MS || !(isPassedOn || heldMs > LOSS_SLACK_MS);
    if (!isExcused) lost += 1;
    const where = isPassedOn
      ? `${Date.now() - receivedAt.get(id)} ms after an instance has received it`
      : '';
    record(
      `${id} ${text}, sent ${sentMs} ms after SIGTERM, is cut off after ${heldMs} ms ${where}`,
    );
    return answer;
  };
  const readAll = async (client, number) => {
    await wait(FIRST_BEGIN_MS + number * BEGIN_GAP_MS);
    let { error } = await ask(client, `c${number}-begin`, 'BEGIN READ');
    for (let index = 0; index < STATEMENTS && !error; index += 1) {
      await wait(PAUSE_MS);
      ({ error } = await ask(client, `c${number}-${index}`, `READ template-${index}`));
    }
    if (!error) {
      await wait(PAUSE_MS);
      ({ error } = await ask(client, `c${number}-commit`, 'COMMIT'));
    }
    if (error) unfinished += 1;
    record(`transaction ${number}: ${error ?? 'committed'} after ${Date.now() - startedAt} ms`);
  };
  await Promise.all(clients.map((client, number) => readAll(client, number)));
  record(`${unfinished} of ${SESSIONS} transactions unfinished, ${lost} requests lost`);
  return lost > 0 ? 'LOST: requests that an instance was at work on were cut off' : undefined;
});
