import { DEFAULT_CONTRACT } from '@shallotpick/core';
import { expect } from 'earl';
import { checkConfiguration, compareDrafts, type ConfigurationDraft } from '../src/index.js';

const ROUTE = {
  ...{ database: 'orders', group: 'g', contract: { ...DEFAULT_CONTRACT, name: 'primary' } },
  ...{ readsOwnWrites: true, timeoutMs: 800, targetLatencyMs: 200, priority: 1 },
};
const GROUP = { name: 'g', connectionLimit: 16, synchronousReplicas: 1 };
const NORTH = { name: 'north', keys: ['a'], rateLimit: { ratePerSecond: 5, burst: 5 } };
const SOUND: ConfigurationDraft = {
  ...{ version: 7, routes: [ROUTE], groups: [GROUP], transactionIdleMs: 3_000 },
  organisations: [NORTH],
};

const check = (change: Partial<ConfigurationDraft>) =>
  checkConfiguration({ ...SOUND, ...change }).map(
    ({ severity, category, subject, reason }) => `${severity} ${category} ${subject}: ${reason}`,
  );

describe('checkConfiguration', () => {
  it('finds nothing in a sound configuration', () => {
    expect(check({})).toEqual([]);
  });

  // Only the last of two entries with one name counts, which their author rarely means.
  it('finds entries that stand twice', function () {
    expect(
      check({ routes: [ROUTE, ROUTE], groups: [GROUP, GROUP], organisations: [NORTH, NORTH] }),
    ).toMatchSnapshot(this);
  });

  it('finds entries that can never match', function () {
    const routes = [{ ...ROUTE, group: 'missing', isAnonymous: true }];
    const organisations = [{ ...NORTH, keys: [] }];
    expect(check({ routes, organisations })).toMatchSnapshot(this);
  });

  it('finds limits that contradict each other', function () {
    const contract = { ...DEFAULT_CONTRACT, name: 'bounded', maxAgeMs: 0 };
    const routes = [
      { ...ROUTE, targetLatencyMs: 900 },
      { ...ROUTE, database: 'never', timeoutMs: 0 },
      { ...ROUTE, database: 'reads', contract },
    ];
    const organisations = [
      { ...NORTH, keys: ['shared'] },
      { name: 'south', keys: ['shared'], rateLimit: { ratePerSecond: 3, burst: 0 } },
      { name: 'idle', keys: ['c'], rateLimit: { ratePerSecond: 0, burst: 0 } },
    ];
    expect(check({ routes, organisations, transactionIdleMs: 0 })).toMatchSnapshot(this);
  });
});

describe('compareDrafts', () => {
  it('says what differs and what it means for callers', function () {
    const next: ConfigurationDraft = {
      ...SOUND,
      version: 9,
      transactionIdleMs: 1_000,
      routes: [
        { ...ROUTE, timeoutMs: 500, group: 'other' },
        { ...ROUTE, database: 'stock' },
      ],
      groups: [{ ...GROUP, name: 'other' }],
      organisations: [{ ...NORTH, keys: ['b'], rateLimit: { ratePerSecond: 1, burst: 1 } }],
    };
    expect(compareDrafts(SOUND, next)).toMatchSnapshot(this);
  });

  // A process never goes back to an older version, so such a configuration would change nothing.
  it('says that a version which does not rise is ignored', () => {
    const [first] = compareDrafts(SOUND, SOUND);
    expect(first?.effect.includes('will be ignored')).toEqual(true);
  });
});
