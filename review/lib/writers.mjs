/** Sessions that write without a pause, and the ids of the writes that were acknowledged. */
import { Client } from './client.mjs';
import { wait } from './net.mjs';

const PAUSE_MS = 20;
const LAST_ANSWERS_MS = 3_000;

/** Writes in one session after the other until `state` is over. */
async function write(vm, state, note) {
  while (!state.isOver) {
    const client = new Client(vm, 'base-fresh', note);
    const isOpen = await client.open();
    for (let count = 0; isOpen && !client.isClosed && !state.isOver; count += 1) {
      const { id, outcome } = await client.query(`WRITE seat${count % 20} x`);
      if (outcome === 'ok') state.acknowledged.add(id);
      if (outcome === 'none') break;
      await wait(PAUSE_MS);
    }
    client.close();
    await wait(PAUSE_MS);
  }
}

/** Starts writers on a machine. */
export function startWriters(vm, count, note) {
  const state = { isOver: false, acknowledged: new Set() };
  const runs = Array.from({ length: count }, () => write(vm, state, note));
  return {
    acknowledged: state.acknowledged,
    stop: async () => {
      state.isOver = true;
      await Promise.race([Promise.all(runs), wait(LAST_ANSWERS_MS)]);
    },
  };
}

/** The rule LOST: acknowledged writes that the log of a promoted instance did not hold. */
export function checkLost(group, acknowledged) {
  const lost = group.lost
    .flatMap(({ writes }) => writes.map(({ id }) => id))
    .filter((id) => acknowledged.has(id));
  return lost.length > 0 ? [`LOST: ${lost.length} acknowledged writes (${lost[0]} ..)`] : [];
}
