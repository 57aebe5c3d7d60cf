/** Requests at a steady pace through all machines, each tried on several, and how many are served. */
import { Client } from './client.mjs';
import { wait } from './net.mjs';

const PAUSE_MS = 100;
const TRIES = 3;
const QUARTER = 0.25;

/** Sends `text` to a database through one machine, in a session of its own. */
async function ask(vm, { database, text }, note) {
  const client = new Client(vm, database, note);
  const isOpen = await client.open();
  const answer = isOpen ? await client.query(text) : { outcome: 'closed' };
  client.close();
  return answer.outcome;
}

/**
 * Sends requests through all machines until `durationMs` have passed. One that isn't served is
 * tried again on the next machines.
 */
export async function measure(deployment, requests, durationMs, note) {
  const end = Date.now() + durationMs;
  const counts = { sent: 0, served: 0 };
  const { vms } = deployment;
  const isServed = async (first, request) => {
    for (let attempt = 0; attempt < TRIES; attempt += 1) {
      if ((await ask(vms[(first + attempt) % vms.length], request, note)) === 'ok') return true;
    }
    return false;
  };
  const run = async (first) => {
    for (let turn = first; Date.now() < end; turn += 1) {
      counts.sent += 1;
      if (await isServed(first, requests[turn % requests.length])) counts.served += 1;
      await wait(PAUSE_MS);
    }
  };
  await Promise.all(vms.map((_, index) => run(index)));
  return counts;
}

/** The rule RECOVER: a quarter was served before the final fault, and less after the recovery. */
export function checkRecovery(before, after) {
  const wasServed = before.served >= QUARTER * before.sent;
  if (!wasServed || after.served >= QUARTER * after.sent) return [];
  const was = `before: ${before.served} of ${before.sent}`;
  return [`RECOVER: ${after.served} of ${after.sent} requests were served (${was})`];
}
