import type { Millis } from '@shallotpick/core';
import type { ServiceConfiguration } from './configuration.js';
import { ConfigurationVerifier } from './configurationverifier.js';
import { StoreError } from './errors.js';
import type { ProxyParts } from './proxyparts.js';
import {
  computeWatchTime,
  createWatcher,
  LOST_WATCH_MS,
  type SourceOptions,
} from './sourcewatcher.js';
import type { StoredObject } from './store.js';
import type { ObjectWatcher, StoreAnswer } from './watcher.js';

/**
 * A proof is given up this long before the time limit for a new version or for a revocation, which
 * covers the way of a request from its caller.
 */
const PROOF_MARGIN_MS: Millis = 500;
/** With a shorter time, callers of unknown databases would cause a read each. */
const MIN_REFUSAL_PROOF_MS: Millis = 1_000;
/**
 * A VM that is no home is told of a new configuration by homes, too, so that a lost watch call of its
 * own does not delay the configuration.
 */
const ENTRY_WATCH_MS: Millis = 25_000;

/** The answer of the store that brought the configuration. */
interface StoreOrigin extends Omit<StoreAnswer, 'call'> {
  readonly call: StoreAnswer['call'] | 'read';
}

/** The answer that brought a version of the configuration, of the store or of another VM. */
type ConfigurationOrigin =
  | (StoreOrigin & { readonly revision: number })
  | { readonly call: 'peer'; readonly askedAt: Millis };

/** Computes how long a proof is ground enough to refuse callers by the version that it is of. */
function computeRefusalProofTime({ configurationApplyMs, revocationMs }: ProxyParts): Millis {
  const boundMs = Math.min(configurationApplyMs, revocationMs ?? configurationApplyMs);
  return Math.max(MIN_REFUSAL_PROOF_MS, boundMs - PROOF_MARGIN_MS);
}

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
    const watchMs = computeWatchTime(parts.stableWindowMs);
    this.verifier = new ConfigurationVerifier({
      ...{ configuration, ageClock, log, metrics },
      leaseMs: revocationMs === undefined ? undefined : revocationMs - PROOF_MARGIN_MS,
      refusalProofMs: computeRefusalProofTime(parts),
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
    parts.metrics.configurationsTaken.inc({ call: origin.call });
    parts.log.info('configuration in force', {
      ...{ version, before, routes: routes.size, askedMsAgo, ...origin },
    });
  }
}
