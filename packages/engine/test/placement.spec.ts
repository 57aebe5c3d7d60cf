import { DEFAULT_CONTRACT } from '@shallotpick/core';
import { expect } from 'earl';
import * as fc from 'fast-check';
import {
  computeConnectionShare,
  type FleetView,
  Placement,
  type ServiceConfiguration,
  type VmAddress,
} from '../src/index.js';

const SEED = 24;
const ZONES = ['a', 'b', 'c', 'd', 'e'];

/** A fleet whose VM `index` runs in zone `index mod zones`. */
function createFleet(indexes: readonly number[], zones: number): FleetView {
  const vms = indexes.map((index): VmAddress => ({
    ...{ id: `vm-${index}`, zone: ZONES[index % zones] ?? '', host: 'h', port: 1 },
  }));
  return { listLiveVms: () => vms, countLiveVms: () => vms.length, findRank: () => 0 };
}

function createConfiguration(groups: number, connectionLimit: number): ServiceConfiguration {
  const names = Array.from({ length: groups }, (_, index) => `g${index}`);
  const settings = { connectionLimit, synchronousReplicas: 1 };
  const route = { contract: DEFAULT_CONTRACT, readsOwnWrites: true, timeoutMs: 1, priority: 1 };
  return {
    version: 1,
    routes: new Map(
      names.map((group) => [group, { ...route, database: group, group, targetLatencyMs: 1 }]),
    ),
    groups: new Map(names.map((name) => [name, { name, ...settings }])),
    transactionIdleMs: 1,
  };
}

/** The homes of each group as each VM of the fleet computes them, with their share. */
function listHomes(
  indexes: readonly number[],
  zones: number,
  configuration: ServiceConfiguration,
): ReadonlyMap<string, ReadonlyMap<string, number>> {
  const fleet = createFleet(indexes, zones);
  const placements = indexes.map((index) => {
    const placement = new Placement(`vm-${index}`, fleet);
    placement.updateConfiguration(configuration);
    return { id: `vm-${index}`, placement };
  });
  return new Map(
    [...configuration.groups.values()].map(({ name, connectionLimit }) => {
      const homes = placements.filter(({ placement }) => placement.isHome(name));
      const share = ({ placement }: (typeof placements)[number]): number =>
        computeConnectionShare(
          connectionLimit,
          placement.countHomes(name) ?? 1,
          placement.mustForward(),
        );
      return [name, new Map(homes.map((home) => [home.id, share(home)]))];
    }),
  );
}

const sum = (values: Iterable<number>): number => [...values].reduce((a, b) => a + b, 0);

describe('Placement', () => {
  // Equal shares of 58 connections among 77 VMs were at least one each, so instances were full.
  it('keeps within the connections of an instance, also while two views of the fleet overlap', () => {
    const property = fc.property(
      ...[fc.integer({ min: 40, max: 120 }), fc.integer({ min: 1, max: ZONES.length })],
      ...[fc.integer({ min: 20, max: 39 }), fc.integer({ min: 1, max: 14 }), fc.nat()],
      (vms: number, zones: number, limit: number, groups: number, pick: number) => {
        const configuration = createConfiguration(groups, limit);
        const all = Array.from({ length: vms }, (_, index) => index);
        const before = listHomes(all, zones, configuration);
        const changed = all.filter((index) => index !== pick % vms);
        const after = listHomes(changed, zones, configuration);
        before.forEach((homes, name) => {
          const union = new Map([...homes, ...(after.get(name) ?? [])]);
          expect(sum(union.values()) <= limit).toEqual(true);
          expect(homes.size >= zones).toEqual(true);
        });
      },
    );
    fc.assert(property, { seed: SEED, numRuns: 25 });
  }).timeout(60_000);

  // In a small fleet no caller should need an extra network hop.
  it('makes every VM a home while the connections suffice', () => {
    const homes = listHomes([0, 1, 2, 3, 4, 5], 3, createConfiguration(3, 16));
    expect([...homes.values()].map(({ size }) => size)).toEqual([6, 6, 6]);
  });

  // A VM of a build without links could not pass work on.
  it('forwards nothing beside VMs that accept no links', () => {
    const { listLiveVms, ...rest } = createFleet([0, 1, 2, 3], 1);
    const vms = listLiveVms().map((vm, index) => (index === 1 ? { ...vm, port: undefined } : vm));
    const placement = new Placement('vm-0', { ...rest, listLiveVms: () => vms });
    placement.updateConfiguration(createConfiguration(1, 2));
    expect(placement.mustForward()).toEqual(false);
  });
});
