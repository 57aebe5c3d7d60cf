import { expect } from 'earl';
import { classifyPower, computePower, HomeTable } from '../src/index.js';

describe('the power of a VM', () => {
  it('is that of its cores unless memory is short', () => {
    expect(computePower({ cores: 1.35, memoryMb: 602 })).toEqual(1.35);
    expect(computePower({ cores: 4, memoryMb: 256 })).toEqual(1);
  });

  // VMs of nearly the same size share the work evenly.
  it('puts VMs into classes by factors of the square root of two', () => {
    const vms = [0.8, 1.1, 1.35, 1.7, undefined].map((power, index) => ({ id: `${index}`, power }));
    expect([...classifyPower(vms).values()]).toEqual([0, 0, 1, 2, 0]);
  });

  it('makes no difference where none is known', () => {
    expect([...classifyPower([{ id: 'a' }, { id: 'b' }]).values()]).toEqual([0, 0]);
  });
});

describe('HomeTable with VMs of several sizes', () => {
  // Homes on the smallest VMs of a fleet were short of processor time while the largest were idle.
  it('chooses the strongest VMs of a zone, and others when they leave', () => {
    const table = new HomeTable({ homesPerZone: 2, allHomeVms: 0 });
    const groups = Array.from({ length: 6 }, (_, index) => ({
      name: `g${index}`,
      instances: [{ zone: 'z' }],
    }));
    const vms = Array.from({ length: 20 }, (_, index) => ({
      ...{ id: `vm-${index}`, zone: 'z', powerClass: index < 2 ? 2 : 0 },
    }));
    table.updateGroups(groups);
    table.updateVms(vms);
    const listHomes = () => new Set(groups.flatMap(({ name }) => table.findHomes(name, 'z')));
    const before = [...listHomes()].sort();
    table.updateVms(vms.slice(1));
    const after = listHomes();
    expect(before).toEqual(['vm-0', 'vm-1']);
    expect([after.has('vm-1'), after.size > 2]).toEqual([true, true]);
  });
});
