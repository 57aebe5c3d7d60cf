import { dirname } from 'node:path';
import { expect } from 'earl';
import { createFaultSchedule, runSoak, type SoakReport } from '../src/index.js';
import { buildProgram, type Mutant } from './buildprogram.js';

type Faults = ReturnType<typeof createFaultSchedule>;

const RUN_TIMEOUT_MS = 120_000;
/** Replicas that lag show reads at a former leader. */
const LONG_LAG_MS = 400;
/** A reset meets a write on its way only at times, so many are made. */
const RESET_TIMES_MS = Array.from({ length: 40 }, (_, index) => 300 + index * 90);
const SIZE = { vms: 3, groups: 1, callers: 12, series: 4, windowMs: 4_000 };

async function run(seed: number, mutant?: Mutant, faults?: Faults): Promise<SoakReport> {
  const program = await buildProgram(mutant);
  const lag = mutant ? { applyMs: LONG_LAG_MS } : {};
  const directory = dirname(program);
  return runSoak({ ...SIZE, ...lag, seed, program, directory, ...(faults && { faults }) });
}

const createFaults = (kind: Faults[number]['kind'], ...times: readonly number[]): Faults =>
  times.map((at) => ({ kind, at, durationMs: 1_500, targetSeed: 0 }));

/** Faults of the program that the checks must notice, and what brings them about. */
const MUTANTS: Readonly<Record<string, { mutant: Mutant; faults: Faults; promise: string }>> = {
  'leaves the values of another session on a connection': {
    mutant: {
      file: 'engine/src/setup.ts',
      from: "operations.push({ kind: 'set', name, value });",
      to: '',
    },
    faults: [],
    promise: 'statements run with the values of their session',
  },
  'promises that a write without an answer is not kept': {
    mutant: {
      file: 'engine/src/single.ts',
      from: "verdict: 'unknownOutcome', reason",
      to: "verdict: 'aborted', reason",
    },
    faults: createFaults('resetLeader', ...RESET_TIMES_MS),
    promise: 'what is refused is not kept',
  },
  'reads at replicas without the position that they must hold': {
    mutant: {
      file: 'platform/src/codec.ts',
      from: 'const prefix = after ?',
      to: 'const prefix = false ?',
    },
    faults: [],
    promise: 'reads are as fresh as their route says',
  },
};

describe('fault soak', () => {
  it('keeps every promise without faults', async () => {
    const { violations: problems, counts } = await run(1, undefined, []);
    expect(problems).toEqual([]);
    expect(counts.commits > 0 && counts.answered > 0).toEqual(true);
  }).timeout(RUN_TIMEOUT_MS);

  it('keeps every promise under a seeded series of faults', async () => {
    expect((await run(2)).violations).toEqual([]);
  }).timeout(RUN_TIMEOUT_MS);

  // Guards against checks that notice nothing.
  Object.entries(MUTANTS).forEach(([name, { mutant, faults, promise }]) => {
    it(`notices a program that ${name}`, async () => {
      const { violations: problems } = await run(3, mutant, faults);
      expect(problems.map((problem) => problem.invariant)).toInclude(promise);
    }).timeout(RUN_TIMEOUT_MS);
  });
});
