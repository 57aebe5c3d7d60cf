import type { Millis } from '@shallotpick/core';
import {
  createPromotionService,
  createStoreService,
  type StoreFaults,
} from './platformservices.js';
import { EmulatedGroup, type EmulatedGroupOptions } from './group.js';
import type { HttpService } from './httpservice.js';
import type { EmulatedInstance } from './instance.js';
import type { EmulatorObserver } from './observer.js';
import { FaultProxy } from './faultproxy.js';
import { EmulatedStore } from './store.js';
import {
  type EmulatedConfiguration,
  encodeConfiguration,
  encodeInstance,
} from './storeencoding.js';

/** Kinds and name of the objects that the operator and the instances write. */
const CONFIGURATION = { kind: 'config', name: 'main' };
const INSTANCES_KIND = 'servers';
const TICK_MS: Millis = 20;
/** An instance reports at this interval, and is removed after three of silence. */
const REPORT_MS: Millis = 600;
const SILENT_REPORTS = 3;

export interface EmulatedPlatformOptions {
  readonly zones: readonly string[];
  readonly groups: readonly EmulatedGroupOptions[];
  readonly instancesPerGroup: number;
  readonly observer: EmulatorObserver;
  readonly random: () => number;
}

interface Registered {
  /** The instance's address; what VMs are told, so that their paths can be disturbed. */
  readonly proxy: FaultProxy;
  /** When the instance last reported. */
  readonly reportedAt: Millis;
}

/** The users' platform in one process: store, promotions and groups of instances. */
export class EmulatedPlatform {
  readonly store = new EmulatedStore();

  readonly storeService: HttpService;

  readonly promotionService: HttpService;

  readonly groups: readonly EmulatedGroup[];

  readonly faults: StoreFaults;

  private readonly registered = new Map<EmulatedInstance, Registered>();

  private timer: NodeJS.Timeout | undefined;

  private reportedAt: Millis = 0;

  constructor(private readonly options: EmulatedPlatformOptions) {
    const { observer, random } = options;
    this.faults = { unansweredWriteShare: 0, random };
    this.groups = options.groups.map((group) => new EmulatedGroup(group, observer));
    this.storeService = createStoreService(this.store, this.faults);
    this.promotionService = createPromotionService(
      (group, id) => this.groups.find(({ name }) => name === group)?.promote(id) ?? false,
      observer,
    );
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
    this.timer = setInterval(() => this.handleTick(), TICK_MS);
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

  /** Starts one more instance of a group. */
  async addInstance(group: EmulatedGroup, zone: string): Promise<EmulatedInstance> {
    const instance = await group.addInstance(zone);
    const proxy = new FaultProxy(() => instance.port);
    await proxy.start();
    this.registered.set(instance, { proxy, reportedAt: performance.now() });
    this.report(instance, proxy);
    return instance;
  }

  /** Ends an instance for good: its entry, its log and its address go. */
  async removeInstance(instance: EmulatedInstance): Promise<void> {
    const known = this.registered.get(instance);
    this.registered.delete(instance);
    this.store.remove(INSTANCES_KIND, instance.id);
    await instance.group.removeInstance(instance);
    await known?.proxy.stop();
  }

  /** The proxy before an instance. */
  findProxy(instance: EmulatedInstance): FaultProxy | undefined {
    return this.registered.get(instance)?.proxy;
  }

  /** Writes a configuration as the operator does. */
  writeConfiguration(configuration: EmulatedConfiguration): void {
    this.store.put(CONFIGURATION.kind, CONFIGURATION.name, encodeConfiguration(configuration));
  }

  /** Reports an instance now, as after a change of its state. */
  reportInstance(instance: EmulatedInstance): void {
    const known = this.registered.get(instance);
    if (known && instance.isAlive) this.report(instance, known.proxy);
  }

  private handleTick(): void {
    const now = performance.now();
    this.groups.forEach((group) => group.catchUpReplicas());
    const isDue = now - this.reportedAt >= REPORT_MS;
    if (isDue) this.reportedAt = now;
    this.registered.forEach(({ proxy, reportedAt }, instance) => {
      if (instance.isAlive) {
        this.report(instance, proxy);
      } else if (now - reportedAt >= REPORT_MS * SILENT_REPORTS) {
        this.store.remove(INSTANCES_KIND, instance.id);
      }
    });
  }

  private report(instance: EmulatedInstance, proxy: FaultProxy): void {
    // The store takes no reports while it is down.
    if (this.storeService.isDown) return;
    this.registered.set(instance, { proxy, reportedAt: performance.now() });
    const spec = encodeInstance(instance, `127.0.0.1:${proxy.port}`);
    this.store.put(INSTANCES_KIND, instance.id, spec);
  }
}
