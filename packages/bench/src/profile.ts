import type { DatabaseGroup, ReleaseNote } from '@shallotpick/core';
import type { StandinGroupOptions } from '@shallotpick/standin';

/** Name of a deployment profile. */
export type ProfileName = 'walks' | 'water-board';

/** Sizes and costs of a deployment; see docs/design.md section 1. */
export interface Profile {
  readonly name: ProfileName;
  readonly zones: readonly string[];
  /** One-way delay between zones. */
  readonly zoneDelayMs: number;
  readonly groups: readonly string[];
  readonly slots: number;
  readonly connectionLimit: number;
  readonly connectCostMs: number;
  readonly proxies: number;
}

/** The deployment profiles by name. */
export const PROFILES: Readonly<Record<ProfileName, Profile>> = {
  walks: {
    name: 'walks',
    zones: ['mombasa', 'nyali', 'diani'],
    zoneDelayMs: 1.5,
    groups: ['booking-1', 'booking-2', 'booking-3'],
    slots: 2,
    connectionLimit: 15,
    connectCostMs: 10,
    proxies: 4,
  },
  'water-board': {
    name: 'water-board',
    zones: ['quimper', 'quimperle', 'brest', 'morlaix'],
    zoneDelayMs: 0.5,
    groups: ['shop-1', 'shop-2', 'shop-3'],
    slots: 3,
    connectionLimit: 50,
    connectCostMs: 30,
    proxies: 4,
  },
};

const INSTANCES_PER_GROUP = 3;

/** Creates the options of a stand-in group with one instance in each of three zones. */
export function createGroupOptions(
  profile: Profile,
  name: string,
  statementCostMs: number,
): StandinGroupOptions {
  const first = profile.groups.indexOf(name);
  const instances = Array.from({ length: INSTANCES_PER_GROUP }, (_, index) => ({
    id: `${name}-${String.fromCharCode(97 + index)}`,
    zone: profile.zones[(first + index) % profile.zones.length] ?? '',
    slots: profile.slots,
    connectionLimit: profile.connectionLimit,
    connectCostMs: profile.connectCostMs,
    statementCostMs,
    answerDelayMs: profile.zoneDelayMs,
  }));
  return { name, instances, replicationDelayMs: profile.zoneDelayMs };
}

/** Creates the first release note, which adds the groups and the contracts of the scenarios. */
export function createFirstNote(groups: readonly DatabaseGroup[]): ReleaseNote {
  return {
    id: 'first',
    base: 0,
    added: {
      groups: groups.map(({ name, instances }) => ({ name, instances: [...instances] })),
      contracts: [
        { name: 'availability', match: {}, maxAgeMs: 2_000, length: 'short', repeat: 'allowed' },
        { name: 'report', match: {}, maxAgeMs: 60_000, length: 'long', repeat: 'allowed' },
        { name: 'payment', match: {}, maxAgeMs: 0, length: 'short', repeat: 'never' },
      ],
    },
    changed: { groups: [], contracts: [] },
    withdrawn: { groups: [], contracts: [] },
  };
}
