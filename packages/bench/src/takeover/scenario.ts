import * as fc from 'fast-check';

/** Every fault starts within this time. */
export const FAULT_WINDOW_MS = 8_000;
const MAX_FAULT_MS = 6_000;
/** By this time every fault has ended and every delayed order has been carried out. */
export const FAULTS_END_MS = FAULT_WINDOW_MS + MAX_FAULT_MS + 13_000;

const FAULT_KINDS = [
  'crashLeader',
  'crashLeader',
  'cutLeaderFromVms',
  'cutLeaderFromVms',
  'cutLeaderFromReplicas',
  'markLeaderLeaving',
  'replaceLeader',
  'replaceLeader',
  'deafReplica',
  'crashReplica',
  'pauseVm',
  'pauseVm',
  'killVm',
  'cutVmFromStore',
  'storeDown',
  'loseStoreAnswers',
  'loseOrders',
  'losePromotions',
] as const;

/** Name of a fault. */
export type TakeoverFaultKind = (typeof FAULT_KINDS)[number];

/** One fault of a run; `pick` chooses what it affects. */
export interface TakeoverFault {
  readonly kind: TakeoverFaultKind;
  readonly at: number;
  readonly duration: number;
  readonly pick: number;
}

/** All inputs of a run; the same scenario gives the same run. */
export interface TakeoverScenario {
  readonly seed: number;
  readonly faults: readonly TakeoverFault[];
}

const fault: fc.Arbitrary<TakeoverFault> = fc.record({
  kind: fc.constantFrom(...FAULT_KINDS),
  at: fc.integer({ min: 1_000, max: FAULT_WINDOW_MS }),
  duration: fc.integer({ min: 200, max: MAX_FAULT_MS }),
  pick: fc.nat({ max: 5 }),
});

/** Generates random scenarios. */
export const takeoverArbitrary: fc.Arbitrary<TakeoverScenario> = fc.record({
  seed: fc.integer(),
  faults: fc.array(fault, { minLength: 1, maxLength: 6, size: 'max' }),
});
