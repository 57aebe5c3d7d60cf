import { expect } from 'earl';
import * as fc from 'fast-check';
import { FIRST_SETTINGS, type Step, steps } from './changes.js';
import { ChangeTrial } from './changetrial.js';

/** Limit of real time; long runs by hand need it. */
const TIMEOUT_MS = 3_600_000;
const SEED = 20_261_206;
/** By hand, REPLY_RUNS and REPLY_SEED give others. */
const RUNS = 8;
/** A VM stops while its callers, which never pause for long, have work at a failing instance. */
const STOPPED_VM: readonly Step[] = [
  { afterMs: 313, change: { kind: 'instance', id: 'g-1', mode: 'fail' } },
  { afterMs: 395, change: { kind: 'drain', vm: 'vm-2' } },
];
const STOPPED_VM_DRAWS = 17;
/** The databases of two groups are exchanged, and back, while a replica receives nothing. */
const MOVED_DATABASES: readonly Step[] = [
  { afterMs: 3_000, change: { kind: 'hearing', id: 'g-1', isDeaf: true } },
  {
    afterMs: 400,
    change: { kind: 'configure', settings: { ...FIRST_SETTINGS, isExchanged: true } },
  },
  { afterMs: 400, change: { kind: 'configure', settings: FIRST_SETTINGS } },
];
const MOVED_DATABASES_DRAWS = [1, 2, 3, 4];

describe('a request beside changes of the configuration, the homes and the lenders', () => {
  // A request that had been read whole got neither an answer nor a refusal.
  it('gets a reply in time, and none that promises too much', async function findReplies() {
    this.timeout(TIMEOUT_MS);
    const seed = Number(process.env.REPLY_SEED ?? SEED);
    const numRuns = Number(process.env.REPLY_RUNS ?? RUNS);
    let replies = 0;
    let successes = 0;
    const property = fc.asyncProperty(fc.nat(), steps, async (draws, series) => {
      const trial = new ChangeTrial(draws);
      const violations = await trial.run(series);
      replies += trial.replies;
      successes += trial.successes;
      expect(violations).toEqual([]);
    });
    const examples: [number, readonly Step[]][] = [
      [STOPPED_VM_DRAWS, STOPPED_VM],
      ...MOVED_DATABASES_DRAWS.map((draws): [number, readonly Step[]] => [draws, MOVED_DATABASES]),
    ];
    await fc.assert(property, { seed, numRuns, examples, endOnFailure: true });
    // Most trials are of no use where nearly everything is refused.
    expect(successes * 4 > replies).toEqual(true);
  });
});
