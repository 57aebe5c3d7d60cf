import type { Random } from '@shallotpick/bench';
import type { Millis } from '@shallotpick/core';
import { CHANGE_FACTOR, CHANGE_KINDS, MOVE_KINDS } from './changefaults.js';
import { type FaultSelection, listKinds, type SoakFaultKind } from './faultkinds.js';
import { KEY_KINDS } from './keyfaults.js';
import { LONG_OUTAGE_FACTOR, LONG_OUTAGE_KINDS } from './outagefaults.js';
import { PARTITION_FACTOR, PARTITION_KINDS } from './partitionfaults.js';
import { STORE_CUT_FACTOR } from './restartfaults.js';

/** One fault; `targetSeed` selects the VM, group or instance that it affects. */
export interface SoakFault {
  readonly kind: SoakFaultKind;
  readonly at: Millis;
  readonly durationMs: Millis;
  readonly targetSeed: number;
}

const MAX_FAULT_MS: Millis = 4_500;
const MIN_FAULT_MS: Millis = 150;
const MAX_FAULTS_PER_SERIES = 3;

/** Keys are missing for longer than the limit of their revocation. */
const KEY_FACTOR = 2.5;

function findDurationFactor(kind: SoakFaultKind): number {
  if (KEY_KINDS.some((one) => one === kind)) return KEY_FACTOR;
  if ([...CHANGE_KINDS, ...MOVE_KINDS].some((one) => one === kind)) return CHANGE_FACTOR;
  if (kind === 'cutInstanceFromStore') return STORE_CUT_FACTOR;
  if (PARTITION_KINDS.some((one) => one === kind)) return PARTITION_FACTOR;
  return LONG_OUTAGE_KINDS.has(kind) ? LONG_OUTAGE_FACTOR : 1;
}

function createFault(
  random: Random,
  kinds: readonly SoakFaultKind[],
  start: Millis,
  index: number,
): SoakFault {
  const kind = kinds[random.nextInt(kinds.length)]!;
  const at = start + index * random.nextInt(MAX_FAULT_MS / MAX_FAULTS_PER_SERIES);
  const durationMs = MIN_FAULT_MS + random.nextInt(MAX_FAULT_MS - MIN_FAULT_MS);
  return {
    ...{ kind, at },
    durationMs: Math.round(durationMs * findDurationFactor(kind)),
    targetSeed: random.nextInt(2 ** 16),
  };
}

/** Draws overlapping series of faults; each series starts within `windowMs`. */
export function createFaultSchedule(
  random: Random,
  windowMs: Millis,
  series: number,
  selection: FaultSelection = {},
): SoakFault[] {
  const kinds = listKinds(selection);
  const faults = Array.from({ length: series }, () => {
    const start = random.nextInt(windowMs);
    return Array.from({ length: 1 + random.nextInt(MAX_FAULTS_PER_SERIES) }, (_, index) =>
      createFault(random, kinds, start, index),
    );
  });
  return faults.flat().sort((a, b) => a.at - b.at);
}
