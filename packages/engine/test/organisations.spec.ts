import { expect } from 'earl';
import { RetryBudgets } from '@shallotpick/core';
import {
  CallerIdentity,
  ConfigurationHolder,
  createEngineLog,
  type GroupAccess,
  type Lease,
  Metrics,
  OrganisationIndex,
  Session,
  ShutdownSchedule,
  SystemClock,
  UnlimitedQuota,
} from '../src/index.js';
import { createConfiguration } from './store.js';

const LIMIT = { ratePerSecond: 10, burst: 5 };
const NO_RETRIES = { ratio: 0, capacity: 0 };
const BASE = createConfiguration(6, { timeoutMs: 100, transactionIdleMs: 100 });
const [ROUTE] = BASE.routes.values();

function createIdentity(key: string, areKeysInForce = true) {
  const configuration = new ConfigurationHolder();
  const put = (version: number, keys: readonly string[] | undefined): void => {
    const organisations =
      keys && new OrganisationIndex([{ name: 'north', keys, rateLimit: LIMIT }]);
    configuration.update({ ...BASE, version, organisations });
  };
  return { put, identity: new CallerIdentity(key, configuration, () => areKeysInForce) };
}

describe('the organisations of a configuration', () => {
  it('are found by each of their keys', () => {
    const index = new OrganisationIndex([{ name: 'north', keys: ['a', 'b'], rateLimit: LIMIT }]);
    expect(['a', 'b', 'c'].map((key) => index.findByKey(key)?.name)).toEqual([
      'north',
      'north',
      undefined,
    ]);
  });

  // Work of one organisation must never run in the name of another.
  it('are not found by a key that two of them hold', () => {
    const index = new OrganisationIndex([
      { name: 'north', keys: ['shared', 'a'], rateLimit: undefined },
      { name: 'south', keys: ['shared'], rateLimit: undefined },
    ]);
    expect(index.findByKey('shared')).toEqual(undefined);
    expect(index.findByKey('a')?.name).toEqual('north');
    expect(index.sharedKeys).toEqual(1);
  });

  // Keys of an entry that a later one replaces are taken for gone by their author.
  it('lose the keys of an entry that a later one of the same name replaces', () => {
    const index = new OrganisationIndex([
      { name: 'north', keys: ['old'], rateLimit: undefined },
      { name: 'north', keys: ['new'], rateLimit: LIMIT },
    ]);
    expect(index.findByKey('old')).toEqual(undefined);
    expect(index.findByKey('new')?.rateLimit).toEqual(LIMIT);
  });

  it('may hold one key twice', () => {
    const index = new OrganisationIndex([{ name: 'north', keys: ['a', 'a'], rateLimit: LIMIT }]);
    expect(index.findByKey('a')?.name).toEqual('north');
  });
});

describe('the identity of a caller', () => {
  it('needs no key where the configuration names no organisations', () => {
    const { put, identity } = createIdentity('anything');
    put(1, undefined);
    expect(ROUTE && identity.authorize(ROUTE)).toEqual({
      kind: 'allowed',
      organisation: undefined,
    });
  });

  it('needs no key on an anonymous route', () => {
    const { put, identity } = createIdentity('unknown', false);
    put(1, ['a']);
    const route = ROUTE && { ...ROUTE, isAnonymous: true };
    expect(route && identity.authorize(route).kind).toEqual('allowed');
  });

  // A session that stays open must not outlive its key.
  it('ends with its key and returns with it', () => {
    const { put, identity } = createIdentity('a');
    const authorize = () => ROUTE && identity.authorize(ROUTE).kind;
    put(1, ['a']);
    const before = authorize();
    put(2, ['b']);
    const without = authorize();
    put(3, ['b', 'a']);
    expect([before, without, authorize()]).toEqual(['allowed', 'refused', 'allowed']);
  });

  it('is refused as not run while the keys in force are not known', () => {
    const { put, identity } = createIdentity('a', false);
    put(1, ['a']);
    const authorization = ROUTE && identity.authorize(ROUTE);
    expect(authorization?.kind === 'refused' && authorization.failure.verdict).toEqual(
      'overloaded',
    );
  });
});

describe('a session of an organisation', () => {
  let isProved = true;

  beforeEach(() => {
    isProved = true;
  });

  const createSession = (onAdmit: (configuration: ConfigurationHolder) => void) => {
    const configuration = new ConfigurationHolder();
    const released: string[] = [];
    const lease = {
      connection: { isUsable: () => false },
      release: () => released.push('lease'),
    } as unknown as Lease;
    const group = {
      admit: async () => {
        onAdmit(configuration);
        return lease;
      },
    } as unknown as GroupAccess;
    const session = new Session({
      ...{ configuration, database: ROUTE?.database ?? '', caller: 'caller-1' },
      identity: new CallerIdentity('a', configuration, () => true),
      describeProof: () => ({ version: configuration.read()?.version, provedMsAgo: 0 }),
      requestProof: () => isProved,
      clock: new SystemClock(),
      log: createEngineLog('error', 'vm'),
      metrics: new Metrics(),
      findGroup: () => group,
      retries: new RetryBudgets({ total: NO_RETRIES, organisation: NO_RETRIES }),
      quota: new UnlimitedQuota(),
      shutdown: new ShutdownSchedule(new SystemClock()),
    });
    return { configuration, released, session };
  };
  const put = (configuration: ConfigurationHolder, version: number, name: string, key: string) => {
    const organisations = new OrganisationIndex([{ name, keys: [key], rateLimit: undefined }]);
    configuration.update({ ...BASE, version, organisations });
  };

  // Work that had waited for a connection ran after its key was revoked.
  it('starts no work whose key was revoked while the work waited', async () => {
    const { configuration, released, session } = createSession((it) => put(it, 2, 'north', 'b'));
    put(configuration, 1, 'north', 'a');
    const { failure } = await session.run({ id: '1', statement: { kind: 'read', text: 'READ a' } });
    expect([failure?.verdict, released]).toEqual(['unauthenticated', ['lease']]);
  });

  // A VM that was behind denied a database that had been added again.
  it('is not told by an unproved version that its database is gone', async () => {
    const { configuration, session } = createSession(() => undefined);
    configuration.update({ ...BASE, version: 1, routes: new Map() });
    const read = async () =>
      (await session.run({ id: '1', statement: { kind: 'read', text: 'READ a' } })).failure;
    const proved = await read();
    isProved = false;
    const verdicts = [proved?.verdict, (await read())?.verdict];
    expect(verdicts).toEqual(['unknownDatabase', 'overloaded']);
  });

  // An open transaction went on in the name of an organisation that no longer had the key.
  it('ends its transaction when the key moves to another organisation', async () => {
    const { configuration, session } = createSession(() => undefined);
    put(configuration, 1, 'north', 'a');
    await session.run({ id: '1', statement: { kind: 'begin', isReadOnly: false } });
    put(configuration, 2, 'south', 'a');
    const { failure, state } = await session.run({ id: '2', statement: { kind: 'commit' } });
    expect({ failure, state }).toEqual({
      failure: { verdict: 'overloaded', reason: 'the key has moved to another organisation' },
      state: 'idle',
    });
  });
});
