import {
  DEFAULT_CONTRACT,
  type Millis,
  type OperationRate,
  type RegisteredInstance,
} from '@shallotpick/core';
import * as fc from 'fast-check';
import {
  type DatabaseRoute,
  type GroupSettings,
  OrganisationIndex,
  type ServiceConfiguration,
} from '../src/index.js';
import type { CallMode } from './slowstore.js';

/** Groups, instances and VMs of a trial. */
export const GROUPS = ['g', 'h'] as const;
export const VMS = ['vm-0', 'vm-1', 'vm-2'] as const;
export const KEYS = ['north', 'south', 'unknown'] as const;

type GroupName = (typeof GROUPS)[number];

/** The ids of a group's instances, or of all; the first one of a group leads. */
export function listInstances(groups: readonly GroupName[] = GROUPS): readonly string[] {
  return groups.flatMap((name) => [`${name}-0`, `${name}-1`, `${name}-2`]);
}

/** Names a database of a group, for fresh or for aged reads. */
export function nameDatabase(group: GroupName, isAged: boolean): string {
  return `${group}-${isAged ? 'aged' : 'fresh'}`;
}

/** Properties of one version of the configuration. */
export interface Settings {
  readonly groups: readonly GroupName[];
  /** True when the databases of the groups are exchanged. */
  readonly isExchanged: boolean;
  readonly hasAged: boolean;
  readonly timeoutMs: Millis;
  readonly priorities: readonly [number, number];
  readonly connectionLimit: number;
  readonly transactionIdleMs: Millis;
  /** The organisations by their keys; undefined for a configuration without keys. */
  readonly keys: readonly string[] | undefined;
  readonly rateLimit: OperationRate | undefined;
}

/** One disturbance or planned change. */
export type Change =
  | { readonly kind: 'configure'; readonly settings: Settings }
  | { readonly kind: 'instance'; readonly id: string; readonly mode: CallMode }
  | { readonly kind: 'breakConnections' | 'restartInstance' | 'leave'; readonly id: string }
  | { readonly kind: 'store' | 'links'; readonly mode: CallMode }
  | { readonly kind: 'hearing'; readonly id: string; readonly isDeaf: boolean }
  | { readonly kind: 'drain' | 'restartVm'; readonly vm: string };

/** A change and the time since the one before. */
export interface Step {
  readonly afterMs: Millis;
  readonly change: Change;
}

export const FIRST_SETTINGS: Settings = {
  ...{ groups: GROUPS, hasAged: true, timeoutMs: 600, priorities: [1, 1], connectionLimit: 30 },
  ...{ transactionIdleMs: 300, keys: ['north', 'south'], rateLimit: undefined },
  isExchanged: false,
};

const settings: fc.Arbitrary<Settings> = fc.record({
  groups: fc.constantFrom<readonly GroupName[]>(GROUPS, GROUPS, ['g'], ['h']),
  isExchanged: fc.boolean(),
  hasAged: fc.boolean(),
  timeoutMs: fc.constantFrom(100, 300, 600, 1_500),
  priorities: fc.constantFrom<readonly [number, number]>([1, 1], [0, 1], [2, 1]),
  connectionLimit: fc.constantFrom(1, 4, 8, 9, 30),
  transactionIdleMs: fc.constantFrom(50, 300),
  keys: fc.constantFrom(undefined, ['north', 'south'], ['north'], ['south']),
  rateLimit: fc.constantFrom(
    undefined,
    { ratePerSecond: 5, burst: 5 },
    { ratePerSecond: 500, burst: 50 },
  ),
});
const instance = fc.constantFrom(...listInstances());
const mode = fc.constantFrom<CallMode>('answer', 'answer', 'delay', 'fail', 'hang');
const vm = fc.constantFrom(...VMS);

const change: fc.Arbitrary<Change> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('configure' as const), settings }) },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant('instance' as const), id: instance, mode }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom('breakConnections' as const, 'restartInstance', 'leave'),
      id: instance,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constantFrom('store' as const, 'links'), mode }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('hearing' as const),
      id: fc.constantFrom(...GROUPS.map((name) => `${name}-1`)),
      isDeaf: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constantFrom('drain' as const, 'restartVm'), vm }),
  },
);

/** Series of changes, up to some a second. */
export const steps: fc.Arbitrary<readonly Step[]> = fc.array(
  fc.record({ afterMs: fc.integer({ min: 0, max: 600 }), change }),
  { minLength: 1, maxLength: 14 },
);

/** Creates a version of the configuration. */
export function createConfiguration(version: number, next: Settings): ServiceConfiguration {
  const { groups, isExchanged, hasAged, timeoutMs, priorities, keys, rateLimit } = next;
  const { connectionLimit, transactionIdleMs } = next;
  const routes = groups.flatMap((group) =>
    [false, true].flatMap((isAged): DatabaseRoute[] => {
      if (isAged && !hasAged) return [];
      const contract = isAged ? { ...DEFAULT_CONTRACT, maxAgeMs: 2_000 } : DEFAULT_CONTRACT;
      const priority = priorities[isAged ? 1 : 0];
      const [exchanged = group] = isExchanged ? groups.filter((other) => other !== group) : [];
      return [
        {
          ...{ database: nameDatabase(group, isAged), group: exchanged },
          ...{ contract, priority, timeoutMs },
          ...{ readsOwnWrites: true, targetLatencyMs: 100 },
        },
      ];
    }),
  );
  const organisations = keys?.map((name) => ({ name, keys: [name], rateLimit }));
  return {
    version,
    routes: new Map(routes.map((route) => [route.database, route])),
    groups: new Map(
      groups.map((name): [string, GroupSettings] => [
        name,
        { name, connectionLimit, synchronousReplicas: 1 },
      ]),
    ),
    transactionIdleMs,
    organisations: organisations && new OrganisationIndex(organisations),
  };
}

/** Describes an instance as it registers itself; its group is the part of its id before the dash. */
export function createRegistration(
  id: string,
  startedAt: number,
  leaving: boolean,
): RegisteredInstance {
  const [group = '', index] = id.split('-');
  return {
    ...{ id, group, zone: 'z', host: id, port: 1, slots: 2, connectionLimit: 30 },
    ...{ leaving, role: index === '0' ? 'primary' : 'replica', startedAt },
  };
}
