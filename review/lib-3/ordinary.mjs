/* eslint-disable no-param-reassign -- stand-ins and scripts of a review */
import { randomBytes } from 'node:crypto';
import { Client, wait } from './vm.mjs';

const createId = () => randomBytes(8).toString('hex');

/**
 * An ordinary client that writes a few times a second until `state.isOver`; counts the writes, and
 * those that get no answer. It connects again after a close.
 */
export async function runOrdinary(vm, state, recorder) {
  while (!state.isOver) {
    const client = new Client(vm);
    const opened = await client.connect('db1p');
    while (!state.isOver && !client.isClosed && opened.end === 'complete' && !opened.error) {
      const id = createId();
      const answer = await client.query(id, `WRITE 2b ${createId()}`, 5_000);
      state.writes += 1;
      if (answer.end !== 'complete') {
        state.unanswered += 1;
        recorder.add({ kind: 'write without answer', vm: vm.name, id, end: answer.end });
      }
      await wait(20);
    }
    client.close();
    await wait(100);
  }
}
