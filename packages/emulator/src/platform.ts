import type { Millis } from '@shallotpick/core';
import { createStoreService, type ItemView, type StoreFaults } from './platformservices.js';
import { EmulatedGroup, type EmulatedGroupOptions } from './group.js';
import type { HttpService } from './httpservice.js';
import type { EmulatedInstance } from './instance.js';
import type { EmulatorObserver } from './observer.js';
import { FaultProxy } from './faultproxy.js';
import type { InstancePaths } from './instancepaths.js';
import { PromotionService } from './promotionservice.js';
import { type EmulatedObject, EmulatedStore } from './store.js';
import {
  type EmulatedConfiguration,
  encodeConfiguration,
  encodeInstance,
} from './storeencoding.js';

/** Kind and name of the configuration object that the operator writes. */
const CONFIGURATION = { kind: 'config', name: 'main' };
const INSTANCES_KIND = 'servers';
const TICK_INTERVAL_MS: Millis = 20;
/** Interval of an instance's reports; its entry is removed after three missed ones. */
const REPORT_INTERVAL_MS: Millis = 600;
const MAX_MISSED_REPORTS = 3;
const EXPIRY_MS: Millis = REPORT_INTERVAL_MS * MAX_MISSED_REPORTS;
/** Time after which the operator writes the configuration again that a restored store has lost. */
const OPERATOR_REWRITE_MS: Millis = 500;

/** Zones, groups and observer of a platform. */
export interface EmulatedPlatformOptions {
  readonly zones: readonly string[];
  readonly groups: readonly EmulatedGroupOptions[];
  readonly instancesPerGroup: number;
  readonly observer: EmulatorObserver;
  readonly random: () => number;
}

/** The address and last report of a registered instance. */
interface RegisteredInstance {
  /** The proxy whose address VMs get for the instance, so that faults can be injected. */
  readonly proxy: FaultProxy;
  /** Time of the instance's last report. */
  readonly reportedAt: Millis;
}

/** The platform in one process: object store, promotion service and groups of instances. */
export class EmulatedPlatform {
  readonly store = new EmulatedStore();

  readonly storeService: HttpService;

  readonly promotionService: PromotionService;

  readonly groups: readonly EmulatedGroup[];

  readonly faults: StoreFaults;

  private readonly registered = new Map<EmulatedInstance, RegisteredInstance>();

  private timer: NodeJS.Timeout | undefined;

  private lastReportAt: Millis = 0;

  private configuration: EmulatedConfiguration | undefined;

  constructor(private readonly options: EmulatedPlatformOptions) {
    const { observer, random } = options;
    this.faults = { unansweredWriteShare: 0, random };
    this.groups = options.groups.map((group) => new EmulatedGroup(group, observer));
    this.storeService = createStoreService(this.store, this.faults);
    this.promotionService = new PromotionService(
      (group) => this.groups.find(({ name }) => name === group),
      observer,
      random,
    );
  }

  /** The zones in which instances run. */
  get zones(): readonly string[] {
    return this.options.zones;
  }

  async start(): Promise<void> {
    const { zones, instancesPerGroup } = this.options;
    await Promise.all([this.storeService.start(), this.promotionService.start()]);
    for (const group of this.groups) {
      for (let index = 0; index < instancesPerGroup; index++) {
        await this.addInstance(group, zones[index % zones.length] ?? '');
      }
    }
    this.handleTick();
    this.timer = setInterval(() => this.handleTick(), TICK_INTERVAL_MS);
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    const instances = this.groups.flatMap((group) => group.instances);
    const proxies = [...this.registered.values()].map(({ proxy }) => proxy);
    await Promise.all([
      ...[this.storeService.stop(), this.promotionService.stop()],
      ...instances.map((instance) => instance.stop()),
      ...proxies.map((proxy) => proxy.stop()),
    ]);
  }

  /** Adds an instance to a group and registers it. */
  async addInstance(group: EmulatedGroup, zone: string): Promise<EmulatedInstance> {
    const instance = await group.addInstance(zone);
    const proxy = new FaultProxy(() => instance.port);
    await proxy.start();
    this.registered.set(instance, { proxy, reportedAt: performance.now() });
    this.publishInstance(instance, proxy);
    return instance;
  }

  /** Removes an instance with its registration, its log and its proxy. */
  async removeInstance(instance: EmulatedInstance): Promise<void> {
    const known = this.registered.get(instance);
    this.registered.delete(instance);
    this.store.remove(INSTANCES_KIND, instance.id);
    await instance.group.removeInstance(instance);
    await known?.proxy.stop();
  }

  /** Starts a stopped instance again with its log, under a new id at the same address. */
  async restartUnderNewId(instance: EmulatedInstance): Promise<void> {
    const former = this.registered.get(instance);
    if (!former) return;
    instance.updateId(instance.group.issueId());
    await instance.start();
    const silentMs = performance.now() - former.reportedAt;
    setTimeout(() => this.removeExpiredEntries(), Math.max(0, EXPIRY_MS - silentMs));
  }

  /**
   * Creates a service of the store for one VM, which reaches the instances over paths of its own. It
   * is down while the store is.
   */
  createStoreService(paths: InstancePaths): HttpService {
    const view: ItemView = async (item) => this.showInstance(item, paths);
    const isStoreDown = (): boolean => this.storeService.isDown;
    return createStoreService(this.store, this.faults, { view, isStoreDown });
  }

  /** Returns the proxy in front of an instance. */
  findProxy(instance: EmulatedInstance): FaultProxy | undefined {
    return this.registered.get(instance)?.proxy;
  }

  /** Writes a configuration to the store as the operator does. */
  writeConfiguration(configuration: EmulatedConfiguration): void {
    this.configuration = configuration;
    this.store.put(CONFIGURATION.kind, CONFIGURATION.name, encodeConfiguration(configuration));
  }

  /**
   * Brings the store back as it was `ageMs` ago. Instances report to it again at once, the operator
   * after some time; entries of instances that have left expire.
   */
  restoreStore(ageMs: Millis): void {
    this.store.restore(ageMs);
    setTimeout(() => this.rewriteConfiguration(), OPERATOR_REWRITE_MS);
    setTimeout(() => this.removeExpiredEntries(), EXPIRY_MS);
  }

  /** Publishes the state of an instance immediately, for example after a change. */
  reportInstance(instance: EmulatedInstance): void {
    const known = this.registered.get(instance);
    if (known && this.canReport(instance)) this.publishInstance(instance, known.proxy);
  }

  private canReport({ isAlive, isCutFromStore }: EmulatedInstance): boolean {
    return isAlive && !isCutFromStore;
  }

  private handleTick(): void {
    const now = performance.now();
    this.groups.forEach((group) => group.catchUpReplicas());
    const isDue = now - this.lastReportAt >= REPORT_INTERVAL_MS;
    if (isDue) this.lastReportAt = now;
    this.registered.forEach(({ proxy, reportedAt }, instance) => {
      if (this.canReport(instance)) {
        this.publishInstance(instance, proxy);
      } else if (now - reportedAt >= EXPIRY_MS) {
        this.store.remove(INSTANCES_KIND, instance.id);
      }
    });
  }

  /** Shows the entry of an instance with the address under which a VM reaches it. */
  private async showInstance(item: unknown, paths: InstancePaths): Promise<unknown> {
    const { meta, spec } = item as Partial<EmulatedObject>;
    const instance = [...this.registered.keys()].find(({ id }) => id === meta?.name);
    const proxy = instance && this.findProxy(instance);
    const address = proxy && `127.0.0.1:${proxy.port}`;
    const entry = spec as { readonly addr?: unknown } | undefined;
    if (!address || entry?.addr !== address) return item;
    return { ...(item as object), spec: { ...entry, addr: await paths.findAddress(address) } };
  }

  private rewriteConfiguration(): void {
    if (this.configuration) this.writeConfiguration(this.configuration);
  }

  private removeExpiredEntries(): void {
    const ids = new Set([...this.registered.keys()].map(({ id }) => id));
    const expired = this.store.list(INSTANCES_KIND).filter(({ meta }) => !ids.has(meta.name));
    expired.forEach(({ meta }) => this.store.remove(INSTANCES_KIND, meta.name));
  }

  private publishInstance(instance: EmulatedInstance, proxy: FaultProxy): void {
    // The store accepts no reports while it is down.
    if (this.storeService.isDown) return;
    this.registered.set(instance, { proxy, reportedAt: performance.now() });
    const spec = encodeInstance(instance, `127.0.0.1:${proxy.port}`);
    this.store.put(INSTANCES_KIND, instance.id, spec);
  }
}
