import type { Millis } from '@shallotpick/core';
import { expect } from 'earl';
import * as fc from 'fast-check';
import { createConfiguration, createRegistration, FIRST_SETTINGS, VMS } from './changes.js';
import { createRandom } from './changetrial.js';
import { FakeInstance } from './fake.js';
import type { CallMode } from './slowstore.js';
import { VirtualFleet } from './virtualfleet.js';
import { VirtualTime } from './virtualtime.js';

const SEED = 20_261_206;
const RUNS = 6;
const START_MS: Millis = 2_000;
const LOOK_MS: Millis = 50;
const INSTANCES = ['g-0', 'g-1', 'h-0', 'h-1'];

/** Time until the next version, and how the store and the links answer from then on. */
interface Version {
  readonly afterMs: Millis;
  readonly store: CallMode;
  readonly links: CallMode;
}

const version: fc.Arbitrary<Version> = fc.record({
  afterMs: fc.integer({ min: 1, max: 900 }),
  store: fc.constantFrom<CallMode>('answer', 'delay'),
  links: fc.constantFrom<CallMode>('answer', 'fail'),
});

/** Puts versions in force one after the other; counts looks at which a VM can't prove the keys. */
async function countLapses(draws: number, versions: readonly Version[]): Promise<number> {
  const time = new VirtualTime(createRandom(draws));
  try {
    const instances = new Map(INSTANCES.map((id) => [id, new FakeInstance(id)]));
    const fleet = new VirtualFleet(instances);
    INSTANCES.forEach((id) => fleet.store.put('instances', id, createRegistration(id, 1, false)));
    const put = (number: number): void => {
      fleet.store.put('configurations', 'main', createConfiguration(number, FIRST_SETTINGS));
    };
    put(1);
    const vms = VMS.map((vm) => fleet.create(vm, 'z'));
    await Promise.all([...vms.map(async (vm) => vm.start()), time.advance(START_MS)]);
    const [route] = createConfiguration(1, FIRST_SETTINGS).routes.values();
    if (!route) throw new RangeError('no route');
    let lapses = 0;
    for (const [index, { afterMs, store, links }] of versions.entries()) {
      for (let left = afterMs; left > 0; left -= LOOK_MS) {
        await time.advance(Math.min(left, LOOK_MS));
        const authorizations = vms.map(({ proxy }) => proxy.identify('north').authorize(route));
        lapses += authorizations.filter(({ kind }) => kind === 'refused').length;
      }
      fleet.store.mode = store;
      fleet.linkMode = links;
      put(index + 2);
    }
    vms.forEach((vm) => {
      vm.proxy.stop();
      vm.stopWatchers();
    });
    return lapses;
  } finally {
    time.restore();
  }
}

describe('the proof of the keys in force', () => {
  // A VM whose proof lapses refuses keyed work, and closes idle callers as on an isolated VM.
  it('does not lapse beside a series of versions, also of a slow store', async function keepProof() {
    this.timeout(60_000);
    const versions = fc.array(version, { minLength: 20, maxLength: 30 });
    const property = fc.asyncProperty(fc.nat(), versions, async (draws, series) => {
      expect(await countLapses(draws, series)).toEqual(0);
    });
    await fc.assert(property, {
      seed: Number(process.env.REPLY_SEED ?? SEED),
      numRuns: Number(process.env.REPLY_RUNS ?? RUNS),
      endOnFailure: true,
    });
  });
});
