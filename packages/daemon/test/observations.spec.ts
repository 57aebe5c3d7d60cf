import { expect } from 'earl';
import { FixedMembership, type PrimaryObservation, type RecordUpdate } from '@shallotpick/core';
import { ObservationFeature, type ObservedGroup } from '../src/observations.js';
import { mergeExchanges } from '../src/peerexchange.js';

const toVm = (index: number) => ({
  id: `vm-${index}`,
  zone: `z-${index % 3}`,
  host: '127.0.0.1',
  peerPort: 1 + index,
});

class FakeGroup implements ObservedGroup {
  reachable = true;

  readonly received: PrimaryObservation[] = [];

  constructor(
    readonly name: string,
    private readonly vm: string,
  ) {}

  findObservation(now: number): PrimaryObservation {
    const { name: group, vm, reachable } = this;
    return { vm, zone: 'z', group, term: 1, reachable, observedAt: now };
  }

  handleObservation(observation: PrimaryObservation): void {
    this.received.push(observation);
  }
}

function createNode(index: number, fleet: number) {
  const others = Array.from({ length: fleet }, (_, number) => toVm(number)).filter(
    ({ id }) => id !== `vm-${index}`,
  );
  const groups = Array.from(
    { length: 3 },
    (_, number) => new FakeGroup(`g-${number}`, `vm-${index}`),
  );
  const records: RecordUpdate[] = [];
  const handled: string[] = [];
  const feature = new ObservationFeature({
    membership: new FixedMembership(toVm(index), others),
    listGroups: () => groups,
    listRecords: () => records,
    handleRecord: (record, version) => handled.push(`${record.group}@${version}`),
  });
  return { feature, groups, records, handled };
}

const toRecord = (group: string, version: number): RecordUpdate => ({
  record: { group, term: 1, phase: 'named', primary: 'i', attempt: 'a', writer: 'vm-9' },
  version,
});

describe('ObservationFeature', () => {
  // Guards against a failover based on the observations of one zone only, and lost records.
  it('sends observations of each primary and the group records to peers', () => {
    const [a, b] = [createNode(0, 4), createNode(1, 4)];
    a.records.push(toRecord('g-0', 5));
    b.feature.handle(mergeExchanges('vm-0', 0, [a.feature.collect('vm-1', undefined, 10)]));
    expect(b.groups.map(({ received }) => received.map(({ vm }) => vm))).toEqual([
      ['vm-0'],
      ['vm-0'],
      ['vm-0'],
    ]);
    expect(b.handled).toEqual(['g-0@5']);
  });

  // Guards against reporting a lost primary only in the next round, or in every round.
  it('reports each change of a primary once', () => {
    const { feature, groups } = createNode(0, 4);
    expect(feature.hasUpdates(0)).toEqual(false);
    groups.slice(0, 1).forEach((group) => Object.assign(group, { reachable: false }));
    expect([feature.hasUpdates(1), feature.hasUpdates(2)]).toEqual([true, false]);
    groups.slice(0, 1).forEach((group) => Object.assign(group, { reachable: true }));
    expect([feature.hasUpdates(3), feature.hasUpdates(4)]).toEqual([true, false]);
  });

  // Guards against messages that grow with the fleet, and a false report that is not contradicted.
  it('reports only unreachable primaries in a large fleet, and contradicts a wrong report', () => {
    const [a, b] = [createNode(0, 100), createNode(1, 100)];
    expect(a.feature.collect('vm-1', undefined, 0).observations).toEqual([]);
    a.groups.slice(0, 1).forEach((group) => Object.assign(group, { reachable: false }));
    a.feature.hasUpdates(0);
    const watcher = a.feature.listFailoverVms()[0] ?? '';
    const report = mergeExchanges('vm-0', 0, [a.feature.collect(watcher, undefined, 0)]);
    expect(report.observations.map(({ group }) => group)).toEqual(['g-0']);
    const response = b.feature.collect('vm-0', report, 0).observations;
    expect(response.map(({ group, reachable }) => [group, reachable])).toEqual([['g-0', true]]);
  });

  // Guards against records that are never sent because a message holds only a few.
  it('sends every record within a few rounds', () => {
    const { feature, records } = createNode(0, 4);
    records.push(...Array.from({ length: 50 }, (_, index) => toRecord(`g-${index}`, 1)));
    const sent = new Set<string>();
    for (let round = 0; round < 12; round++) {
      const part = feature.collect('vm-1', undefined, round * 20_000);
      expect(part.records.length <= 16).toEqual(true);
      part.records.forEach(({ record }) => sent.add(record.group));
    }
    expect(sent.size).toEqual(50);
  });
});
