import { randomUUID } from 'node:crypto';
import { type Clock, ZoneBudget } from '@shallotpick/core';
import { SuspendAwareClock, SystemClock } from './clock.js';
import { ConfigurationHolder } from './configuration.js';
import { ConfigurationSource } from './configurationsource.js';
import type { ConfigurationVerifier } from './configurationverifier.js';
import { GroupDirectory } from './directory.js';
import { EraAwareStore } from './era.js';
import { Fleet } from './fleet.js';
import { FleetQuota } from './fleetquota.js';
import type { Forwarding } from './forwarding.js';
import { GroupService } from './group.js';
import { UnlimitedQuota } from './operationquota.js';
import { Placement } from './placement.js';
import { Proxy } from './proxy.js';
import type { ProxyParts } from './proxyparts.js';
import { ShutdownSchedule } from './shutdown.js';
import { createInstanceSource, createPromotionWatcher } from './sources.js';
import type { SourceReceivers } from './sourcewatcher.js';
import { Suspicion } from './suspicion.js';
import { TakeoverDriver } from './takeover.js';

/** Bytes a second that reads of one VM may exchange with other zones by choice. */
const DEFAULT_ZONE_BYTES_PER_SECOND = 250_000;

/** Services that all groups of a proxy share. */
interface SharedServices {
  readonly zoneBudget: ZoneBudget | undefined;
  readonly clock: Clock;
  /** Clock that includes suspensions of the VM. */
  readonly ageClock: Clock;
  readonly suspicion: Suspicion;
  readonly shutdown: ShutdownSchedule;
}

/** Parts that others call back before they are created. */
interface LateParts extends SourceReceivers {
  proxy?: Proxy;
  placement?: Placement;
  fleetQuota?: FleetQuota;
}

/** A proxy with the watchers that supply its configuration, instances and promotion records. */
export interface RunningProxy {
  readonly proxy: Proxy;
  readonly configuration: ConfigurationHolder;
  start(): Promise<void>;
  stopWatchers(): void;
}

function createSharedServices({
  zoneBytesPerSecond = DEFAULT_ZONE_BYTES_PER_SECOND,
}: ProxyParts): SharedServices {
  const clock = new SystemClock();
  return {
    clock,
    shutdown: new ShutdownSchedule(clock),
    ageClock: new SuspendAwareClock(),
    suspicion: new Suspicion(),
    zoneBudget: zoneBytesPerSecond > 0 ? new ZoneBudget(zoneBytesPerSecond) : undefined,
  };
}

function createFleet(
  { vm, zone, log, oddEntries, link, power, isFirstStart = false }: ProxyParts,
  store: EraAwareStore,
  clock: Clock,
  late: LateParts,
): Fleet {
  const fleet = new Fleet({
    ...{ vm, zone, store, clock, log, oddEntries, link, power, isFirstStart },
    random: Math.random,
    startedAt: Date.now(),
    onChange: () => late.placement?.update(),
  });
  store.addRestorationListener(() => fleet.handleRestoration());
  return fleet;
}

/** What the creation of the later parts rests on. */
interface Foundation {
  readonly parts: ProxyParts;
  readonly store: EraAwareStore;
  readonly shared: SharedServices;
  readonly fleet: Fleet;
  readonly placement: Placement;
  readonly configuration: ConfigurationHolder;
  readonly verifier: ConfigurationVerifier;
  readonly late: LateParts;
}

function createForwarding(foundation: Foundation): Forwarding | undefined {
  const { parts, shared, fleet, placement, verifier, late } = foundation;
  const { vm, zone, log, metrics } = parts;
  const { clock, ageClock, shutdown } = shared;
  return parts.createForwarding?.({
    ...{ vm, zone, clock, ageClock, log, metrics, shutdown },
    readProof: () => verifier.readProof(),
    handleProof: (proof) => verifier.handleProof(proof),
    readConfiguration: () => foundation.configuration.read(),
    handleVersion: (version) => verifier.handleVersion(version),
    findLocalGroup: (name) => late.groups?.findLocal(name),
    readStatus: () => late.proxy?.readHomeStatus() ?? { isIsolated: true, isDraining: false },
    findHomes: (group) => placement.findHomes(group, zone),
    listNearHomes: () => placement.listNearHomes(zone),
    answerPermits: (id, request) => late.fleetQuota?.answer(id, request),
    findVm: (id, host) => fleet.findVm(id, host),
  });
}

/** Creates the counts against rate limits; undefined where the VMs can't lend each other permits. */
function createFleetQuota(
  { parts, shared, fleet, configuration }: Foundation,
  forwarding: Forwarding | undefined,
): FleetQuota | undefined {
  const { vm, log, metrics, quotaRule: rule } = parts;
  if (!forwarding || !rule) return undefined;
  const { clock, ageClock } = shared;
  return new FleetQuota({
    ...{ vm, fleet, configuration, forwarding, clock, ageClock, log, metrics, rule },
    random: Math.random,
    isDraining: () => shared.shutdown.hasStarted(),
  });
}

function createGroups(
  { parts, store, shared, fleet, placement }: Foundation,
  forwarding: Forwarding | undefined,
  refreshInstances: () => Promise<void>,
): GroupDirectory {
  const { vm, zone, log, metrics, promotions, connector, drainMs, isFirstStart = false } = parts;
  const { clock } = shared;
  const common = { ...shared, log, metrics, connector };
  const takeoverParts = { vm, store, promotions, createAttempt: randomUUID, refreshInstances };
  return new GroupDirectory({
    ...{ clock, log, placement, forwarding, isFirstStart },
    isFleetKnown: () => fleet.hasSettled(),
    createGroup: (name) =>
      new GroupService({
        ...{ ...common, name, zone, drainMs },
        countVms: () => placement.countHomes(name),
        mustReserve: () => placement.mustForward(),
        createTakeover: (group) => new TakeoverDriver(group, { ...common, ...takeoverParts }),
      }),
  });
}

/** Creates a proxy and its watchers from the parts of a protocol adapter. */
export function createProxy(parts: ProxyParts): RunningProxy {
  const { vm, log, metrics } = parts;
  const late: LateParts = {};
  const store = new EraAwareStore({ store: parts.store, log, metrics });
  const shared = createSharedServices(parts);
  const { clock, ageClock } = shared;
  const configuration = new ConfigurationHolder();
  const fleet = createFleet(parts, store, clock, late);
  const placement = new Placement(vm, fleet);
  late.placement = placement;

  const sources = { parts, store, clock, ageClock, placement, configuration, receivers: late };
  const configurations = new ConfigurationSource(sources);
  const instances = createInstanceSource(sources);
  const promotions = createPromotionWatcher(sources);

  const { verifier } = configurations;
  const foundation = { parts, store, shared, fleet, placement, configuration, verifier, late };
  const forwarding = createForwarding(foundation);
  if (forwarding) late.forwarding = forwarding;
  const fleetQuota = createFleetQuota(foundation, forwarding);
  if (fleetQuota) late.fleetQuota = fleetQuota;
  const groups = createGroups(foundation, forwarding, instances.refresh);
  late.groups = groups;
  const proxy = new Proxy({
    ...{ clock, log, metrics, configuration, fleet, placement, groups, forwarding, verifier },
    shutdown: shared.shutdown,
    quota: fleetQuota ?? new UnlimitedQuota(),
    isRegistryReachable: () => instances.watcher.isReachable(),
  });
  late.proxy = proxy;

  const watchers = [configurations.watcher, instances.watcher, promotions];
  return {
    proxy,
    configuration,
    start: async () => {
      await proxy.start();
      watchers.forEach((watcher) => watcher.start());
      fleet.start();
      fleetQuota?.start();
    },
    stopWatchers: () => {
      watchers.forEach((watcher) => watcher.stop());
      fleetQuota?.stop();
    },
  };
}
