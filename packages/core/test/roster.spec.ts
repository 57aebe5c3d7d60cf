import { expect } from 'earl';
import { InstanceRoster, type RegisteredInstance, UNKNOWN_START } from '../src/index.js';

const createInstance = (id: string, leaving = false, startedAt = 1): RegisteredInstance => ({
  ...{ id, group: 'g', zone: 'z', host: 'h', port: 1, slots: 2, connectionLimit: 16 },
  ...{ leaving, role: 'replica', startedAt },
});

const listIds = (roster: InstanceRoster): readonly string[] => roster.list().map(({ id }) => id);

describe('InstanceRoster', () => {
  // Guards against an outage of the registry that removes live instances from service.
  it('keeps an instance without an entry until it should have registered again', () => {
    const roster = new InstanceRoster(() => undefined);
    roster.updateAll([createInstance('a'), createInstance('b')], 0);
    roster.updateAll([createInstance('a')], 1_000);
    roster.handleTick(3_000, true);
    expect(listIds(roster)).toEqual(['a', 'b']);
    roster.update(createInstance('b'));
    roster.handleTick(9_000, true);
    expect(listIds(roster)).toEqual(['a', 'b']);
  });

  // Guards against new work on instances that failed seconds ago.
  it('drops an entry that stays missing, counted from the end of the registry outage', () => {
    const roster = new InstanceRoster(() => undefined);
    roster.updateAll([createInstance('a')], 0);
    roster.remove('a', 0);
    roster.handleTick(8_000, false);
    roster.handleTick(10_000, true);
    expect(listIds(roster)).toEqual(['a']);
    roster.handleTick(10_500, true);
    expect(listIds(roster)).toEqual([]);
  });

  // Guards against waiting for an instance that has announced that it is leaving.
  it('drops a leaving instance together with its entry', () => {
    const roster = new InstanceRoster(() => undefined);
    roster.update(createInstance('a', true));
    roster.remove('a', 0);
    expect(listIds(roster)).toEqual([]);
  });

  // Guards against new work on an instance that is leaving, after the registry came back from a
  // copy that is older than its announcement.
  it('keeps an instance leaving, also when its entry says otherwise later', () => {
    const roster = new InstanceRoster(() => undefined);
    roster.update(createInstance('a', true));
    roster.update(createInstance('a'));
    expect(roster.find('a')?.leaving).toEqual(true);
    roster.remove('a', 0);
    roster.update(createInstance('a'));
    expect(roster.find('a')?.leaving).toEqual(true);
  });

  // A foreign entry under the name of an instance marked it as leaving for good, whatever it wrote.
  it('takes an instance into service again that reports later that it serves', () => {
    const roster = new InstanceRoster(() => undefined);
    roster.update({ ...createInstance('a', true), sequence: 5 });
    roster.update({ ...createInstance('a'), sequence: 5 });
    expect(roster.find('a')?.leaving).toEqual(true);
    roster.update({ ...createInstance('a'), sequence: 6 });
    expect(roster.find('a')?.leaving).toEqual(false);
  });

  // A foreign report number that is too high must not outrank the instance for as long as it runs.
  it('takes an instance into service again whose entry shows for long that it serves', () => {
    const roster = new InstanceRoster(() => undefined);
    roster.update({ ...createInstance('a', true), sequence: Number.MAX_SAFE_INTEGER });
    roster.update({ ...createInstance('a'), sequence: 6 });
    roster.handleTick(0, true);
    roster.handleTick(60_000, true);
    expect(roster.find('a')?.leaving).toEqual(true);
    for (let now = 60_000; now < 66_000; now += 50) roster.handleTick(now, true);
    expect(roster.find('a')?.leaving).toEqual(false);
  });

  // An entry without a start time passed for a restart, after which the log counted as lost.
  it('counts an instance as missing whose entry has lost its start time', () => {
    const roster = new InstanceRoster(() => undefined);
    roster.handleTick(0, true);
    roster.update(createInstance('a'));
    roster.update(createInstance('a', true, UNKNOWN_START));
    expect(roster.find('a')).toEqual(createInstance('a'));
    roster.handleTick(2_500, true);
    expect(listIds(roster)).toEqual([]);
  });

  it('takes an instance that was leaving into service again once it has restarted', () => {
    const roster = new InstanceRoster(() => undefined);
    roster.update(createInstance('a', true));
    roster.update(createInstance('a', false, 2));
    expect(roster.find('a')?.leaving).toEqual(false);
  });

  // A replica that was cut off from the registry was forgotten, although it answered and
  // acknowledged commits for its primary.
  it('lists an instance whose entry has expired until it registers again or is long gone', () => {
    const roster = new InstanceRoster(() => undefined);
    roster.update(createInstance('a'));
    roster.update(createInstance('b'));
    roster.remove('a', 0);
    roster.remove('b', 0);
    roster.handleTick(2_500, true);
    const listExpired = (): readonly string[] =>
      roster.listExpired('g').map(({ instance }) => instance.id);
    expect(listExpired()).toEqual(['a', 'b']);
    roster.update(createInstance('b'));
    expect([listExpired(), listIds(roster)]).toEqual([['a'], ['b']]);
    roster.handleTick(30_000, true);
    expect(listExpired()).toEqual([]);
  });
});
