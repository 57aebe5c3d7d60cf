/* eslint-disable no-console -- scripts of a review */
// A client sets a few short values with messages whose id is long.
import { randomBytes } from 'node:crypto';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { HAS_TROUBLE, Recorder, runCase, startDeployment } from '../lib-3/deployment.mjs';
import { runOrdinary } from '../lib-3/ordinary.mjs';
import { Client, wait } from '../lib-3/vm.mjs';

const VALUES = 200;
/** Length of the messages, below the largest one of 1 MiB. */
const MESSAGE_BYTES = HAS_TROUBLE ? 1_000_000 : 100;
const ROUNDS = 4;

const recorder = new Recorder(dirname(fileURLToPath(import.meta.url)));

/** One session of the client: 200 values, one after the other, and then a read. */
async function runSession(vm, round) {
  const client = new Client(vm);
  await client.connect('db1b');
  let acknowledged = 0;
  let ended;
  for (; acknowledged < VALUES && !ended; acknowledged += 1) {
    const text = `SET name${acknowledged} value-of-session-${acknowledged}`;
    const id = randomBytes(8)
      .toString('hex')
      .padEnd(MESSAGE_BYTES - text.length, '0');
    const answer = await client.query(id, text);
    if (answer.end !== 'complete' || answer.error) ended = answer.error ?? answer.end;
  }
  recorder.add({ kind: 'values', vm: vm.name, round, acknowledged, ended });
  const id = randomBytes(8).toString('hex');
  const answer = client.isClosed ? { end: 'closed' } : await client.query(id, 'READ 1a4');
  recorder.add({ kind: 'read', vm: vm.name, round, id, ...answer });
  client.close();
}

await runCase(async () => {
  const machines = [
    { host: '127.0.65.51', zone: 'zone-a' },
    { host: '127.0.65.52', zone: 'zone-b' },
  ];
  const { vms, stop } = await startDeployment({ recorder, machines });
  const state = { isOver: false, writes: 0, unanswered: 0 };
  const ordinary = vms.map((vm) => runOrdinary(vm, state, recorder));
  try {
    for (let round = 1; round <= ROUNDS; round += 1) {
      await Promise.all(vms.map((vm) => runSession(vm, round)));
      await wait(500);
      await Promise.all(vms.map((vm) => vm.waitUntilReady()));
      await wait(1_000);
    }
  } finally {
    state.isOver = true;
    await Promise.race([Promise.all(ordinary), wait(3_000)]);
  }
  // None is asked to end, and nothing disturbs the machines.
  const ends = vms.map(({ exits }) => exits.filter(({ asked }) => !asked).length);
  const { writes, unanswered } = state;
  recorder.add({ kind: 'result', ends, writes, unanswered });
  await stop();
  console.log(`processes that ended by themselves, by machine: ${ends.join(', ')}`);
  console.log(`ordinary writes: ${writes}, without an answer: ${unanswered}`);
  return ends.filter((count) => count >= 3).length >= 2;
});
