import * as fc from 'fast-check';
import { FAULT_WINDOW_MS, MAX_FAULT_MS, MAX_OUTAGE_FAULT_MS } from './runsettings.js';

const MIN_FAULT_AT_MS = 1_000;
/** About the time that a change of the leader takes. */
const MOMENT_MS = 800;
/** Sizes of the groups of runs with outages. */
const MIN_INSTANCES = 3;
const MAX_INSTANCES = 5;
/** Most VMs of the runs with late claims. */
const MAX_CLAIM_VMS = 3;
/** About the time in which a leader returns, and its holder learns of a late claim. */
const CLAIM_MOMENT_MS = 3_000;
/** Longest absence of the leader in these runs. */
const MAX_ABSENCE_MS = 4_000;

/** Kinds that stand twice are drawn twice as often. */
const FAULT_KINDS = [
  'crashLeader',
  'crashLeader',
  'cutLeaderFromVms',
  'cutLeaderFromVms',
  'cutLeaderFromReplicas',
  'markLeaderLeaving',
  'leaveBesideDeafReplica',
  'replaceLeader',
  'replaceLeader',
  'replaceReplica',
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

/** Faults of runs in which the store comes back from an older copy. */
const RESTORATION_KINDS = [
  'restoreStore',
  'restoreStore',
  'crashLeader',
  'crashLeader',
  'cutLeaderFromVms',
  'replaceLeader',
  'pauseVm',
  'killVm',
  'killVm',
  'cutVmFromStore',
  'loseStoreAnswers',
  'losePromotions',
] as const;

/** Faults of runs in which instances start again without their log or under another id. */
const RESTART_KINDS = [
  ...FAULT_KINDS,
  'restartReplicaEmpty',
  'restartReplicaEmpty',
  'restartReplicaEmpty',
  'restartLeaderEmpty',
  'restartLeaderEmpty',
  'restartUnderNewId',
  'restartUnderNewId',
  'deafReplica',
  'deafReplicas',
  'cutInstanceFromStore',
  'cutInstanceFromStore',
  'cutInstanceFromStore',
  'staleLists',
  'staleLists',
  'loseOnlyHolder',
  'loseOnlyHolder',
  'loseLeaderLog',
  'loseLeaderLog',
  'cutOnlyHolder',
  'cutOnlyHolder',
] as const;

/** Faults of runs in which several instances or all VMs fail together or one after the other. */
const OUTAGE_KINDS = [
  ...RESTART_KINDS,
  'killAllVms',
  'killAllVms',
  'loseOrders',
  'losePromotions',
  'losePromotions',
  'loseLogsInTakeover',
  'loseLogsInTakeover',
  'loseLogsInTakeover',
  'restartCandidate',
  'restartCandidate',
  'restartCandidate',
  'restartEmptyLate',
  'restartEmptyLate',
  'crashNewLeader',
  'crashNewLeader',
  'changeLeaderTwice',
  'changeLeaderTwice',
  'losePower',
  'losePower',
  'crashLeaving',
  'crashLeaving',
  'crashLeaving',
] as const;

/** Faults of runs in which VMs differ in what they reach, while instances start again with their logs. */
const PARTITION_KINDS = [
  ...FAULT_KINDS,
  'splitVm',
  'splitVm',
  'splitVm',
  'splitVm',
  'restartInPromotion',
  'restartInPromotion',
  'restartInPromotion',
  'delayStore',
  'delayStore',
  'cutVmFromStore',
  'deafReplica',
] as const;

/** Faults that take the leader away for a time, in runs with late claims and late orders. */
const LEADER_KINDS = [
  'crashLeader',
  'crashLeader',
  'cutLeaderFromVms',
  'markLeaderLeaving',
] as const;

/** Faults beside these: of the VM that claims, of the store and of the instances. */
const CLAIM_KINDS = [
  'freezeClaimant',
  'freezeClaimant',
  'freezeClaimant',
  'delayStore',
  'loseStoreAnswers',
  'pauseVm',
  'killVm',
  'killVm',
  'cutVmFromStore',
  'storeDown',
  'loseOrders',
  'losePromotions',
  'crashLeader',
  'crashReplica',
  'delayPromotions',
] as const;

/** Name of a fault. */
export type TakeoverFaultKind =
  | (typeof OUTAGE_KINDS)[number]
  | (typeof RESTORATION_KINDS)[number]
  | (typeof PARTITION_KINDS)[number]
  | (typeof CLAIM_KINDS)[number];

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
  /** How many instances the group has; three unless given. */
  readonly instances?: number;
  /** How many VMs run; three unless given. */
  readonly vms?: number;
}

/** A fault whose time is relative to the moment of its run, or to the start. */
interface RelativeFault extends Omit<TakeoverFault, 'at'> {
  readonly offset: number;
  readonly isNearMoment: boolean;
}

function createFaultArbitrary(
  kinds: readonly TakeoverFaultKind[],
  maxFaultMs: number,
): fc.Arbitrary<RelativeFault> {
  return fc.record({
    kind: fc.constantFrom(...kinds),
    offset: fc.integer({ min: 0, max: FAULT_WINDOW_MS - MIN_FAULT_AT_MS }),
    isNearMoment: fc.boolean(),
    duration: fc.integer({ min: 200, max: maxFaultMs }),
    pick: fc.nat({ max: 5 }),
  });
}

function placeFault(
  moment: number,
  { offset, isNearMoment, ...rest }: RelativeFault,
): TakeoverFault {
  const at = isNearMoment ? moment + (offset % MOMENT_MS) : MIN_FAULT_AT_MS + offset;
  return { ...rest, at };
}

/**
 * Generates random scenarios. Half of the faults fall together within the time of one change of the
 * leader, since most violations need several faults during it.
 */
function createScenarioArbitrary(
  kinds: readonly TakeoverFaultKind[],
  maxLength: number,
  maxFaultMs = MAX_FAULT_MS,
): fc.Arbitrary<TakeoverScenario> {
  return fc
    .record({
      seed: fc.integer(),
      moment: fc.integer({ min: MIN_FAULT_AT_MS, max: FAULT_WINDOW_MS - MOMENT_MS }),
      faults: fc.array(createFaultArbitrary(kinds, maxFaultMs), {
        ...{ minLength: 1, maxLength, size: 'max' },
      }),
    })
    .map(({ seed, moment, faults }) => ({
      seed,
      faults: faults.map((one) => placeFault(moment, one)),
    }));
}

export const takeoverArbitrary = createScenarioArbitrary(FAULT_KINDS, 6);

/** The same with a store that comes back from an older copy. */
export const restorationArbitrary = createScenarioArbitrary(RESTORATION_KINDS, 8);

/** The same with instances that start again without their log or under another id. */
export const restartArbitrary = createScenarioArbitrary(RESTART_KINDS, 6);

/** The same with VMs that differ in what they reach. */
export const partitionArbitrary = createScenarioArbitrary(PARTITION_KINDS, 6);

/**
 * Scenarios in which the leader is away for a time, the first orders to promote are carried out late,
 * and what the holder learns is late as well; few VMs could act on its open record.
 */
export const claimArbitrary: fc.Arbitrary<TakeoverScenario> = fc
  .record({
    seed: fc.integer(),
    vms: fc.integer({ min: 1, max: MAX_CLAIM_VMS }),
    moment: fc.integer({ min: MIN_FAULT_AT_MS, max: FAULT_WINDOW_MS - CLAIM_MOMENT_MS }),
    absence: createFaultArbitrary(LEADER_KINDS, MAX_ABSENCE_MS),
    delayMs: fc.integer({ min: MIN_FAULT_AT_MS, max: MAX_FAULT_MS }),
    others: fc.array(createFaultArbitrary(CLAIM_KINDS, MAX_FAULT_MS), { maxLength: 4 }),
  })
  .map(({ seed, vms, moment, absence, delayMs, others }) => ({
    ...{ seed, vms },
    faults: [
      { ...absence, at: moment },
      { kind: 'delayPromotions', at: moment, duration: delayMs, pick: 0 },
      ...others.map(({ offset, ...rest }) => ({
        ...rest,
        at: moment + (offset % CLAIM_MOMENT_MS),
      })),
    ],
  }));

/** The same in groups of several sizes, with longer faults, and several instances or all VMs failing. */
export const outageArbitrary: fc.Arbitrary<TakeoverScenario> = fc
  .tuple(
    createScenarioArbitrary(OUTAGE_KINDS, 7, MAX_OUTAGE_FAULT_MS),
    fc.integer({ min: MIN_INSTANCES, max: MAX_INSTANCES }),
  )
  .map(([scenario, instances]) => ({ ...scenario, instances }));
