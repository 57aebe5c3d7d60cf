import {
  formatGroupKey,
  formatNoteKey,
  type GroupRecord,
  type ReleaseNote,
} from '@shallotpick/core';
import { expect } from 'earl';
import { setTimeout as sleep } from 'node:timers/promises';
import { type Cluster, createCluster, PROFILES } from '../src/index.js';

const POLL_MS = 20;
const MAX_WAIT_MS = 8_000;
/** Age of a copy that holds neither note nor records. */
const EMPTY_COPY_MS = 60_000;
const PAUSE_MS = 200;

const EMPTY = { groups: [], contracts: [] };
const NOTE: ReleaseNote = { id: 'second', base: 1, added: EMPTY, changed: EMPTY, withdrawn: EMPTY };

/** Waits until a condition holds; false when it does not in time. */
async function waitUntil(isTrue: () => boolean): Promise<boolean> {
  for (let waited = 0; waited < MAX_WAIT_MS; waited += POLL_MS) {
    if (isTrue()) return true;
    await sleep(POLL_MS);
  }
  return false;
}

describe('a cluster whose platform comes back from an older copy', () => {
  let cluster: Cluster;

  beforeEach(async () => {
    cluster = await createCluster({ profile: PROFILES.walks, proxies: 2, statementCostMs: 0 });
  });

  afterEach(() => cluster.stop());

  const readRecord = (group: string): GroupRecord | undefined => {
    const text = cluster.platform.find(formatGroupKey(group));
    return text === undefined ? undefined : (JSON.parse(text) as GroupRecord);
  };

  // The daemons ignored each record whose version was below the one that they remembered, so that
  // no group could fail over until the store had given out as many versions again.
  it('fails over a group whose record is lost, and keeps the primary until then', async () => {
    const [group] = cluster.groups;
    const primary = group?.findPrimary();
    const name = group?.options.name ?? '';
    cluster.platform.restore(EMPTY_COPY_MS);
    expect(await waitUntil(() => readRecord(name)?.primary === primary?.options.id)).toEqual(true);
    expect(readRecord(name)?.term).toEqual(1);
    await primary?.stop();
    expect(await waitUntil(() => (readRecord(name)?.term ?? 0) > 1)).toEqual(true);
    expect(await waitUntil(() => group?.findPrimary()?.isUp() === true)).toEqual(true);
  }).timeout(30_000);

  // A note that an operator had been told of was gone, and the next one took its number, so that
  // daemons with and without the lost one had different configurations under one number.
  it('writes a release note again that is lost', async () => {
    await sleep(PAUSE_MS);
    cluster.platform.set(formatNoteKey(2), JSON.stringify(NOTE));
    const isInForce = (): boolean =>
      cluster.daemons.every((daemon) => daemon.readConfiguration().number === 2);
    expect(await waitUntil(isInForce)).toEqual(true);
    cluster.platform.restore(EMPTY_COPY_MS);
    const isThere = (): boolean => cluster.platform.find(formatNoteKey(2)) !== undefined;
    expect(await waitUntil(isThere)).toEqual(true);
    expect(cluster.platform.find(formatNoteKey(2))).toEqual(JSON.stringify(NOTE));
    expect(cluster.platform.find(formatNoteKey(1)) !== undefined).toEqual(true);
  }).timeout(30_000);
});
