/* eslint-disable no-console, no-loop-func -- stand-ins and scripts of a review */
// A client sets many short values in its session and then reads.
import { randomBytes } from 'node:crypto';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { HAS_TROUBLE, Recorder, runCase, startDeployment } from '../lib-3/deployment.mjs';
import { runOrdinary } from '../lib-3/ordinary.mjs';
import { Client, wait } from '../lib-3/vm.mjs';

const VALUES = 300_000;
/** Without the disruption the same number of messages sets this many values. */
const CALM_VALUES = 100;
/** Messages without an answer at a time. */
const AHEAD = 32;
const ROUNDS = 3;
const DIGITS = 'abcdefghijklmnopqrstuvwxyz0123456789';

const recorder = new Recorder(dirname(fileURLToPath(import.meta.url)));
const createId = () => randomBytes(8).toString('hex');

function formatName(number) {
  const rest = Math.floor(number / DIGITS.length);
  return (rest > 0 ? formatName(rest) : '') + DIGITS[number % DIGITS.length];
}

/** Sets the values of a session; returns how many were acknowledged. */
async function setValues(client, count) {
  let acknowledged = 0;
  while (acknowledged < VALUES) {
    const size = Math.min(AHEAD, VALUES - acknowledged);
    const lines = Array.from({ length: size }, (_, index) => {
      const name = formatName((acknowledged + index) % count);
      return `QUERY ${createId()} SET ${name} 1\r\n`;
    });
    client.socket.write(lines.join(''));
    for (let index = 0; index < size; index += 1) {
      const answer = await client.readAnswer();
      if (answer.end !== 'complete' || answer.error) {
        return { acknowledged, ended: answer.error ?? answer.end };
      }
      acknowledged += 1;
    }
  }
  return { acknowledged, ended: undefined };
}

/** One session of the client: its values, then a read. */
async function runSession(vm, round) {
  const client = new Client(vm);
  const opened = await client.connect('db1b');
  const startedAt = Date.now();
  const set = await setValues(client, HAS_TROUBLE ? VALUES : CALM_VALUES);
  recorder.add({ kind: 'values', vm: vm.name, round, opened: opened.end, ...set });
  recorder.add({ kind: 'values took', vm: vm.name, ms: Date.now() - startedAt });
  const id = createId();
  const answer = client.isClosed ? { end: 'closed' } : await client.query(id, 'READ 1a4', 15_000);
  recorder.add({ kind: 'read', vm: vm.name, round, id, ...answer });
  client.close();
}

await runCase(async () => {
  const machines = [
    { host: '127.0.65.11', zone: 'zone-a' },
    { host: '127.0.65.12', zone: 'zone-b' },
  ];
  const { vms, stop } = await startDeployment({ recorder, machines });
  const state = { isOver: false, writes: 0, unanswered: 0 };
  const ordinary = vms.map((vm) => runOrdinary(vm, state, recorder));
  try {
    for (let round = 1; round <= ROUNDS; round += 1) {
      await Promise.all(vms.map((vm) => runSession(vm, round)));
      await wait(500);
      await Promise.all(vms.map((vm) => vm.waitUntilReady()));
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
