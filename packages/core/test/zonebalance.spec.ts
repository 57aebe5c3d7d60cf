import { expect } from 'earl';
import {
  LeastRecent,
  type Millis,
  ZoneBalance,
  ZoneBudget,
  type ZoneCandidate,
} from '../src/index.js';

const STEP_MS = 200;
const STEPS = 200;
const SETTLED_STEPS = 100;
const READS_PER_STEP = 20;
const COST_MS = 10;
const PATH_MS = 7;
const OBJECTIVE_MS = 250;
const BUDGET = 1_000_000;
const VMS = 10;
/** Load at which the expected work stops growing in these specs. */
const MAX_LOAD = 0.98;

/** A moment of one zone: its reads relative to what its instance serves. */
interface Course {
  readonly near: (step: number) => number;
  readonly far: (step: number) => number;
  readonly pathMs?: Millis;
  readonly delaySteps?: number;
  readonly bytesPerSecond?: number;
  /** From this step on the other zone has no candidate. */
  readonly cutAt?: number;
}

const computeWork = (load: number): Millis => COST_MS / (1 - Math.min(MAX_LOAD, load));

/** Lets some VMs of a zone decide in steps; returns the share that left in each step. */
const decide = (course: Course): readonly number[] => {
  const { near, far, pathMs = PATH_MS, delaySteps = 1, cutAt = STEPS } = course;
  const createBudget = () => new ZoneBudget(course.bytesPerSecond ?? BUDGET);
  const vms = Array.from({ length: VMS }, () => new ZoneBalance('near', createBudget()));
  const shares: number[] = [];
  for (let step = 0; step < STEPS; step++) {
    const now = step * STEP_MS;
    const known = shares[Math.max(0, step - delaySteps)] ?? 0;
    const stayMs = computeWork(near(step) * (1 - known));
    const leaveMs = computeWork(far(step) + near(step) * known);
    const home: ZoneCandidate = {
      id: 'a',
      zone: 'near',
      workMs: stayMs,
      pathMs: 0,
      measuredAt: now,
    };
    const other = { id: 'b', zone: 'far', workMs: leaveMs, pathMs, measuredAt: now };
    const candidates = step < cutAt ? [home, other] : [home];
    let left = 0;
    vms.forEach((vm) => {
      vm.handleMeasurement(candidates, OBJECTIVE_MS, COST_MS, now);
      for (let read = 0; read < READS_PER_STEP; read++) {
        const [chosen] = vm.rank(candidates, now);
        vm.handleStart(chosen!.zone, now);
        if (chosen === other) left += 1;
      }
    });
    shares.push(left / (VMS * READS_PER_STEP));
  }
  return shares;
};

const average = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;
const measureSpread = (values: readonly number[]): number =>
  Math.max(...values) - Math.min(...values);

describe('ZoneBalance', () => {
  // Reads that leave a zone with room cost bytes and time and gain nothing.
  it('keeps the reads of a calm zone', () => {
    expect(Math.max(...decide({ near: () => 0.4, far: () => 0.1 }))).toEqual(0);
  });

  // A read that left its zone while only the first of the zone's replicas was full.
  it('keeps the order of the other candidates while no read leaves', () => {
    const describeOne = (id: string, zone: string, workMs: Millis): ZoneCandidate => ({
      ...{ id, zone, workMs, pathMs: 0, measuredAt: 0 },
    });
    const candidates = [
      describeOne('a', 'near', COST_MS),
      describeOne('b', 'near', 2 * COST_MS),
      describeOne('c', 'far', COST_MS),
    ];
    const balance = new ZoneBalance('near', new ZoneBudget(BUDGET));
    expect(balance.rank(candidates, 0).map(({ id }) => id)).toEqual(['a', 'b', 'c']);
  });

  // A zone at twice its demand refused reads while the others were idle.
  it('sends away what a zone at twice its demand cannot serve', () => {
    const shares = decide({ near: () => 1.2, far: () => 0.2 }).slice(SETTLED_STEPS);
    expect(average(shares)).toBeGreaterThan(1 / 3);
    expect(average(shares)).toBeLessThan(1 / 2);
  });

  // Guards against all VMs turning to the idle instance at once, and back when it is full.
  it('does not oscillate when ten VMs decide on knowledge of a second ago', () => {
    const course = { near: () => 1.2, far: () => 0.2, delaySteps: 5 };
    const shares = decide(course).slice(SETTLED_STEPS);
    const steps = shares.map((share, index) => Math.abs(share - (shares[index - 1] ?? share)));
    expect(Math.max(...steps)).toBeLessThan(0.25);
    expect(measureSpread(shares)).toBeLessThan(0.35);
    expect(average(shares)).toBeGreaterThan(0.2);
  });

  // A share that stays after its peak sends reads into the peak of the other zone.
  it('follows peaks that the zones have in turn', () => {
    const isPeak = (step: number): boolean => step % 100 < 50;
    const near = (step: number): number => (isPeak(step) ? 1.3 : 0.2);
    const far = (step: number): number => (isPeak(step) ? 0.2 : 1.3);
    const shares = decide({ near, far });
    expect(average(shares.slice(120, 150))).toBeGreaterThan(0.25);
    expect(average(shares.slice(160, 200))).toBeLessThan(0.02);
  });

  // A path that takes longer than the wait makes every read later.
  it('stays when the link is slower than the wait', () => {
    const course = { near: () => 0.8, far: () => 0, pathMs: 200 };
    expect(Math.max(...decide(course))).toEqual(0);
  });

  it('stops sending at once when the other zone is cut off', () => {
    const shares = decide({ near: () => 1.2, far: () => 0.2, cutAt: 150 });
    expect([shares[149]! > 0.3, shares[150]]).toEqual([true, 0]);
  });

  // Bytes between zones cost money, whatever the callers gain.
  it('stays within its budget of bytes', () => {
    const bytesPerSecond = 5_000;
    const shares = decide({ near: () => 1.2, far: () => 0.2, bytesPerSecond }).slice(SETTLED_STEPS);
    const readsPerSecond = (1_000 / STEP_MS) * READS_PER_STEP;
    const bytes = average(shares) * readsPerSecond * new ZoneBudget(0).estimateReadBytes();
    expect(bytes).toBeLessThanOrEqual(bytesPerSecond);
    expect(bytes).toBeGreaterThan(0);
  });

  // A read that will be late at home is sent away for a smaller gain than others.
  it('leaves for an objective that staying would miss', () => {
    const balance = new ZoneBalance('near', new ZoneBudget(BUDGET));
    const candidates = [
      { id: 'a', zone: 'near', workMs: 100, pathMs: 0, measuredAt: 0 },
      { id: 'b', zone: 'far', workMs: 85, pathMs: 10, measuredAt: 0 },
    ];
    let now = 0;
    const isLeaving = (remainingMs: Millis): boolean => {
      now += STEP_MS;
      balance.handleMeasurement(candidates, remainingMs, COST_MS, now);
      return balance.readShare() > 0;
    };
    expect([isLeaving(200), isLeaving(50), isLeaving(98)]).toEqual([false, false, true]);
  });

  // An idle instance that was busy when it was last measured must not draw a whole zone.
  it('sends only trials to an instance that was not measured lately', () => {
    const balance = new ZoneBalance('near', new ZoneBudget(BUDGET));
    const candidates = [
      { id: 'a', zone: 'near', workMs: 200, pathMs: 0, measuredAt: 0 },
      { id: 'b', zone: 'far', workMs: 5, pathMs: PATH_MS, measuredAt: -10_000 },
    ];
    for (let step = 0; step < STEPS; step++) {
      balance.handleMeasurement(candidates, OBJECTIVE_MS, COST_MS, step * STEP_MS);
    }
    expect(balance.readShare()).toEqual(0.05);
  });
});

describe('LeastRecent', () => {
  // A path that has become longer was never noticed if the least value stayed for good.
  it('forgets measurements of earlier windows', () => {
    const least = new LeastRecent();
    const found = [0, 6_000, 12_000].map((now, index) => {
      least.add(index + 1, now);
      return least.find();
    });
    expect(found).toEqual([1, 1, 2]);
  });
});
