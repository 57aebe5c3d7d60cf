import type { RegisteredInstance } from '@shallotpick/core';
import {
  createEngineLog,
  Fleet,
  Metrics,
  type ObjectStore,
  OddEntryReporter,
  type StoredObject,
  SystemClock,
  VMS_KIND,
  wait,
} from '@shallotpick/engine';
import { decodeInstance, HttpClient, HttpObjectStore } from '@shallotpick/platform';
import { expect } from 'earl';
import * as fc from 'fast-check';
import {
  createStoreService,
  EmulatedStore,
  encodeOddEntry,
  oddHeartbeatArbitrary,
  oddInstanceArbitrary,
  type OddEntryShape,
} from '../src/index.js';

const silentLog = createEngineLog('error', 'test');

const SEED = 30;
const RUNS = 60;
const KIND = 'servers';
const VALID_ENTRIES = 12;
const MAX_ODD = 8;
/** More than the odd entries, so that each page holds a name that can be read. */
const PAGE_SIZE = MAX_ODD + 1;
const TIMEOUT_MS = 60_000;
const WATCH_MS = 100;

const NAMES = Array.from({ length: VALID_ENTRIES }, (_, index) => `i-${index + 10}`);

function createContent(name: string) {
  return {
    ...{ service: 'g', addr: `10.0.0.1:80${name.slice(2)}`, zone: 'z', version: 'v1', slots: 2 },
    ...{ state: 'ready', cold_left_ms: 0, db_role: 'replica', born: 17, sequence: 1 },
  };
}

/** An odd entry and the entry of an instance behind which the store lists it. */
interface PlacedEntry {
  readonly shape: OddEntryShape;
  readonly behind: string;
}

const placedEntries: fc.Arbitrary<readonly PlacedEntry[]> = fc.array(
  fc.record(
    { shape: oddInstanceArbitrary, behind: fc.constantFrom(...NAMES, 'a', 'z') },
    { noNullPrototype: true },
  ),
  { minLength: 1, maxLength: MAX_ODD },
);

/** A store with its service, and the adapter that reads it. */
class OddStore {
  readonly store = new EmulatedStore();

  readonly metrics = new Metrics();

  private readonly service = createStoreService(
    this.store,
    { unansweredWriteShare: 0, random: () => 0 },
    { pageSize: PAGE_SIZE },
  );

  private readonly oddEntries: OddEntryReporter;

  private client: HttpClient | undefined;

  constructor() {
    const { metrics } = this;
    this.oddEntries = new OddEntryReporter({ clock: new SystemClock(), log: silentLog, metrics });
  }

  /** Starts the service and connects to it. */
  async open(): Promise<ObjectStore> {
    await this.service.start();
    this.client = new HttpClient({ host: '127.0.0.1', port: this.service.port });
    return new HttpObjectStore(this.client, this.metrics, this.oddEntries);
  }

  async close(): Promise<void> {
    this.client?.close();
    await this.service.stop();
  }

  writeValid(name: string): void {
    this.store.put(KIND, name, createContent(name));
  }

  writeOdd({ shape, behind }: PlacedEntry, index: number): void {
    const name = `${behind}-${index}`;
    this.store.put(KIND, name, encodeOddEntry(shape, name, createContent('i-99')));
  }

  createFleet(store: ObjectStore): Fleet {
    const { oddEntries } = this;
    return new Fleet({
      ...{ vm: 'vm-1', zone: 'z', store, clock: new SystemClock(), startedAt: 1, oddEntries },
      ...{ log: silentLog, random: () => 0, isFirstStart: false, onChange: () => undefined },
    });
  }

  /** The instances that `objects` name. */
  list(objects: readonly StoredObject[]): readonly RegisteredInstance[] {
    return objects.flatMap((object) => decodeInstance(object, this.oddEntries) ?? []);
  }
}

async function runWithStore(run: (odd: OddStore, reader: ObjectStore) => Promise<void>) {
  const odd = new OddStore();
  try {
    await run(odd, await odd.open());
  } finally {
    await odd.close();
  }
}

describe('odd entries of another writer', () => {
  let expected: readonly RegisteredInstance[] = [];

  before(() => {
    const odd = new OddStore();
    expected = odd.list(NAMES.map((name) => ({ name, revision: 1, spec: createContent(name) })));
    expect(expected.map(({ id }) => id)).toEqual(NAMES);
  });

  // One such entry failed every list, or stood among the instances.
  it('leave the list of the others as it is, at any place of a page', async () => {
    const property = fc.asyncProperty(placedEntries, async (entries) =>
      runWithStore(async (odd, reader) => {
        NAMES.forEach((name) => odd.writeValid(name));
        entries.forEach((entry, index) => odd.writeOdd(entry, index));
        const { objects } = await reader.list(KIND);
        expect(odd.list(objects)).toEqual([...expected]);
      }),
    );
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
  }).timeout(TIMEOUT_MS);

  // One such event failed the watch, at every new attempt as well.
  it('leave what a watch tells of the others as it is', async () => {
    const property = fc.asyncProperty(placedEntries, async (entries) =>
      runWithStore(async (odd, reader) => {
        const from = await reader.list(KIND);
        entries.slice(1).forEach((entry, index) => odd.writeOdd(entry, index));
        NAMES.forEach((name) => odd.writeValid(name));
        entries.slice(0, 1).forEach((entry) => odd.writeOdd(entry, MAX_ODD));
        const { changes, revision } = await reader.watch(KIND, from, WATCH_MS);
        const kept = changes.filter(({ isDeleted }) => !isDeleted);
        expect(odd.list(kept.map(({ object }) => object))).toEqual([...expected]);
        expect(revision).toEqual(odd.store.revision);
      }),
    );
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
  }).timeout(TIMEOUT_MS);

  // Guards against an instance that stays in use, or stays away, after an odd entry under its name.
  it('hide a known instance until it writes its entry again', async () => {
    const property = fc.asyncProperty(oddInstanceArbitrary, async (shape) =>
      runWithStore(async (odd, reader) => {
        const [name = ''] = NAMES;
        odd.writeValid(name);
        odd.store.put(KIND, name, encodeOddEntry(shape, name, createContent(name)));
        expect(odd.list((await reader.list(KIND)).objects)).toEqual([]);
        odd.writeValid(name);
        expect(odd.list((await reader.list(KIND)).objects)).toEqual([...expected.slice(0, 1)]);
      }),
    );
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
  }).timeout(TIMEOUT_MS);

  // Guards against a line and a count at each reading, and against labels without a bound.
  it('are counted once, however often they are read', async () => {
    const property = fc.asyncProperty(placedEntries, async (entries) =>
      runWithStore(async (odd, reader) => {
        entries.forEach((entry, index) => odd.writeOdd(entry, index));
        for (let round = 0; round < 3; round += 1) odd.list((await reader.list(KIND)).objects);
        const { values } = await odd.metrics.oddEntries.get();
        const total = values.reduce((sum, { value }) => sum + value, 0);
        expect(total >= 1 && total <= entries.length).toEqual(true);
        values.forEach(({ labels }) =>
          expect(/^[a-z_]+$/.test(String(labels.reason))).toEqual(true),
        );
      }),
    );
    await fc.assert(property, { seed: SEED, numRuns: RUNS / 2 });
  }).timeout(TIMEOUT_MS);

  // An odd heartbeat counted as a VM, which changed the division of connections and of work, or
  // ended the process that opened a link to it.
  it('leave the live VMs as they are', async () => {
    const heartbeat = { beat: 1, startedAt: 1, zone: 'z', host: '10.0.0.2', port: 7_300 };
    const shapes = fc.array(oddHeartbeatArbitrary, { minLength: 1, maxLength: MAX_ODD });
    const property = fc.asyncProperty(shapes, async (odds) =>
      runWithStore(async (odd, reader) => {
        odd.store.put(VMS_KIND, 'vm-2', heartbeat);
        odds.forEach((shape, index) => {
          const name = `vm-${index + 1}-odd`;
          odd.store.put(VMS_KIND, name, encodeOddEntry(shape, name, heartbeat));
        });
        const fleet = odd.createFleet(reader);
        fleet.start();
        while (!fleet.hasSettled()) await wait(1);
        fleet.stop();
        expect(fleet.listLiveVms().map(({ id }) => id)).toEqual(['vm-1', 'vm-2']);
      }),
    );
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
  }).timeout(TIMEOUT_MS);
});
