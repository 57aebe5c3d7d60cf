import { createServer } from 'node:net';
import { computeClientLimits, type RegisteredInstance } from '@shallotpick/core';
import {
  ClientGuard,
  createEngineLog,
  createProxy,
  type ForwardingHost,
  Metrics,
  OddEntryReporter,
  type ServiceConfiguration,
  type Session,
  ShutdownSchedule,
  type Statement,
  SystemClock,
  type VmAddress,
  wait,
} from '@shallotpick/engine';
/* eslint-disable import-x/no-relative-packages -- Test code of the engine is not in its package. */
import { FakeConnector, FakeInstance } from '../../engine/test/fake.js';
import {
  createConfiguration,
  FakePromotions,
  FakeStore,
  registerInstances,
} from '../../engine/test/store.js';
/* eslint-enable import-x/no-relative-packages */
import { LinkForwarding } from '../src/index.js';

const HEAP_BYTES = 256 * 1024 * 1024;
/** Fewer connections than VMs, so that only some VMs are homes. */
const CONNECTION_LIMIT = 6;
const CONFIGURATION = createConfiguration(CONNECTION_LIMIT, {
  timeoutMs: 900,
  transactionIdleMs: 5_000,
});

export const READ: Statement = { kind: 'read', text: 'READ a' };
export const WRITE: Statement = { kind: 'write', text: 'WRITE a b' };
export const BEGIN: Statement = { kind: 'begin', isReadOnly: false };
export const COMMIT: Statement = { kind: 'commit' };

/** One proxy of the fleet. */
export interface FleetVm {
  readonly id: string;
  readonly isHome: boolean;
  readonly isReady: boolean;
  readonly port: number;
  openSession(database: string): Session;
  drain(): Promise<void>;
  stop(): void;
}

/** Proxies on loopback that share a fake store and the fake instances of one group. */
export interface FakeFleet {
  readonly leader: FakeInstance;
  readonly replica: FakeInstance;
  readonly vms: readonly FleetVm[];
  /** Messages of the log lines of all VMs. */
  readonly messages: readonly string[];
  stop(): void;
}

export async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = server.address();
  server.close();
  return address && typeof address === 'object' ? address.port : 0;
}

function createGuard({ log, metrics }: ForwardingHost): ClientGuard {
  const limits = computeClientLimits(undefined, HEAP_BYTES);
  return new ClientGuard({ limits, log, registry: metrics.registry });
}

async function startVm(
  index: number,
  store: FakeStore,
  instances: readonly FakeInstance[],
  onMessage: (message: string) => void,
): Promise<FleetVm> {
  const id = `vm-${index}`;
  const log = createEngineLog('info', id);
  log.transports.forEach((transport) => Object.assign(transport, { silent: true }));
  log.on('data', ({ message }: { readonly message: string }) => onMessage(message));
  const link = { host: '127.0.0.1', port: await findFreePort() };
  const metrics = new Metrics();
  const running = createProxy({
    ...{ vm: id, zone: 'z', drainMs: 7_000, stableWindowMs: 4_000, configurationApplyMs: 3_000 },
    ...{ store, link, metrics, log },
    oddEntries: new OddEntryReporter({ clock: new SystemClock(), log, metrics }),
    createForwarding: (host) => new LinkForwarding(host, link, createGuard(host)),
    promotions: new FakePromotions(),
    connector: new FakeConnector(new Map(instances.map((one) => [one.id, one]))),
    configurationKind: 'configurations',
    configurationName: 'main',
    instancesKind: 'instances',
    decodeConfiguration: ({ spec }) => spec as ServiceConfiguration,
    decodeInstance: ({ spec }) => spec as RegisteredInstance,
  });
  await running.start();
  const { proxy } = running;
  return {
    id,
    port: link.port,
    get isHome() {
      return proxy.isHomeOf('g');
    },
    get isReady() {
      return proxy.isReady();
    },
    openSession: (database) => proxy.createSession(database, 'caller'),
    drain: () => proxy.drain(4_000),
    stop: () => {
      running.stopWatchers();
      proxy.stop();
    },
  };
}

/** Creates the forwarding service of a VM without groups, its guard, and the errors that it logs. */
export function createForwarding(
  port: number,
  homes: readonly VmAddress[] = [],
  overrides: Partial<ForwardingHost> = {},
) {
  const errors: string[] = [];
  const log = createEngineLog('error', 'test');
  log.on('data', ({ message }: { readonly message: string }) => errors.push(message));
  const host: ForwardingHost = {
    ...{ vm: 'test', zone: 'z', clock: new SystemClock(), log, metrics: new Metrics() },
    shutdown: new ShutdownSchedule(new SystemClock()),
    ...{ ageClock: new SystemClock(), readProof: () => undefined, handleProof: () => undefined },
    handleVersion: () => undefined,
    readConfiguration: () => undefined,
    findLocalGroup: () => undefined,
    readStatus: () => ({ isIsolated: false, isDraining: false }),
    findHomes: () => homes,
    listNearHomes: () => homes,
    answerPermits: () => undefined,
    findVm: async () => undefined,
    ...overrides,
  };
  const guard = createGuard(host);
  const forwarding = new LinkForwarding(host, { host: '127.0.0.1', port }, guard);
  return { forwarding, guard, errors };
}

/** Starts a fleet and waits until its VMs know each other. */
export async function startFleet(vmCount = CONNECTION_LIMIT + 1): Promise<FakeFleet> {
  const leader = new FakeInstance('leader');
  const replica = new FakeInstance('replica');
  leader.isLeader = true;
  leader.replicas = [replica];
  const store = new FakeStore();
  store.put('configurations', 'main', CONFIGURATION);
  registerInstances(store, [leader, replica], CONNECTION_LIMIT);
  const messages: string[] = [];
  const starts = Array.from({ length: vmCount }, (_, index) =>
    startVm(index, store, [leader, replica], (message) => messages.push(message)),
  );
  const vms = await Promise.all(starts);
  while (vms.filter(({ isHome }) => isHome).length !== 2) await wait(20);
  while (!vms.every(({ isReady }) => isReady)) await wait(20);
  return { leader, replica, vms, messages, stop: () => vms.forEach((vm) => vm.stop()) };
}
