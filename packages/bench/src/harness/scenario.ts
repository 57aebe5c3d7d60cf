import * as fc from 'fast-check';
import type { MessageFaults } from './network.js';

/** Faults start within this time and end soon after it. */
export const FAULT_WINDOW_MS = 3_500;
const MAX_FAULT_MS = 1_500;
/** All faults have ended by then. */
export const FAULTS_END_MS = FAULT_WINDOW_MS + MAX_FAULT_MS;

// Losses of the primary come twice as often as the others: each guarantee is at risk there.
const FAULT_KINDS = [
  'crashPrimary',
  'crashPrimary',
  'pausePrimary',
  'pausePrimary',
  'isolatePrimary',
  'isolatePrimary',
  'cutPrimaryFromDaemons',
  'cutPrimaryFromDaemons',
  'isolatePrimaryThenCrash',
  'isolatePrimaryThenCrash',
  'crashInstance',
  'pauseInstance',
  'cutInstances',
  'lagInstance',
  'pauseDaemon',
  'killDaemon',
  'cutZones',
  'cutZoneFromPlatform',
  'platformDown',
  'loseAnswers',
] as const;

/** One fault of a run; `a` and `b` choose what it affects. */
export interface Fault {
  readonly kind: (typeof FAULT_KINDS)[number];
  readonly at: number;
  readonly duration: number;
  readonly a: number;
  readonly b: number;
}

/** Everything that determines a run. */
export interface Scenario {
  readonly seed: number;
  readonly zones: number;
  readonly chaos: MessageFaults;
  readonly faults: readonly Fault[];
}

const rate = fc.constantFrom(0, 0, 0.02, 0.08);

const fault: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom(...FAULT_KINDS),
  at: fc.integer({ min: 50, max: FAULT_WINDOW_MS }),
  duration: fc.integer({ min: 20, max: MAX_FAULT_MS }),
  a: fc.nat({ max: 3 }),
  b: fc.nat({ max: 3 }),
});

/** Random scenarios of three or four zones. */
export const scenarioArbitrary: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.integer(),
  zones: fc.constantFrom(3, 4),
  chaos: fc.record({
    lost: rate,
    doubled: rate,
    late: rate,
    slowness: fc.constantFrom(1, 1, 5, 15),
  }),
  faults: fc.array(fault, { minLength: 1, maxLength: 10, size: 'max' }),
});
