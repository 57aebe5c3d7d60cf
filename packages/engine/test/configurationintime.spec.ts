import type { Millis } from '@shallotpick/core';
import { expect } from 'earl';
import * as fc from 'fast-check';
import type { ServiceConfiguration } from '../src/index.js';
import { createRandom } from './changetrial.js';
import { type Bounds, ConfigurationModel, type StoreMode } from './configurationmodel.js';
import { VirtualTime } from './virtualtime.js';

const SEED = 20_261_207;
const RUNS = 60;
const MUTANT_RUNS = 300;
const START_MS: Millis = 1_000;
const LOOK_MS: Millis = 50;
/** Time for which the trial goes on after the last step. */
const END_MS: Millis = 12_000;

/** Pings between VMs, a call that the store refuses, and a retry. */
const PASS_ON_MS: Millis = 1_500;
const REFUSED_MS: Millis = 20_000;
const VERSION_GAP_MS: Millis = 1_300;

const KEYLESS: Bounds = { applyMs: 3_000, stableMs: 4_000, revocationMs: undefined };
const KEYED: Bounds = { applyMs: 5_000, stableMs: 5_000, revocationMs: 5_000 };

/** Time since the step before, and what happens then. */
interface Step {
  readonly afterMs: Millis;
  readonly change: 'version' | 'compact' | { readonly vm: number | undefined; mode: StoreMode };
  /** How long a mode of the store lasts. */
  readonly forMs: Millis;
}

const steps: fc.Arbitrary<readonly Step[]> = fc.array(
  fc.record({
    afterMs: fc.integer({ min: 1, max: 2_500 }),
    change: fc.oneof(
      fc.constant('version' as const),
      fc.constant('compact' as const),
      fc.record({
        vm: fc.constantFrom(undefined, 0, 1),
        mode: fc.constantFrom<StoreMode>('silent', 'silent', 'refuse', 'slow', 'late', 'late'),
      }),
    ),
    forMs: fc.integer({ min: 50, max: 7_000 }),
  }),
  { minLength: 3, maxLength: 14 },
);

/** Runs the steps; returns what a VM in touch, or a lease on keys, had that was too old. */
class ConfigurationTrial {
  private readonly found: string[] = [];

  private disturbedUntil: Millis = 0;

  private readonly inForce = new Map<number, number>();

  private version = 1;

  constructor(
    private readonly time: VirtualTime,
    private readonly model: ConfigurationModel,
  ) {}

  async run(series: readonly Step[]): Promise<readonly string[]> {
    await this.advance(START_MS);
    for (const { afterMs, change, forMs } of series) {
      await this.advance(afterMs);
      this.apply(change, forMs);
    }
    await this.advance(END_MS);
    this.model.stop();
    return this.found;
  }

  private apply(change: Step['change'], forMs: Millis): void {
    const { model, time } = this;
    if (change === 'version') {
      this.version += 1;
      model.put(this.version);
    } else if (change === 'compact') {
      model.compact();
    } else {
      model.setMode(change.vm, change.mode);
      this.disturbedUntil = Math.max(this.disturbedUntil, time.now + forMs);
      setTimeout(() => {
        if (time.now >= this.disturbedUntil) model.setMode(undefined, 'answer');
      }, forMs);
    }
  }

  private async advance(durationMs: Millis): Promise<void> {
    for (let left = durationMs; left > 0; left -= LOOK_MS) {
      await this.time.advance(Math.min(left, LOOK_MS));
      this.check();
    }
  }

  private check(): void {
    const { applyMs, stableMs, revocationMs } = this.model.bounds;
    const isInTouch = this.time.now >= this.disturbedUntil + stableMs;
    const required = this.model.findConfirmed(applyMs);
    const revoked = revocationMs === undefined ? 1 : this.model.findConfirmed(revocationMs);
    this.model.vms.forEach(({ configuration, source: { verifier } }, vm) => {
      const version = configuration.read()?.version ?? 0;
      const at = `vm ${vm} at ${Math.round(this.time.now)} ms has ${version}`;
      if (isInTouch && version < required) this.found.push(`${at} instead of ${required}`);
      if (revocationMs !== undefined && verifier.areKeysInForce() && version < revoked) {
        this.found.push(`${at} and serves keys, instead of ${revoked}`);
      }
      if (version < required && version > 0 && verifier.mayRefuse()) {
        this.found.push(`${at} and refuses callers, instead of ${required}`);
      }
      if (version < (this.inForce.get(vm) ?? 0)) this.found.push(`${at}, older than before`);
      this.inForce.set(vm, version);
    });
  }
}

async function findOld(
  bounds: Bounds,
  hasLinks: boolean,
  draws: number,
  series: readonly Step[],
  mutate: (model: ConfigurationModel) => void = () => undefined,
): Promise<readonly string[]> {
  const time = new VirtualTime(createRandom(draws));
  try {
    const model = new ConfigurationModel(bounds, 2, hasLinks);
    mutate(model);
    return await new ConfigurationTrial(time, model).run(series);
  } finally {
    time.restore();
  }
}

async function checkInTime(bounds: Bounds, hasLinks: boolean): Promise<void> {
  const property = fc.asyncProperty(fc.nat(1_000), steps, async (draws, series) => {
    expect(await findOld(bounds, hasLinks, draws, series)).toEqual([]);
  });
  await fc.assert(property, {
    seed: Number(process.env.REPLY_SEED ?? SEED),
    numRuns: Number(process.env.REPLY_RUNS ?? RUNS),
    endOnFailure: true,
  });
}

/** Series in which an answer from before a version arrives after it, and no further one does. */
function listLateSeries(): readonly (readonly Step[])[] {
  return Array.from({ length: 125 }, (_, index): readonly Step[] => [
    { afterMs: 100, change: { vm: undefined, mode: 'late' }, forMs: 12_000 },
    { afterMs: 500 + 20 * index, change: 'version', forMs: 0 },
    { afterMs: 640, change: { vm: undefined, mode: 'silent' }, forMs: 9_000 },
  ]);
}

/** Runs the late series on a site with keys, whose VMs have no links. */
async function findOldOfLate(
  mutate?: (model: ConfigurationModel) => void,
): Promise<readonly string[]> {
  const found: string[] = [];
  for (const series of listLateSeries()) {
    found.push(...(await findOld(KEYED, false, 1, series, mutate)));
  }
  return found;
}

/** Returns true when some series of steps shows that the mutated VMs are wrong. */
async function isDetected(mutate: (model: ConfigurationModel) => void): Promise<boolean> {
  const property = fc.asyncProperty(fc.nat(1_000), steps, async (draws, series) => {
    expect(await findOld(KEYED, true, draws, series, mutate)).toEqual([]);
  });
  const { failed } = await fc.check(property, {
    ...{ seed: SEED, numRuns: MUTANT_RUNS, endOnFailure: true },
  });
  return failed;
}

// A VM whose call was lost at the wrong moment decided by a version that was too old.
describe('the configuration in force, beside a store that is silent, slow or refuses', () => {
  it('is in time on a site without keys and links', async function check() {
    this.timeout(120_000);
    await checkInTime(KEYLESS, false);
  });

  it('is in time after a short loss of answers at any moment', async function sweep() {
    this.timeout(120_000);
    const found: string[] = [];
    for (let afterMs = 100; afterMs <= 6_000; afterMs += 100) {
      const loss = { change: { vm: undefined, mode: 'silent' as const }, afterMs, forMs: 300 };
      const version = { change: 'version' as const, afterMs: 600, forMs: 0 };
      for (const bounds of [KEYLESS, KEYED]) {
        found.push(...(await findOld(bounds, false, 1, [loss, version])));
      }
    }
    expect(found).toEqual([]);
  });

  it('is in time when answers arrive late and then none does', async function sweep() {
    this.timeout(120_000);
    expect(await findOldOfLate()).toEqual([]);
  });

  // It asked only the store, which refused it, for a version that the other VMs had.
  it('is passed on to a VM that the store turns away', async () => {
    for (const mode of ['refuse', 'silent'] as const) {
      const time = new VirtualTime(createRandom(1));
      const model = new ConfigurationModel(KEYED, 2, true);
      const lapses: string[] = [];
      await time.advance(START_MS);
      model.setMode(0, mode);
      for (let passedMs = 0; passedMs < REFUSED_MS; passedMs += LOOK_MS) {
        if (passedMs % VERSION_GAP_MS === 0) model.put(2 + passedMs / VERSION_GAP_MS);
        await time.advance(LOOK_MS);
        const [{ configuration, source }] = model.vms as [(typeof model.vms)[number]];
        const version = configuration.read()?.version ?? 0;
        const isOld = version < model.findConfirmed(mode === 'refuse' ? PASS_ON_MS : 3_500);
        if (isOld || !source.verifier.areKeysInForce()) {
          lapses.push(`${mode}: ${version} after ${passedMs} ms`);
        }
      }
      model.stop();
      time.restore();
      expect(lapses).toEqual([]);
    }
  });

  it('is in time on a site with keys, whose VMs have links', async function check() {
    this.timeout(120_000);
    await checkInTime(KEYED, true);
  });

  it('is in time on a site with keys, while links are cut', async function check() {
    this.timeout(120_000);
    await checkInTime(KEYED, false);
  });
});

// Guards against a trial that can't see what it checks.
describe('the trial of the configuration in force', () => {
  it('detects a lease that begins when its answer arrives', async function detect() {
    this.timeout(120_000);
    const renewLate = ({ vms }: ConfigurationModel): void =>
      vms.forEach(({ source: { verifier } }) => {
        const original = verifier.handleAnswer.bind(verifier);
        const handleAnswer = (version: number | undefined): boolean =>
          original(version, performance.now());
        Object.assign(verifier, { handleAnswer });
      });
    expect((await findOldOfLate(renewLate)).length > 0).toEqual(true);
  });

  it('detects an older version that is taken', async function detect() {
    this.timeout(120_000);
    const takeAny = ({ vms }: ConfigurationModel): void =>
      vms.forEach(({ configuration }) => {
        const update = configuration.update.bind(configuration);
        const takeOver = (next: ServiceConfiguration): boolean => {
          const isNew = update(next);
          Object.assign(configuration, { current: next });
          return isNew;
        };
        Object.assign(configuration, { update: takeOver });
      });
    expect(await isDetected(takeAny)).toEqual(true);
  });

  it('detects a refusal without a proof', async function detect() {
    this.timeout(120_000);
    const refuseAlways = ({ vms }: ConfigurationModel): void =>
      vms.forEach(({ source: { verifier } }) => Object.assign(verifier, { mayRefuse: () => true }));
    expect(await isDetected(refuseAlways)).toEqual(true);
  });
});
