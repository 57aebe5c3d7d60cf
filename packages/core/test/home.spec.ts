import { expect } from 'earl';
import * as fc from 'fast-check';
import { ALL_HOME_VMS, type DatabaseGroup, HomeTable, type Vm } from '../src/index.js';

const ZONES = ['east', 'north', 'west'];

const createVm = (index: number): Vm => ({
  id: `vm-${index}`,
  zone: ZONES[index % ZONES.length] ?? '',
  host: '127.0.0.1',
  peerPort: 1,
});

const createGroup = (index: number): DatabaseGroup => ({
  name: `group-${index}`,
  instances: ZONES.slice(0, 1 + (index % ZONES.length)).map((zone) => ({
    id: `group-${index}-${zone}`,
    zone,
    host: '127.0.0.1',
    port: 1,
    slots: 2,
    connectionLimit: 15,
  })),
});

const createTable = (groups: readonly DatabaseGroup[], vms: readonly Vm[]): HomeTable => {
  const table = new HomeTable();
  table.updateVms(vms);
  table.updateGroups(groups);
  return table;
};

const listAll = (table: HomeTable, groups: readonly DatabaseGroup[]): readonly unknown[] =>
  groups.map(({ name }) => [name, table.findHomes(name, 'north')]);

describe('HomeTable', () => {
  // Guards against incremental updates that keep an outdated home after VMs joined and left.
  it('finds the same homes by incremental updates as by full computation', () => {
    const sets = fc.array(
      fc.uniqueArray(fc.integer({ min: 0, max: 40 }), { minLength: ALL_HOME_VMS + 1 }),
      { minLength: 1, maxLength: 6 },
    );
    fc.assert(
      fc.property(sets, fc.integer({ min: 1, max: 12 }), (changes, groupCount) => {
        const groups = Array.from({ length: groupCount }, (_, index) => createGroup(index));
        const table = createTable(groups, []);
        changes.forEach((indexes) => {
          const vms = indexes.map(createVm);
          table.updateVms(vms);
          expect(listAll(table, groups)).toEqual(listAll(createTable(groups, vms), groups));
        });
      }),
      { seed: 7 },
    );
  });

  // A partitioned zone can serve only groups that have a home in it.
  it('gives a group homes in each zone of its instances, nearest first', () => {
    const vms = Array.from({ length: 30 }, (_, index) => createVm(index));
    const table = createTable([createGroup(2)], vms);
    const zoneOf = new Map(vms.map(({ id, zone }) => [id, zone]));
    const homes = table.findHomes('group-2', 'west').map((vm) => zoneOf.get(vm));
    expect(homes).toEqual(['west', 'west', 'east', 'east', 'north', 'north']);
  });

  // In a small fleet, no caller should need an extra network hop.
  it('makes every VM of a small fleet a home', () => {
    const vms = Array.from({ length: 5 }, (_, index) => createVm(index));
    const table = createTable([createGroup(0)], vms);
    expect(vms.every(({ id }) => table.isHome('group-0', id))).toEqual(true);
  });
});
