/* eslint-disable no-console, no-param-reassign -- scripts of a review */
// An order to promote is carried out late, after its holder has recorded that none is in flight.
import { randomBytes } from 'node:crypto';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { HAS_TROUBLE, Recorder, runCase, startDeployment } from '../lib-3/deployment.mjs';
import { Client, wait } from '../lib-3/vm.mjs';

/** How long the primary is away. */
const CRASH_MS = 2_200;
/** How late the first order is carried out. */
const LATE_MS = 9_000;
/** How long the machine stands still as the answer to its second claim is on its way. */
const FREEZE_MS = 1_000;
/** How long the log takes to the instance that is ordered to lead, and to the others. */
const SLOW_REPLICA_MS = 40;
const REPLICA_MS = 4;
const WRITERS = 8;

const recorder = new Recorder(dirname(fileURLToPath(import.meta.url)));
const createId = () => randomBytes(8).toString('hex');

async function runWriter(vm, item, state) {
  while (!state.isOver) {
    const client = new Client(vm);
    const opened = await client.connect('db1p');
    while (!state.isOver && !client.isClosed && opened.end === 'complete' && !opened.error) {
      const id = createId();
      const answer = await client.query(id, `WRITE ${item} ${id}`, 3_000);
      const { digest, error, ready, end } = answer;
      recorder.add({ kind: 'write', id, digest, error, ready, end });
      if (end === 'complete' && digest && !error) state.acknowledged.set(id, Date.now());
      else await wait(30);
      await wait(5);
    }
    client.close();
    await wait(50);
  }
}

await runCase(async () => {
  const machines = [
    { host: '127.0.65.81', zone: 'zone-a' },
    { host: '127.0.65.82', zone: 'zone-b' },
  ];
  const { vms, group, store, cloud, stop } = await startDeployment({
    recorder,
    machines,
    group: { receiveMs: (one) => (one.isSlow ? SLOW_REPLICA_MS : REPLICA_MS) },
  });
  const [vm, removed] = vms;
  const state = { isOver: false, isCrashed: false, acknowledged: new Map() };
  const writers = Array.from({ length: WRITERS }, (_, index) => runWriter(vm, `k${index}`, state));
  const note = (what, details = {}) => {
    recorder.add({ kind: 'event', what, ...details });
    console.log(what, JSON.stringify(details));
  };
  let claims = 0;
  store.isAnswerLost = ({ kind, name, spec }) => {
    if (kind !== 'promotions') return false;
    const { phase, plan, generation, holder } = spec;
    note('record written', { name, phase, plan, generation, holder });
    if (state.isCrashed && phase === 'open') claims += 1;
    // The answer to the second claim is on its way.
    if (state.isCrashed && phase === 'open' && claims === 2) {
      note('machine stands still', { vm: vm.name, ms: FREEZE_MS });
      vm.signal('SIGSTOP', false);
      setTimeout(() => vm.signal('SIGCONT', false), FREEZE_MS);
    }
    return false;
  };
  let orders = 0;
  cloud.findDelay = ({ id, token }) => {
    if (state.isCrashed) orders += 1;
    const lateMs = orders === 1 ? LATE_MS : 0;
    note('order', { id, token, lateMs });
    group.instances.forEach((one) => {
      one.isSlow = one.id === id;
    });
    return lateMs;
  };
  if (HAS_TROUBLE) {
    removed.remove();
    await wait(7_000);
    const { leader } = group;
    note('primary crashes', { id: leader.id });
    state.isCrashed = true;
    leader.stop();
    await wait(CRASH_MS);
    note('primary is back with its log', { id: leader.id, leads: leader.leads });
    await leader.start();
  }
  await wait(LATE_MS + 3_000);
  state.isOver = true;
  await Promise.race([Promise.all(writers), wait(3_000)]);
  const kept = new Set(group.leader.log.flatMap(({ writes }) => writes.map(({ id }) => id)));
  const lost = [...state.acknowledged].filter(([id]) => !kept.has(id));
  note('result', {
    term: group.term,
    acknowledged: state.acknowledged.size,
    lost: lost.length,
  });
  lost.forEach(([id, at]) => recorder.add({ kind: 'lost', id, acknowledgedAt: at }));
  await stop();
  return lost.length > 0;
});
