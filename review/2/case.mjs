/**
 * One machine loses its path to the primary, another one its path to the store; while the first
 * has a replica promoted, the other replica crashes and is back with its log. Checks that no
 * acknowledged commit is missing from the log of the promoted instance.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { runCase } from '../lib/deployment.mjs';
import { wait } from '../lib/net.mjs';
import { checkLost, startWriters } from '../lib/writers.mjs';

const DIRECTORY = dirname(fileURLToPath(import.meta.url));
/** TROUBLE=0 leaves out all disruptions. */
const hasTrouble = process.env.TROUBLE !== '0';
const SETTLE_MS = 12_000;
const STORE_CUT_MS = 5_000;
const PRIMARY_CUT_MS = 4_500;
/** From the order; the promotion takes effect after 600 ms. */
const UNTIL_CRASH_MS = 420;
const DOWN_MS = 100;
const AFTER_MS = 8_000;
const WRITERS = 4;

/** Crashes the replica that is not to be promoted; it is back with its log soon. */
async function restartOther(group, named, note) {
  await wait(UNTIL_CRASH_MS);
  const other = group.instances.find((one) => one.id !== named && !one.isLeader);
  note({ crash: other.id });
  await other.stop();
  await wait(DOWN_MS);
  await other.start();
  note({ back: other.id });
}

await runCase(DIRECTORY, async (deployment, note) => {
  await deployment.start({ vms: 2 });
  const [group] = deployment.groups;
  const { promotions, store } = deployment;
  const [, unaware] = deployment.vms;
  await wait(SETTLE_MS);
  const writers = startWriters(unaware, WRITERS, note);
  let crash;
  promotions.delay = ({ service, id, holder, token }) => {
    note({ promotion: id, service, holder, token });
    if (hasTrouble) crash ??= restartOther(group, id, note);
    return undefined;
  };
  await wait(1_000);
  if (hasTrouble) {
    const leader = group.findLeader();
    store.filter = ({ machine }) => (machine === 1 ? 'silent' : undefined);
    leader.paths[0].cut();
    note({ cut: leader.id });
    await wait(PRIMARY_CUT_MS);
    leader.paths[0].heal();
    await wait(STORE_CUT_MS - PRIMARY_CUT_MS);
    store.filter = () => undefined;
  }
  await wait(AFTER_MS);
  await crash;
  await writers.stop();
  const broken = checkLost(group, writers.acknowledged);
  note({ acknowledged: writers.acknowledged.size, broken });
  if (hasTrouble && group.term === 1) throw new Error('no instance was promoted');
  return broken;
});
