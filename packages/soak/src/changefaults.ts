import type { Random } from '@shallotpick/bench';
import type { Millis } from '@shallotpick/core';
import { wait } from '@shallotpick/engine';
import { match } from 'ts-pattern';
import { CHANGED_PARTS, type ChangedPart, type SoakOperator } from './operator.js';
import { injectProxyFault, PROXY_FAULTS } from './proxyfaults.js';
import { createSubRandom } from './subrandom.js';
import type { SoakVm } from './vm.js';
import { restartInOrder } from './vmfaults.js';

/** Kinds in which the operator writes one configuration after the other. */
export const CHANGE_KINDS = [
  'changeTimeouts',
  'changePriorities',
  'changeRoutes',
  'changeLimits',
  'changeGroups',
  'changeRates',
  'changeEverything',
  'stopInChanges',
  'lapseInChanges',
] as const;

/** Kinds in which the operator moves databases that callers use between groups. */
export const MOVE_KINDS = ['moveDatabases'] as const;

/** A kind of fault of the operator. */
export type ChangeFaultKind = (typeof CHANGE_KINDS)[number] | (typeof MOVE_KINDS)[number];

/** A series of changes lasts longer than other faults. */
export const CHANGE_FACTOR = 2;
/** Time from one version of the configuration to the next. */
const MIN_INTERVAL_MS: Millis = 300;
const MAX_INTERVAL_MS: Millis = 1_500;
/** Databases are moved and moved back while reads need not show what was committed meanwhile. */
const MAX_MOVE_INTERVAL_MS: Millis = 500;
/** A proof of the configuration lapses within this time. */
const MIN_LAPSE_MS: Millis = 3_500;
/** Limit of the time between the signals to two VMs. */
const MAX_SIGNAL_OFFSET_MS: Millis = 600;

/** What a fault of the operator affects, and for how long. */
export interface ChangeContext {
  readonly operator: SoakOperator;
  readonly vms: readonly SoakVm[];
  readonly vm: SoakVm;
  readonly durationMs: Millis;
  readonly targetSeed: number;
}

/** Writes versions that change the parts, one after the other, and gives the parts back. */
async function writeChanges(
  { operator, durationMs }: ChangeContext,
  parts: readonly ChangedPart[],
  random: Random,
  maxIntervalMs = MAX_INTERVAL_MS,
): Promise<void> {
  const endsAt = performance.now() + durationMs;
  while (performance.now() < endsAt) {
    operator.change(parts[random.nextInt(parts.length)]!, random);
    await wait(MIN_INTERVAL_MS + random.nextInt(maxIntervalMs - MIN_INTERVAL_MS));
  }
  operator.restore(parts);
}

/** Every other VM stops and starts again, the others read their settings again, amid changes. */
async function stopInChanges(context: ChangeContext, random: Random): Promise<void> {
  const { vms, targetSeed } = context;
  const stopped = vms.filter((_, index) => (index + targetSeed) % 2 === 0);
  const reload = async (): Promise<void> => {
    for (const vm of vms.filter((one) => !stopped.includes(one))) {
      await wait(random.nextInt(MAX_SIGNAL_OFFSET_MS));
      vm.reload();
    }
  };
  await Promise.all([
    writeChanges(context, CHANGED_PARTS, random),
    restartInOrder(stopped, random.nextInt(MAX_SIGNAL_OFFSET_MS)),
    reload(),
  ]);
}

/** The store is silent to one VM for so long that its proof of the configuration lapses. */
async function lapseInChanges(context: ChangeContext, random: Random): Promise<void> {
  const { vm, durationMs } = context;
  await Promise.all([
    writeChanges(context, CHANGED_PARTS, random),
    injectProxyFault(vm.storeProxy, Math.max(MIN_LAPSE_MS, durationMs), PROXY_FAULTS.silence),
  ]);
}

/** Injects a fault of the operator, which ends after its duration. */
export async function injectChangeFault(
  kind: ChangeFaultKind,
  context: ChangeContext,
): Promise<void> {
  const random = createSubRandom(context.targetSeed);
  await match(kind)
    .with('changeTimeouts', () => writeChanges(context, ['timeouts'], random))
    .with('changePriorities', () => writeChanges(context, ['priorities'], random))
    .with('changeRoutes', () => writeChanges(context, ['routes'], random))
    .with('changeLimits', () => writeChanges(context, ['limits'], random))
    .with('changeGroups', () => writeChanges(context, ['groups'], random))
    .with('changeRates', () => writeChanges(context, ['rates'], random))
    .with('changeEverything', () => writeChanges(context, CHANGED_PARTS, random))
    .with('moveDatabases', () =>
      writeChanges(context, ['groupsOfRoutes'], random, MAX_MOVE_INTERVAL_MS),
    )
    .with('stopInChanges', () => stopInChanges(context, random))
    .with('lapseInChanges', () => lapseInChanges(context, random))
    .exhaustive();
}
