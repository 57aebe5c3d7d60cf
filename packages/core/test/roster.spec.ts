import { expect } from 'earl';
import { InstanceRoster, type RegisteredInstance } from '../src/index.js';

const createInstance = (id: string, leaving = false): RegisteredInstance => ({
  ...{ id, group: 'g', zone: 'z', host: 'h', port: 1, slots: 2, connectionLimit: 16 },
  ...{ leaving, role: 'replica', startedAt: 1 },
});

const listIds = (roster: InstanceRoster): readonly string[] => roster.list().map(({ id }) => id);

describe('InstanceRoster', () => {
  // Guards against an outage of the registry that takes live instances out of service.
  it('keeps an instance whose entry is gone until entries should be back', () => {
    const roster = new InstanceRoster(() => undefined);
    roster.updateAll([createInstance('a'), createInstance('b')], 0);
    roster.updateAll([createInstance('a')], 1_000);
    roster.handleTick(3_000, true);
    expect(listIds(roster)).toEqual(['a', 'b']);
    roster.update(createInstance('b'));
    roster.handleTick(9_000, true);
    expect(listIds(roster)).toEqual(['a', 'b']);
  });

  // Guards against new work on instances that have been gone for seconds.
  it('drops an entry that stays missing, counted from the return of the registry', () => {
    const roster = new InstanceRoster(() => undefined);
    roster.updateAll([createInstance('a')], 0);
    roster.remove('a', 0);
    roster.handleTick(8_000, false);
    roster.handleTick(10_000, true);
    expect(listIds(roster)).toEqual(['a']);
    roster.handleTick(10_500, true);
    expect(listIds(roster)).toEqual([]);
  });

  // Guards against waiting for an instance that has said that it leaves.
  it('drops a leaving instance with its entry', () => {
    const roster = new InstanceRoster(() => undefined);
    roster.update(createInstance('a', true));
    roster.remove('a', 0);
    expect(listIds(roster)).toEqual([]);
  });
});
