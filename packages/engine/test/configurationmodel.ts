import type { Millis, StoreVersion } from '@shallotpick/core';
import {
  ConfigurationHolder,
  createEngineLog,
  HistoryGoneError,
  Metrics,
  ObjectStore,
  OrganisationIndex,
  type ReceivedConfiguration,
  type ServiceConfiguration,
  type StoreChanges,
  type StoredObject,
  StoreError,
  type StoreListing,
  type StoreLookup,
  type StoreWrite,
  SystemClock,
  wait,
} from '../src/index.js';
import { EraAwareStore } from '../src/era.js';
import { ConfigurationSource } from '../src/configurationsource.js';
import type { SourceOptions } from '../src/sourcewatcher.js';
import { createConfiguration } from './store.js';

const KIND = 'configurations';
const NAME = 'main';
/** Way of a call to the store and of its answer. */
const LATENCY_MS: Millis = 2;
const SLOW_LATENCY_MS: Millis = 240;
/** Part of the time for which a client still waits that a late answer takes. */
const LATE_FRACTION = 0.95;
const WATCH_POLL_MS: Millis = 10;
const TICK_MS: Millis = 50;
const PING_MS: Millis = 500;
/** As the client of the store gives calls up. */
const LIST_TIMEOUT_MS: Millis = 1_000;
const WATCH_SLACK_MS: Millis = 700;
const LOG = createEngineLog('error', 'test');
const BASE = createConfiguration(6, { timeoutMs: 100, transactionIdleMs: 100 });
const organisations = new OrganisationIndex([{ name: 'north', keys: ['a'], rateLimit: undefined }]);

/** Bounds of a site, by which the trial judges. */
export interface Bounds {
  readonly applyMs: Millis;
  readonly stableMs: Millis;
  /** Undefined on a site without keys. */
  readonly revocationMs: Millis | undefined;
}

/**
 * How the store treats the calls of a VM: `silent` loses their answers, `refuse` answers 503, and
 * with `late` an answer is of the past when it arrives.
 */
export type StoreMode = 'answer' | 'silent' | 'refuse' | 'slow' | 'late';

/** The store as all VMs share it. */
class SharedStore {
  version = 1;

  revision = 10;

  /** Revision of the last change of the configuration. */
  changedAt = 10;

  /** Revisions before this one are no longer in the history. */
  oldest = 0;

  put(version: number): void {
    this.version = version;
    this.revision += 1;
    this.changedAt = this.revision;
  }

  /** Another object changes. */
  advance(): void {
    this.revision += 1;
  }

  read(): StoredObject {
    const { version, changedAt: revision } = this;
    return { name: NAME, revision, spec: { ...BASE, version, organisations } };
  }
}

/** The store as one VM reaches it. */
class PathToStore extends ObjectStore {
  mode: StoreMode = 'answer';

  constructor(private readonly shared: SharedStore) {
    super();
  }

  override async find(): Promise<StoreLookup> {
    throw new StoreError('not used');
  }

  override async write(): Promise<StoreWrite> {
    throw new StoreError('not used');
  }

  override async list(): Promise<StoreListing> {
    await this.send(LIST_TIMEOUT_MS);
    const listing = { objects: [this.shared.read()], revision: this.shared.revision, era: 1 };
    await this.answer(LIST_TIMEOUT_MS);
    return listing;
  }

  override async watch(
    _: string,
    { revision: from }: StoreVersion,
    waitMs: Millis,
  ): Promise<StoreChanges> {
    await this.send(waitMs + WATCH_SLACK_MS);
    if (from < this.shared.oldest) throw new HistoryGoneError('the history is gone');
    for (let left = waitMs; left > 0 && this.shared.changedAt <= from; left -= WATCH_POLL_MS) {
      await wait(WATCH_POLL_MS);
      // A connection on which an answer is lost returns nothing further.
      if (this.mode === 'silent') await this.lose(left + WATCH_SLACK_MS);
    }
    const { revision } = this.shared;
    const object = this.shared.read();
    const changes = object.revision > from ? [{ object, isDeleted: false }] : [];
    await this.answer(WATCH_SLACK_MS);
    return { changes, revision, era: 1 };
  }

  private async answer(timeoutMs: Millis): Promise<void> {
    if (this.mode === 'late') await wait(LATE_FRACTION * timeoutMs);
    await this.send(timeoutMs);
  }

  /** One way of a call or of its answer. */
  private async send(timeoutMs: Millis): Promise<void> {
    await wait(this.mode === 'slow' ? SLOW_LATENCY_MS : LATENCY_MS);
    if (this.mode === 'refuse') throw new StoreError('503');
    if (this.mode === 'silent') await this.lose(timeoutMs);
  }

  private async lose(timeoutMs: Millis): Promise<void> {
    await wait(timeoutMs);
    throw new StoreError('no answer');
  }
}

/** A VM as far as it takes over configurations. */
class ModelVm {
  readonly configuration = new ConfigurationHolder();

  readonly path: PathToStore;

  readonly source: ConfigurationSource;

  constructor(
    shared: SharedStore,
    { applyMs, stableMs, revocationMs }: Bounds,
    receivers: SourceOptions['receivers'],
  ) {
    this.path = new PathToStore(shared);
    const metrics = new Metrics();
    const clock = new SystemClock();
    const { configuration } = this;
    this.source = new ConfigurationSource({
      parts: {
        ...{ log: LOG, metrics, zone: 'z', configurationKind: KIND, configurationName: NAME },
        ...{ configurationApplyMs: applyMs, stableWindowMs: stableMs, revocationMs },
        decodeConfiguration: ({ spec }: StoredObject) => {
          const decoded = spec as ServiceConfiguration;
          return revocationMs === undefined ? { ...decoded, organisations: undefined } : decoded;
        },
      },
      store: new EraAwareStore({ store: this.path, log: LOG, metrics }),
      ...{ clock, ageClock: clock, configuration, receivers },
      placement: { findReaderRank: () => 0, isAnyHome: () => true },
    } as unknown as SourceOptions);
    this.source.watcher.start();
  }
}

/** The configuration of a small fleet, in virtual time. */
export class ConfigurationModel {
  private readonly shared = new SharedStore();

  readonly vms: readonly ModelVm[];

  /** When each version was confirmed to the operator. */
  private readonly confirmedAt = new Map<number, Millis>([[1, 0]]);

  private readonly timers: readonly NodeJS.Timeout[];

  constructor(
    readonly bounds: Bounds,
    count: number,
    /** True when the VMs tell each other what they have proved, and pass versions on. */
    hasLinks: boolean,
  ) {
    const requestConfiguration = async (known: number) => this.passOn(known);
    const receivers = hasLinks ? { forwarding: { requestConfiguration } } : {};
    this.vms = Array.from({ length: count }, () => new ModelVm(this.shared, bounds, receivers));
    this.timers = [
      setInterval(() => this.vms.forEach(({ source }) => source.verifier.handleTick()), TICK_MS),
      setInterval(() => hasLinks && this.exchangeProofs(), PING_MS),
    ];
  }

  put(version: number): void {
    this.shared.put(version);
    this.confirmedAt.set(version, performance.now());
  }

  /** The store forgets its history. */
  compact(): void {
    this.shared.advance();
    this.shared.oldest = this.shared.revision;
  }

  setMode(vm: number | undefined, mode: StoreMode): void {
    this.vms.forEach(({ path }, index) => {
      if (vm === undefined || vm === index) Object.assign(path, { mode });
    });
  }

  /** The newest version that was confirmed at least so long ago. */
  findConfirmed(agoMs: Millis): number {
    const limit = performance.now() - agoMs;
    const versions = [...this.confirmedAt].filter(([, at]) => at <= limit);
    return Math.max(1, ...versions.map(([version]) => version));
  }

  stop(): void {
    this.timers.forEach((timer) => clearInterval(timer));
    this.vms.forEach(({ source }) => source.watcher.stop());
  }

  private async passOn(known: number): Promise<ReceivedConfiguration | undefined> {
    const sentAt = performance.now();
    await wait(LATENCY_MS);
    const vm = this.vms.find(({ configuration }) => (configuration.read()?.version ?? 0) > known);
    const configuration = vm?.configuration.read();
    const proof = vm?.source.verifier.readProof();
    return configuration && { configuration, provedAt: proof && sentAt - proof.ageMs };
  }

  private exchangeProofs(): void {
    const now = performance.now();
    this.vms.forEach(({ source: { verifier: from } }) => {
      const proof = from.readProof();
      if (!proof) return;
      const { version, ageMs } = proof;
      this.vms.forEach(({ source: { verifier } }) => {
        if (verifier !== from) verifier.handleProof({ version, provedAt: now - ageMs });
      });
    });
  }
}
