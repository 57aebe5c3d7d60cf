import type { Clock, Millis } from '@shallotpick/core';
import type { ConfigurationHolder, ServiceConfiguration } from './configuration.js';
import { ConfigurationVerifier } from './configurationverifier.js';
import type { GroupDirectory } from './directory.js';
import type { EraAwareStore } from './era.js';
import { StoreError } from './errors.js';
import type { Forwarding } from './forwarding.js';
import type { Placement } from './placement.js';
import type { Proxy } from './proxy.js';
import type { ProxyParts } from './proxyparts.js';
import type { StoredObject } from './store.js';
import { PROMOTIONS_KIND } from './takeover.js';
import {
  MAX_WATCH_PAUSE_MS,
  ObjectWatcher,
  type ObjectWatcherOptions,
  type StoreAnswer,
} from './watcher.js';

/** Time after the wait of a lost watch call in which it is given up and its kind is listed. */
const LOST_WATCH_MS: Millis = 1_500;
/** Shorter calls would cost too many of them. */
const MIN_WATCH_MS: Millis = 1_000;
/**
 * A proof is given up this long before the time limit for a new version or for a revocation, which
 * covers the way of a request from its caller.
 */
const PROOF_MARGIN_MS: Millis = 500;
/**
 * A VM that is no home is told of a new configuration by homes, too, so that a lost watch call of its
 * own does not delay the configuration.
 */
const ENTRY_WATCH_MS: Millis = 25_000;
/** Promotion records are written conditionally, so reading one late does no harm. */
const PROMOTIONS_WATCH_MS: Millis = 12_000;

/** Receivers of what the store holds, created after its watchers. */
export interface SourceReceivers {
  proxy?: Pick<Proxy, 'roster' | 'applyRoster'>;
  groups?: GroupDirectory;
  forwarding?: Pick<Forwarding, 'requestConfiguration'>;
}

/** What the watchers of the store need. */
export interface SourceOptions {
  readonly parts: ProxyParts;
  readonly store: EraAwareStore;
  readonly clock: Clock;
  /** Clock that includes suspensions of the VM. */
  readonly ageClock: Clock;
  readonly placement: Placement;
  readonly configuration: ConfigurationHolder;
  readonly receivers: SourceReceivers;
}

type WatcherParts = Pick<
  ObjectWatcherOptions,
  'kind' | 'findWatchTime' | 'onListing' | 'onChange'
> &
  Partial<Pick<ObjectWatcherOptions, 'onAnswer' | 'clock' | 'isNeeded' | 'countWatchers'>>;

/** Creates a watcher that runs while this VM is a home of some group. */
function createWatcher(
  { parts, store, clock, placement, receivers }: SourceOptions,
  watched: WatcherParts,
): ObjectWatcher {
  return new ObjectWatcher({
    ...{ store, clock, log: parts.log, random: Math.random },
    countWatchers: () => 1,
    isNeeded: () => receivers.groups?.mayPlace() === true && placement.isAnyHome(),
    onAnswer: () => undefined,
    ...watched,
  });
}

/** The answer of the store that brought the configuration. */
interface StoreOrigin extends Omit<StoreAnswer, 'call'> {
  readonly call: StoreAnswer['call'] | 'read';
}

/** The answer that brought a version of the configuration, of the store or of another VM. */
type ConfigurationOrigin =
  | (StoreOrigin & { readonly revision: number })
  | { readonly call: 'peer'; readonly askedAt: Millis };

/** The source of the operator's configuration, which every VM watches. */
export class ConfigurationSource {
  readonly watcher: ObjectWatcher;

  /** Proves that no later version is in force. */
  readonly verifier: ConfigurationVerifier;

  /**
   * The version that the watcher's answers show: of the last one that held the object, from which
   * the later ones have gone on without a gap. Undefined while they show none that can be decoded.
   */
  private shownVersion: number | undefined;

  constructor(private readonly options: SourceOptions) {
    const { parts, ageClock, placement, configuration } = options;
    const { log, metrics, zone, revocationMs } = parts;
    // A call that was lost in a disturbance is made up for once this VM counts as in touch again.
    const watchMs = Math.max(MIN_WATCH_MS, parts.stableWindowMs - LOST_WATCH_MS);
    const urgentMs = Math.min(parts.configurationApplyMs, revocationMs ?? Infinity);
    this.verifier = new ConfigurationVerifier({
      ...{ configuration, ageClock, log, metrics },
      leaseMs: revocationMs === undefined ? undefined : revocationMs - PROOF_MARGIN_MS,
      refusalProofMs: urgentMs - PROOF_MARGIN_MS,
      findRank: () => placement.findReaderRank(zone),
      maxProofAgeMs: 2 * watchMs + LOST_WATCH_MS,
      readConfiguration: async () => this.read(),
    });
    this.watcher = createWatcher(options, {
      kind: parts.configurationKind,
      clock: ageClock,
      isNeeded: () => true,
      findWatchTime: () => (placement.isAnyHome() ? watchMs : ENTRY_WATCH_MS),
      onListing: (objects, answer) => {
        this.shownVersion = this.handleObjects(objects, answer);
      },
      onChange: (object, isDeleted, answer) => {
        if (object.name !== parts.configurationName) return;
        this.shownVersion = isDeleted ? undefined : this.handleObject(object, answer);
      },
      onAnswer: (askedAt) => this.verifier.handleAnswer(this.shownVersion, askedAt),
    });
  }

  /**
   * Reads the configuration; returns the version that the store holds.
   *
   * @throws StoreError when the store doesn't answer; a later version is then asked of other VMs.
   */
  private async read(): Promise<number | undefined> {
    try {
      return await this.readStore();
    } catch (error) {
      await this.requestFromVms().catch((failure: unknown) =>
        this.options.parts.log.debug('configuration not passed on', { error: String(failure) }),
      );
      throw error;
    }
  }

  /** Takes over the configuration of another VM that has proved a later version. */
  private async requestFromVms(): Promise<void> {
    const { configuration, receivers, ageClock } = this.options;
    const before = configuration.read()?.version;
    if (before === undefined) return;
    const askedAt = ageClock.readNow();
    const passed = await receivers.forwarding?.requestConfiguration(before);
    if (!passed) return;
    const { configuration: next, provedAt } = passed;
    if (configuration.update(next)) this.reportInForce(next, before, { call: 'peer', askedAt });
    if (provedAt !== undefined) this.verifier.handleProof({ version: next.version, provedAt });
  }

  private async readStore(): Promise<number | undefined> {
    const { parts, store, ageClock } = this.options;
    const askedAt = ageClock.readNow();
    const { objects, era, isPartial } = await store.list(parts.configurationKind);
    const origin: StoreOrigin = { call: 'read', era, askedAt };
    const version = this.handleObjects(objects, origin);
    if (isPartial) throw new StoreError('the list of configurations is partial');
    return version;
  }

  /** Takes over the configuration among the objects of its kind; returns the version that it has. */
  private handleObjects(objects: readonly StoredObject[], origin: StoreOrigin): number | undefined {
    const { configurationName } = this.options.parts;
    const object = objects.find(({ name }) => name === configurationName);
    return object && this.handleObject(object, origin);
  }

  /** Takes over the configuration; returns its version, or undefined when it can't be decoded. */
  private handleObject(object: StoredObject, origin: StoreOrigin): number | undefined {
    const { parts, configuration } = this.options;
    const decoded = parts.decodeConfiguration(object);
    if (!decoded) return undefined;
    const before = configuration.read()?.version;
    if (configuration.update(decoded)) {
      this.reportInForce(decoded, before, { ...origin, revision: object.revision });
    }
    return decoded.version;
  }

  private reportInForce(
    { version, routes }: ServiceConfiguration,
    before: number | undefined,
    { askedAt, ...origin }: ConfigurationOrigin,
  ): void {
    const { parts, ageClock } = this.options;
    const askedMsAgo = Math.round(ageClock.readNow() - askedAt);
    parts.log.info('configuration in force', {
      ...{ version, before, routes: routes.size, askedMsAgo, ...origin },
    });
  }
}

/** The watcher of the registered instances. */
export interface InstanceSource {
  readonly watcher: ObjectWatcher;
  /** Lists the instances anew and applies what has changed. */
  refresh(): Promise<void>;
}

/** Creates the source of the registered instances. */
export function createInstanceSource(options: SourceOptions): InstanceSource {
  const { parts, store, clock, placement, receivers } = options;
  const { instancesKind: kind } = parts;
  // A leaving instance may be reported in the pause before the call that is lost.
  const boundMs = parts.drainMs - MAX_WATCH_PAUSE_MS;
  const watchMs = Math.max(MIN_WATCH_MS, boundMs - LOST_WATCH_MS);
  const handleListing = (objects: readonly StoredObject[], isPartial: boolean): void => {
    const decoded = objects.flatMap((object) => parts.decodeInstance(object) ?? []);
    const roster = receivers.proxy?.roster;
    if (isPartial) decoded.forEach((instance) => roster?.update(instance));
    else roster?.updateAll(decoded, clock.readNow());
  };
  const watcher = createWatcher(options, {
    kind,
    findWatchTime: () => watchMs,
    countWatchers: () => placement.countPool(),
    onListing: (objects, _, isPartial) => handleListing(objects, isPartial),
    onChange: (object, isDeleted) => {
      const decoded = isDeleted ? undefined : parts.decodeInstance(object);
      if (decoded) receivers.proxy?.roster.update(decoded);
      else receivers.proxy?.roster.remove(object.name, clock.readNow());
    },
  });
  const refresh = async (): Promise<void> => {
    const { objects, isPartial = false } = await store.list(kind);
    handleListing(objects, isPartial);
    receivers.proxy?.applyRoster();
  };
  return { watcher, refresh };
}

/** Creates the watcher of the promotion records, which the takeovers of the local groups receive. */
export function createPromotionWatcher(options: SourceOptions): ObjectWatcher {
  const { receivers } = options;
  const handleRecord = (object: StoredObject, era: number): void =>
    receivers.groups?.findLocal(object.name)?.takeover.handleRecordObject(object, era);
  /** Tells the groups whose record a whole listing lacks. */
  const handleMissing = (objects: readonly StoredObject[], era: number): void => {
    const names = new Set(objects.map(({ name }) => name));
    const groups = receivers.groups?.listLocal().filter(({ name }) => !names.has(name)) ?? [];
    groups.forEach(({ takeover }) => takeover.handleRecordObject(undefined, era));
  };
  return createWatcher(options, {
    kind: PROMOTIONS_KIND,
    findWatchTime: () => PROMOTIONS_WATCH_MS,
    onListing: (objects, { era }, isPartial) => {
      objects.forEach((object) => handleRecord(object, era));
      if (!isPartial) handleMissing(objects, era);
    },
    onChange: (object, isDeleted, { era }) => {
      if (!isDeleted) handleRecord(object, era);
    },
    onAnswer: (askedAt) =>
      receivers.groups?.listLocal().forEach(({ takeover }) => takeover.handleAnswer(askedAt)),
  });
}
