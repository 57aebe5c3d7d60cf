import { OrganisationIndex, type ServiceConfiguration, wait } from '@shallotpick/engine';
import { expect } from 'earl';
/* eslint-disable import-x/no-relative-packages -- Test code of the engine is not in its package. */
import { createConfiguration } from '../../engine/test/store.js';
/* eslint-enable import-x/no-relative-packages */
import { toPassedConfiguration } from '../src/configurationschema.js';
import { FakeEntry, type FakeHome, startHome } from './linkpair.js';

/** Until a ping and its answer have passed. */
const PING_MS = 700;
const KEY = 'secret-of-north';
/** More than the frames of a link hold. */
const MANY_KEYS = 200_000;
const RATE = { ratePerSecond: 5, burst: 2 };

const CONFIGURATION: ServiceConfiguration = {
  ...createConfiguration(6, { timeoutMs: 100, transactionIdleMs: 100 }),
  version: 7,
  organisations: new OrganisationIndex([
    { name: 'north', keys: [KEY], rateLimit: RATE },
    { name: 'south', keys: [], rateLimit: undefined },
  ]),
};

describe('a configuration that is passed on', () => {
  let home: FakeHome;
  let entry: FakeEntry;

  beforeEach(async () => {
    home = await startHome('home');
    entry = new FakeEntry([home.address]);
  });

  afterEach(() => {
    entry.stop();
    home.stop();
  });

  // A VM that the store turned away kept an old version although other VMs had the next one.
  it('arrives whole, with the age of its proof', async () => {
    home.configuration = CONFIGURATION;
    await wait(PING_MS);
    const sentAt = performance.now();
    const passed = await entry.forwarding.requestConfiguration(6);
    const { routes, groups, version, organisations } = passed!.configuration;
    expect({ routes, groups, version }).toEqual({
      routes: CONFIGURATION.routes,
      groups: CONFIGURATION.groups,
      version: 7,
    });
    expect(organisations?.findByKey(KEY)).toEqual({ name: 'north', rateLimit: RATE });
    expect(organisations?.list().map(({ name }) => name)).toEqual(['north', 'south']);
    expect(sentAt - passed!.provedAt! >= 600).toEqual(true);
  });

  it('is asked of no VM that has proved no later version', async () => {
    home.configuration = CONFIGURATION;
    await wait(PING_MS);
    expect(await entry.forwarding.requestConfiguration(7)).toEqual(undefined);
  });

  // An answer that a link does not take closed it, with the work of all callers.
  it('is kept back, beside the other work of the link, when it is too large', async () => {
    const keys = Array.from({ length: MANY_KEYS }, (_, index) => String(index));
    const organisations = new OrganisationIndex([{ name: 'north', keys, rateLimit: undefined }]);
    home.configuration = { ...CONFIGURATION, organisations };
    await wait(PING_MS);
    expect(await entry.forwarding.requestConfiguration(6)).toEqual(undefined);
    home.configuration = CONFIGURATION;
    expect((await entry.forwarding.requestConfiguration(6))?.configuration.version).toEqual(7);
  });

  // Keys leave a process in no message.
  it('tells no key', () => {
    const text = JSON.stringify(toPassedConfiguration(CONFIGURATION));
    expect([text.includes('north'), text.includes(KEY)]).toEqual([true, false]);
  });
});
