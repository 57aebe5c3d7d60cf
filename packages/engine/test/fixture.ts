import type { RegisteredInstance } from '@shallotpick/core';
import {
  createEngineLog,
  createProxy,
  Metrics,
  OddEntryReporter,
  type Proxy,
  type ServiceConfiguration,
  type Session,
  SystemClock,
  wait,
} from '../src/index.js';
import { FakeConnector, FakeInstance } from './fake.js';
import { createConfiguration, FakePromotions, FakeStore, registerInstances } from './store.js';

const CONNECTION_LIMIT = 20;
const CONFIGURATION = createConfiguration(CONNECTION_LIMIT, {
  timeoutMs: 600,
  transactionIdleMs: 300,
});

/** A running proxy with its fake instances. */
export interface Fixture {
  readonly store: FakeStore;
  readonly promotions: FakePromotions;
  readonly leader: FakeInstance;
  readonly replica: FakeInstance;
  /** A second replica, if the fixture was created with one. */
  readonly other: FakeInstance;
  readonly proxy: Proxy;
  createSession(database: string): Session;
  /** Creates the session of a caller that never pauses for long enough to count as idle. */
  createBusySession(database: string): Session;
  stop(): void;
}

/**
 * Creates a proxy with a leader and a replica, or two, and waits for the first probes. `further`
 * instances are reached once a test registers them.
 */
export async function createFixture(
  hasOther = false,
  further: readonly FakeInstance[] = [],
): Promise<Fixture> {
  const leader = new FakeInstance('leader');
  const replica = new FakeInstance('replica');
  const other = new FakeInstance('other');
  leader.isLeader = true;
  leader.replicas = hasOther ? [replica, other] : [replica];
  const instances = [leader, ...leader.replicas];
  const store = new FakeStore();
  const promotions = new FakePromotions();
  store.put('configurations', 'main', CONFIGURATION);
  registerInstances(store, instances, CONNECTION_LIMIT);
  const log = createEngineLog('error', 'test');
  const metrics = new Metrics();
  const running = createProxy({
    ...{
      vm: 'vm',
      zone: 'z',
      drainMs: 7_000,
      stableWindowMs: 4_000,
      configurationApplyMs: 3_000,
      store,
      log,
      metrics,
    },
    oddEntries: new OddEntryReporter({ clock: new SystemClock(), log, metrics }),
    promotions,
    connector: new FakeConnector(new Map([...instances, ...further].map((one) => [one.id, one]))),
    configurationKind: 'configurations',
    configurationName: 'main',
    instancesKind: 'instances',
    decodeConfiguration: ({ spec }) => spec as ServiceConfiguration,
    decodeInstance: ({ spec }) => spec as RegisteredInstance,
  });
  running.start();
  await wait(250);
  return {
    ...{ store, promotions, leader, replica, other },
    proxy: running.proxy,
    createSession: (database) => running.proxy.createSession(database, 'caller'),
    createBusySession: (database) => {
      const session = running.proxy.createSession(database, 'caller');
      running.proxy.addCaller({ session, isQuiescent: () => false, close: () => undefined });
      return session;
    },
    stop: () => {
      running.stopWatchers();
      running.proxy.stop();
    },
  };
}
