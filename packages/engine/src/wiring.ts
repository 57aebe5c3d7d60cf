import { randomUUID } from 'node:crypto';
import { type Clock, type Millis, type RegisteredInstance, ZoneBudget } from '@shallotpick/core';
import { SuspendAwareClock, SystemClock } from './clock.js';
import { ConfigurationHolder, type ServiceConfiguration } from './configuration.js';
import { ConfigurationVerifier } from './configurationverifier.js';
import type { InstanceConnector } from './connection.js';
import { Fleet } from './fleet.js';
import { ObjectWatcher, type ObjectWatcherOptions } from './watcher.js';
import { EraAwareStore } from './era.js';
import { StoreError } from './errors.js';
import { GroupDirectory } from './directory.js';
import type { CreateForwarding } from './forwarding.js';
import { GroupService } from './group.js';
import { UnlimitedQuota } from './operationquota.js';
import { Placement } from './placement.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import type { OddEntryReporter } from './oddentries.js';
import { Proxy } from './proxy.js';
import type { ObjectStore, PromotionService, StoredObject } from './store.js';
import { Suspicion } from './suspicion.js';
import { PROMOTIONS_KIND, TakeoverDriver } from './takeover.js';

/** Fraction of the time allowed for applying a change that one watch call may take. */
const WATCH_FRACTION = 0.6;
/**
 * A key is given up this long before the time limit for its revocation, which covers the way of a
 * request from its caller.
 */
const REVOCATION_MARGIN_MS: Millis = 500;
/**
 * A VM that is no home is told of a new configuration by homes, too, so that a lost watch call of its
 * own does not delay the configuration.
 */
const ENTRY_WATCH_MS: Millis = 25_000;
/** Time beyond its wait in which a watch call is answered and the next one has a proof. */
const WATCH_ANSWER_MS: Millis = 1_500;
/** Promotion records are written conditionally, so reading one late does no harm. */
const PROMOTIONS_WATCH_MS: Millis = 12_000;

/** Bytes a second that reads of one VM may exchange with other zones by choice. */
const DEFAULT_ZONE_BYTES_PER_SECOND = 250_000;

/** Settings, services and decoders that a protocol adapter supplies. */
export interface ProxyParts {
  readonly vm: string;
  readonly zone: string;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly oddEntries: OddEntryReporter;
  readonly store: ObjectStore;
  readonly promotions: PromotionService;
  readonly connector: InstanceConnector;
  /** Where this VM accepts the links of other VMs; absent when it serves every group itself. */
  readonly link?: { readonly host: string; readonly port: number };
  readonly createForwarding?: CreateForwarding;
  /** True when all VMs start together; a VM then waits for the others before it connects. */
  readonly isFirstStart?: boolean;
  /** How long a leaving instance may still receive work. */
  readonly drainMs: Millis;
  /** Time after a disturbance in which no time bound applies, so a lost watch may last as long. */
  readonly stableWindowMs: Millis;
  /** Time limit for a new configuration to be in force on every VM. */
  readonly configurationApplyMs: Millis;
  /** How much work this VM can do, in cores. */
  readonly power?: number | undefined;
  /** Time limit for a revoked key to be refused, also by VMs that can't reach the store. */
  readonly revocationMs?: Millis | undefined;
  /** Bytes a second of reads that may leave the zone; 0 keeps them there while an instance can serve them. */
  readonly zoneBytesPerSecond?: number | undefined;
  /** Store kind of the operator's configuration. */
  readonly configurationKind: string;
  /** Store kind of the objects by which instances register. */
  readonly instancesKind: string;
  /** Decodes a configuration; undefined when the object isn't a usable one. */
  readonly decodeConfiguration: (object: StoredObject) => ServiceConfiguration | undefined;
  /** Decodes a registered instance; undefined when the object isn't a usable one. */
  readonly decodeInstance: (object: StoredObject) => RegisteredInstance | undefined;
}

/** Services that all groups of a proxy share. */
interface SharedServices {
  readonly zoneBudget: ZoneBudget | undefined;
  readonly clock: Clock;
  readonly ageClock: Clock;
  readonly suspicion: Suspicion;
}

/** Parts that others call back before they are created. */
interface LateParts {
  proxy?: Proxy;
  groups?: GroupDirectory;
  placement?: Placement;
  verifier?: ConfigurationVerifier;
}

/** A proxy with the watchers that supply its configuration, instances and promotion records. */
export interface RunningProxy {
  readonly proxy: Proxy;
  readonly configuration: ConfigurationHolder;
  start(): Promise<void>;
  stopWatchers(): void;
}

function createGroup(
  name: string,
  parts: ProxyParts,
  shared: SharedServices,
  placement: Placement,
  refreshInstances: () => Promise<void>,
): GroupService {
  const { vm, zone, log, metrics, store, promotions, connector, drainMs } = parts;
  const common = { ...shared, log, metrics, connector };
  return new GroupService({
    ...common,
    ...{ name, zone, drainMs },
    countVms: () => placement.countHomes(name),
    mustReserve: () => placement.mustForward(),
    createTakeover: (group) =>
      new TakeoverDriver(group, {
        ...common,
        ...{ vm, store, promotions, createAttempt: randomUUID, refreshInstances },
      }),
  });
}

/** Creates a proxy and its watchers from the parts of a protocol adapter. */
export function createProxy(parts: ProxyParts): RunningProxy {
  const { vm, zone, log, metrics, oddEntries, drainMs, isFirstStart = false } = parts;
  const store = new EraAwareStore({ store: parts.store, log, metrics });
  const clock = new SystemClock();
  const suspicion = new Suspicion();
  const { zoneBytesPerSecond = DEFAULT_ZONE_BYTES_PER_SECOND } = parts;
  const zoneBudget = zoneBytesPerSecond > 0 ? new ZoneBudget(zoneBytesPerSecond) : undefined;
  const ageClock = new SuspendAwareClock();
  const shared: SharedServices = { clock, ageClock, suspicion, zoneBudget };
  const configuration = new ConfigurationHolder();
  const holder: LateParts = {};
  const fleet = new Fleet({
    ...{ vm, zone, store, clock, log, oddEntries, link: parts.link, power: parts.power },
    random: Math.random,
    startedAt: Date.now(),
    isFirstStart,
    onChange: () => holder.placement?.update(),
  });
  store.addRestorationListener(() => fleet.handleRestoration());
  const placement = new Placement(vm, fleet);
  holder.placement = placement;
  const isHomeNow = (): boolean => holder.groups?.mayPlace() === true && placement.isAnyHome();
  const createWatcher = (
    kind: string,
    findWatchTime: () => Millis,
    onListing: ObjectWatcherOptions['onListing'],
    onChange: ObjectWatcherOptions['onChange'],
    onAnswer: ObjectWatcherOptions['onAnswer'] = () => undefined,
    watcherClock: Clock = clock,
  ): ObjectWatcher =>
    new ObjectWatcher({
      kind,
      findWatchTime,
      store,
      clock: watcherClock,
      log,
      random: Math.random,
      countWatchers: () => (kind === parts.instancesKind ? placement.countPool() : 1),
      isNeeded: () => kind === parts.configurationKind || isHomeNow(),
      onListing,
      onChange,
      onAnswer,
    });

  const { revocationMs } = parts;
  const handleConfiguration = (object: StoredObject): void => {
    const decoded = parts.decodeConfiguration(object);
    holder.verifier?.handleStoredVersion(decoded?.version);
    if (decoded) configuration.update(decoded);
  };
  const configurationWatchMs = (parts.configurationApplyMs + parts.stableWindowMs) * WATCH_FRACTION;
  const verifier = new ConfigurationVerifier({
    ...{ configuration, ageClock: shared.ageClock, log, metrics },
    leaseMs: revocationMs === undefined ? undefined : revocationMs - REVOCATION_MARGIN_MS,
    findRank: () => placement.findReaderRank(zone),
    maxProofAgeMs: 2 * configurationWatchMs + WATCH_ANSWER_MS,
    readConfiguration: async () => {
      const { objects, isPartial } = await store.list(parts.configurationKind);
      objects.forEach(handleConfiguration);
      if (isPartial) throw new StoreError('the list of configurations is partial');
    },
  });
  holder.verifier = verifier;
  const configurations = createWatcher(
    parts.configurationKind,
    () => (placement.isAnyHome() ? configurationWatchMs : ENTRY_WATCH_MS),
    (objects) => objects.forEach(handleConfiguration),
    (object, isDeleted) => {
      if (!isDeleted) handleConfiguration(object);
    },
    (askedAt) => verifier.handleAnswer(askedAt),
    shared.ageClock,
  );
  const handleInstances = (
    objects: readonly StoredObject[],
    _: number,
    isPartial: boolean,
  ): void => {
    const decoded = objects.flatMap((object) => parts.decodeInstance(object) ?? []);
    const roster = holder.proxy?.roster;
    if (isPartial) decoded.forEach((instance) => roster?.update(instance));
    else roster?.updateAll(decoded, clock.readNow());
  };
  const refreshInstances = async (): Promise<void> => {
    const { objects, era, isPartial = false } = await store.list(parts.instancesKind);
    handleInstances(objects, era, isPartial);
    holder.proxy?.applyRoster();
  };
  const watchMs = (drainMs + parts.stableWindowMs) * WATCH_FRACTION;
  const instances = createWatcher(
    parts.instancesKind,
    () => watchMs,
    handleInstances,
    (object, isDeleted) => {
      const decoded = isDeleted ? undefined : parts.decodeInstance(object);
      if (decoded) holder.proxy?.roster.update(decoded);
      else holder.proxy?.roster.remove(object.name, clock.readNow());
    },
  );
  const handlePromotion = (object: StoredObject, era: number): void =>
    holder.groups?.findLocal(object.name)?.takeover.handleRecordObject(object, era);
  const promotions = createWatcher(
    PROMOTIONS_KIND,
    () => PROMOTIONS_WATCH_MS,
    (objects, era, isPartial) => {
      objects.forEach((object) => handlePromotion(object, era));
      if (isPartial) return;
      const names = new Set(objects.map(({ name }) => name));
      const lost = holder.groups?.listLocal().filter(({ name }) => !names.has(name)) ?? [];
      lost.forEach(({ takeover }) => takeover.handleRecordObject(undefined, era));
    },
    (object, isDeleted, era) => {
      if (!isDeleted) handlePromotion(object, era);
    },
    (askedAt) =>
      holder.groups?.listLocal().forEach(({ takeover }) => takeover.handleAnswer(askedAt)),
  );
  const forwarding = parts.createForwarding?.({
    ...{ vm, zone, clock, ageClock: shared.ageClock, log, metrics },
    readProof: () => verifier.readProof(),
    handleProof: (proof) => verifier.handleProof(proof),
    findLocalGroup: (name) => holder.groups?.findLocal(name),
    readStatus: () => holder.proxy?.readHomeStatus() ?? { isIsolated: true, isDraining: false },
    findHomes: (group) => placement.findHomes(group, zone),
    listNearHomes: () => placement.listNearHomes(zone),
    findVm: (id, host) => fleet.findVm(id, host),
  });
  const quota = new UnlimitedQuota();
  const groups = new GroupDirectory({
    ...{ clock, log, placement, forwarding },
    createGroup: (name) =>
      createGroup(name, { ...parts, store }, shared, placement, refreshInstances),
    isFleetKnown: () => fleet.hasSettled(),
    isFirstStart,
  });
  holder.groups = groups;
  const proxy = new Proxy({
    ...{ clock, log, metrics, configuration, fleet, placement, groups, forwarding, quota },
    verifier,
    isRegistryReachable: () => instances.isReachable(),
  });
  holder.proxy = proxy;
  const watchers = [configurations, instances, promotions];
  return {
    proxy,
    configuration,
    start: async () => {
      await proxy.start();
      watchers.forEach((watcher) => watcher.start());
      fleet.start();
    },
    stopWatchers: () => watchers.forEach((watcher) => watcher.stop()),
  };
}
