/* eslint-disable no-console -- scripts of a review */
// Another writer leaves entries among those of the instances that name none.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { HAS_TROUBLE, Recorder, runCase, startDeployment } from '../lib-3/deployment.mjs';
import { runOrdinary } from '../lib-3/ordinary.mjs';
import { wait } from '../lib-3/vm.mjs';

const ENTRIES = 24;
/** Elements of the unknown field of an entry: as JSON about 1,020,000 bytes, below value_bytes. */
const ELEMENTS = HAS_TROUBLE ? 340_000 : 3;
const CUTS = 5;
const CUT_GAP_MS = 730;
const OBSERVED_MS = 40_000;

const recorder = new Recorder(dirname(fileURLToPath(import.meta.url)));

/** An entry with a field of another type, and one that no page names. */
function createOddEntry(number) {
  return { service: number, labels: Array.from({ length: ELEMENTS }, () => ({})) };
}

await runCase(async () => {
  const machines = [
    { host: '127.0.65.61', zone: 'zone-a' },
    { host: '127.0.65.62', zone: 'zone-b' },
  ];
  const { vms, store, stop } = await startDeployment({ recorder, machines });
  const state = { isOver: false, writes: 0, unanswered: 0 };
  const ordinary = vms.map((vm) => runOrdinary(vm, state, recorder));
  const ready = [0, 0];
  let looks = 0;
  try {
    await wait(2_000);
    for (let number = 0; number < ENTRIES; number += 1) {
      const { spec } = store.put('servers', `odd-${number}`, createOddEntry(number));
      recorder.add({ kind: 'odd entry', number, bytes: JSON.stringify(spec).length });
      await wait(200);
    }
    // "A watch that is waiting may be cut off": what is watched is listed again then.
    for (let number = 0; number < CUTS; number += 1) {
      store.cutWatches();
      await wait(CUT_GAP_MS);
    }
    for (const end = Date.now() + OBSERVED_MS; Date.now() < end; looks += 1) {
      const answers = await Promise.all(vms.map((vm) => vm.isReady()));
      answers.forEach((isReady, index) => {
        ready[index] += isReady ? 1 : 0;
      });
      await wait(1_000);
    }
  } finally {
    state.isOver = true;
    await Promise.race([Promise.all(ordinary), wait(3_000)]);
  }
  // None is asked to end, and nothing disturbs the machines.
  const ends = vms.map(({ exits }) => exits.filter(({ asked }) => !asked).length);
  const { writes, unanswered } = state;
  recorder.add({ kind: 'result', ends, ready, looks, writes, unanswered });
  await stop();
  console.log(`processes that ended by themselves, by machine: ${ends.join(', ')}`);
  console.log(`ready, by machine: ${ready.join(', ')} of ${looks} times`);
  console.log(`ordinary writes: ${writes}, without an answer: ${unanswered}`);
  return ends.filter((count) => count >= 3).length >= 2;
});
