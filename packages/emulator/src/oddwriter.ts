import * as fc from 'fast-check';
import {
  encodeOddEntry,
  type EntryContent,
  oddHeartbeatArbitrary,
  oddInstanceArbitrary,
  type OddEntryShape,
} from './oddentry.js';
import type { EmulatedStore } from './store.js';

const INSTANCES_KIND = 'servers';
const VMS_KIND = 'proxies';
const ZONE = 'zone-a';
const HOST = '127.0.0.1';
/** Each time of so many, the entry has a port out of range. */
const BAD_PORT_INTERVAL = 4;

const HEARTBEAT = { beat: 1, startedAt: 1, zone: ZONE, host: HOST, port: 1 };

/** Ports out of range, at which a connection fails before it is opened. */
const BAD_ADDRESS: OddEntryShape = {
  place: 'addr',
  value: { kind: 'json', text: `"${HOST}:99999"` },
};
const BAD_PORT: OddEntryShape = { place: 'port', value: { kind: 'json', text: '70000' } };

function createInstance(group: string): EntryContent {
  return {
    ...{ service: group, addr: `${HOST}:1`, zone: ZONE, version: 'v1', slots: 3, state: 'ready' },
    ...{ cold_left_ms: 0, db_role: 'replica', born: 1, sequence: 1 },
  };
}

function drawShape(arbitrary: fc.Arbitrary<OddEntryShape>, seed: number): OddEntryShape {
  const [shape] = fc.sample(arbitrary, { seed, numRuns: 1 });
  if (!shape) throw new Error('no odd entry was drawn');
  return shape;
}

/** Writes an odd entry under the name of an instance, which replaces it with its next report. */
function replaceInstanceEntry(
  store: EmulatedStore,
  group: string,
  shape: OddEntryShape,
  seed: number,
): void {
  const entries = store.list(INSTANCES_KIND).filter(({ spec }) => {
    const { service } = (spec ?? {}) as EntryContent;
    return service === group;
  });
  const entry = entries[seed % Math.max(1, entries.length)];
  if (!entry) return;
  const { name } = entry.meta;
  const content = { ...(entry.spec as EntryContent), state: 'draining' };
  store.put(INSTANCES_KIND, name, encodeOddEntry(shape, name, content));
}

/**
 * Writes odd entries as another writer does: one among the instances, which names a group, the same
 * under the name of an instance of the group, and one among the heartbeats of VMs. The same seed
 * gives the same ones.
 *
 * @returns removes the entries
 */
export function writeOddEntries(store: EmulatedStore, group: string, seed: number): () => void {
  const name = `odd-${seed}`;
  const hasBadPort = seed % BAD_PORT_INTERVAL === 0;
  const instance = hasBadPort ? BAD_ADDRESS : drawShape(oddInstanceArbitrary, seed);
  const heartbeat = hasBadPort ? BAD_PORT : drawShape(oddHeartbeatArbitrary, seed);
  replaceInstanceEntry(store, group, instance, seed);
  store.put(INSTANCES_KIND, name, encodeOddEntry(instance, name, createInstance(group)));
  store.put(VMS_KIND, name, encodeOddEntry(heartbeat, name, HEARTBEAT));
  return () => {
    store.remove(INSTANCES_KIND, name);
    store.remove(VMS_KIND, name);
  };
}
