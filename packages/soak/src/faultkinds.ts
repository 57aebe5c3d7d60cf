import { CHANGE_KINDS, type ChangeFaultKind, MOVE_KINDS } from './changefaults.js';
import { GROUP_KINDS, type GroupFaultKind } from './groupfaults.js';
import { KEY_KINDS, type KeyFaultKind } from './keyfaults.js';
import { OUTAGE_KINDS, type OutageFaultKind } from './outagefaults.js';
import { PARTITION_KINDS, type PartitionFaultKind } from './partitionfaults.js';
import { RESTART_KINDS, type RestartFaultKind } from './restartfaults.js';
import type { StoreFaultKind } from './storefaults.js';
import type { VmFaultKind } from './vmfaults.js';

/** The kinds to draw from; a kind that is listed twice is drawn twice as often. */
const FAULT_KINDS = [
  'stopVm',
  'stopVm',
  'killVm',
  'killVm',
  'killAllVms',
  'pauseVm',
  'pauseVm',
  'reloadVm',
  'stepClock',
  'silenceStore',
  'cutStoreOneWay',
  'delayStore',
  'resetStore',
  'abandonStore',
  'silencePromotions',
  'storeDown',
  'loseWrites',
  'compactStore',
  'crashLeader',
  ...GROUP_KINDS,
  'resetCallers',
] as const satisfies readonly (VmFaultKind | StoreFaultKind | GroupFaultKind)[];

/** The name of a fault, as the summary prints it. */
export type SoakFaultKind =
  | VmFaultKind
  | StoreFaultKind
  | GroupFaultKind
  | RestartFaultKind
  | KeyFaultKind
  | OutageFaultKind
  | PartitionFaultKind
  | ChangeFaultKind;

/** How often the kinds of a selection are listed. */
const WEIGHTS = {
  ...{ restorations: 12, restarts: 4, oddEntries: 12, outages: 3, partitions: 5 },
  ...{ keys: 8, changes: 8, signals: 16, moves: 24 },
};

/** Kinds that a run draws beside the usual ones. */
export interface FaultSelection {
  /** True when the store also comes back from older copies. */
  readonly restorations?: boolean | undefined;
  /** True when instances also lose their log or id, or reach all but the store. */
  readonly restarts?: boolean | undefined;
  /** Number of organisations; the keys of their callers come and go. */
  readonly organisations?: number | undefined;
  /** True when another writer leaves entries that can't be used. */
  readonly oddEntries?: boolean | undefined;
  /** True when more than one part fails within a takeover, or longer than other faults last. */
  readonly outages?: boolean | undefined;
  /** True when VMs also differ in which instances they reach, and how soon the store answers them. */
  readonly partitions?: boolean | undefined;
  /** True when the operator also writes configurations in series, beside more signals. */
  readonly changes?: boolean | undefined;
  /** True when the operator also moves databases that callers use between groups. */
  readonly moves?: boolean | undefined;
}

function listChangeKinds(): readonly SoakFaultKind[] {
  const signals: readonly SoakFaultKind[] = ['stopVm', 'reloadVm', 'silenceStore', 'slowStore'];
  return [
    ...Array<typeof CHANGE_KINDS>(WEIGHTS.changes).fill(CHANGE_KINDS).flat(),
    ...Array<typeof signals>(WEIGHTS.signals).fill(signals).flat(),
  ];
}

/** Lists the kinds of a selection, each as often as its weight says. */
export function listKinds({
  restorations,
  restarts,
  oddEntries,
  outages,
  partitions,
  changes,
  moves,
  organisations = 0,
}: FaultSelection): readonly SoakFaultKind[] {
  return [
    ...FAULT_KINDS,
    ...Array<SoakFaultKind>(restorations ? WEIGHTS.restorations : 0).fill('restoreStore'),
    ...Array<SoakFaultKind>(oddEntries ? WEIGHTS.oddEntries : 0).fill('writeOddEntry'),
    ...(organisations > 0 ? Array<typeof KEY_KINDS>(WEIGHTS.keys).fill(KEY_KINDS).flat() : []),
    ...(restarts ? Array<typeof RESTART_KINDS>(WEIGHTS.restarts).fill(RESTART_KINDS).flat() : []),
    ...(partitions
      ? Array<typeof PARTITION_KINDS>(WEIGHTS.partitions).fill(PARTITION_KINDS).flat()
      : []),
    ...(changes ? listChangeKinds() : []),
    ...(moves ? Array<typeof MOVE_KINDS>(WEIGHTS.moves).fill(MOVE_KINDS).flat() : []),
    ...(outages ? Array<typeof OUTAGE_KINDS>(WEIGHTS.outages).fill(OUTAGE_KINDS).flat() : []),
  ];
}
