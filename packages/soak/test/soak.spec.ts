import { dirname } from 'node:path';
import { expect } from 'earl';
import { createFaultSchedule, runSoak, type SoakReport } from '../src/index.js';
import { buildProgram, type Mutant } from './buildprogram.js';

type Faults = ReturnType<typeof createFaultSchedule>;

const RUN_TIMEOUT_MS = 120_000;
/** Apply lag that makes stale reads at replicas likely, for the mutants. */
const LONG_LAG_MS = 400;
/** A reset rarely coincides with a write in flight, so it is repeated. */
const RESET_TIMES_MS = Array.from({ length: 40 }, (_, index) => 300 + index * 90);
/** Two VMs a zone and too few connections for all, so that one VM of each zone is a home. */
const LINKED_SIZE = { vms: 6, connections: 12 };
const SIZE = { vms: 3, groups: 1, callers: 12, series: 4, windowMs: 4_000 };

async function run(
  seed: number,
  mutant?: Mutant,
  faults?: Faults,
  size: Partial<typeof LINKED_SIZE> = {},
): Promise<SoakReport> {
  const program = await buildProgram(mutant);
  const lag = mutant ? { applyLagMs: LONG_LAG_MS } : {};
  const directory = dirname(program);
  return runSoak({ ...SIZE, ...size, ...lag, seed, program, directory, ...(faults && { faults }) });
}

const createFaults = (kind: Faults[number]['kind'], ...times: readonly number[]): Faults =>
  times.map((at) => ({ kind, at, durationMs: 1_500, targetSeed: 0 }));

/** Faults in the program that the checker must detect, with the faults that provoke them. */
const MUTANTS: Readonly<Record<string, { mutant: Mutant; faults: Faults; invariant: string }>> = {
  'leaks session values to the next session on a connection': {
    mutant: {
      file: 'engine/src/setup.ts',
      from: "operations.push({ kind: 'set', name, value });",
      to: '',
    },
    faults: [],
    invariant: 'statements run with the values of their session',
  },
  'reports a write without a response as not committed': {
    mutant: {
      file: 'engine/src/single.ts',
      from: "verdict: 'unknownOutcome', reason",
      to: "verdict: 'aborted', reason",
    },
    faults: createFaults('resetLeader', ...RESET_TIMES_MS),
    invariant: 'a refused write is not committed',
  },
  'reads at replicas without a minimum position': {
    mutant: {
      file: 'platform/src/codec.ts',
      from: 'const prefix = after ?',
      to: 'const prefix = false ?',
    },
    faults: [],
    invariant: 'reads meet the staleness bound of their route',
  },
};

/** Faults in the forwarding between VMs, with the faults that provoke them. */
const LINK_MUTANTS: typeof MUTANTS = {
  'runs a passed-on write twice': {
    mutant: {
      file: 'forwarding/src/home.ts',
      from: 'const reply = await runObserved(connection, command);',
      to: 'await runObserved(connection, command); const reply = await runObserved(connection, command);',
    },
    faults: [],
    invariant: 'a write is committed at most once',
  },
  'reports a passed-on write without a response as not run': {
    mutant: {
      file: 'forwarding/src/home.ts',
      from: "this.send({ type: 'broken', lease: message.lease, reason: String(error) });",
      to: "this.sendReply(message.lease, { rows: [], digest: undefined, failure: { verdict: 'tooManyConnections', reason: '' }, state: 'idle', position: undefined });",
    },
    faults: createFaults('resetLeader', ...RESET_TIMES_MS),
    invariant: 'a refused write is not committed',
  },
};

describe('fault soak', () => {
  it('holds all invariants without faults', async () => {
    const { violations, counts } = await run(1, undefined, []);
    expect(violations).toEqual([]);
    expect(counts.commits > 0 && counts.answered > 0).toEqual(true);
  }).timeout(RUN_TIMEOUT_MS);

  it('holds all invariants under a seeded series of faults', async () => {
    expect((await run(2)).violations).toEqual([]);
  }).timeout(RUN_TIMEOUT_MS);

  it('holds all invariants where VMs are killed and paused with passed-on work', async () => {
    const faults = [
      ...createFaults('killVm', 400, 1_900, 3_000),
      ...createFaults('pauseVm', 900, 2_400),
    ].map((fault, index) => ({ ...fault, targetSeed: index }));
    expect((await run(4, undefined, faults, LINKED_SIZE)).violations).toEqual([]);
  }).timeout(RUN_TIMEOUT_MS);

  Object.entries(LINK_MUTANTS).forEach(([name, { mutant, faults, invariant }]) => {
    it(`detects a program that ${name}`, async () => {
      const { violations } = await run(5, mutant, faults, LINKED_SIZE);
      expect(violations.map((violation) => violation.invariant)).toInclude(invariant);
    }).timeout(RUN_TIMEOUT_MS);
  });

  // Guards against a checker that detects nothing.
  Object.entries(MUTANTS).forEach(([name, { mutant, faults, invariant }]) => {
    it(`detects a program that ${name}`, async () => {
      const { violations } = await run(3, mutant, faults);
      expect(violations.map((violation) => violation.invariant)).toInclude(invariant);
    }).timeout(RUN_TIMEOUT_MS);
  });
});
