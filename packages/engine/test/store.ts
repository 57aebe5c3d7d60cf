import {
  DEFAULT_CONTRACT,
  type PromotionAnswer,
  type RegisteredInstance,
  type StoreVersion,
} from '@shallotpick/core';
import {
  type GroupSettings,
  ObjectStore,
  PromotionService,
  type ServiceConfiguration,
  type StoreChanges,
  type StoredObject,
  StoreError,
  type StoreListing,
  type StoreLookup,
  type StoreWrite,
  wait,
} from '../src/index.js';

/** In-memory store; watches return after 10 ms. */
export class FakeStore extends ObjectStore {
  private readonly kinds = new Map<string, Map<string, StoredObject>>();

  private revision = 1;

  /** True while reads of single objects fail. */
  isCut = false;

  /** Rises when a test restores the store from an older copy. */
  era = 1;

  /** Comes back with only the given objects, as from an older copy. */
  restore(kind: string, objects: readonly (readonly [string, unknown])[], revision: number): void {
    this.era += 1;
    this.revision = revision;
    this.kinds.set(kind, new Map());
    objects.forEach(([name, spec]) => this.put(kind, name, spec));
  }

  put(kind: string, name: string, spec: unknown): number {
    this.revision += 1;
    const objects = this.kinds.get(kind) ?? new Map<string, StoredObject>();
    objects.set(name, { name, revision: this.revision, spec });
    this.kinds.set(kind, objects);
    return this.revision;
  }

  override async find(kind: string, name: string): Promise<StoreLookup> {
    if (this.isCut) throw new StoreError('the store is cut off');
    return { object: this.kinds.get(kind)?.get(name), era: this.era };
  }

  override async list(kind: string): Promise<StoreListing> {
    const objects = [...(this.kinds.get(kind)?.values() ?? [])];
    return { objects, revision: this.revision, era: this.era };
  }

  override async watch(kind: string, { revision }: StoreVersion): Promise<StoreChanges> {
    await wait(10);
    const { objects } = await this.list(kind);
    const changed = objects.filter((object) => object.revision > revision);
    return {
      changes: changed.map((object) => ({ object, isDeleted: false })),
      revision: this.revision,
      era: this.era,
    };
  }

  override async write(
    kind: string,
    name: string,
    spec: unknown,
    revision: number,
  ): Promise<StoreWrite> {
    const known = this.kinds.get(kind)?.get(name)?.revision ?? 0;
    if (known !== revision) return { kind: 'conflict', era: this.era };
    return { kind: 'written', revision: this.put(kind, name, spec), era: this.era };
  }
}

/** Promotion service that never answers a promotion. */
export class FakePromotions extends PromotionService {
  answer: PromotionAnswer = 'unknown';

  override async promote(): Promise<PromotionAnswer> {
    return this.answer;
  }
}

/** Creates a configuration of the group `g` with a route for fresh reads and one for aged ones. */
export function createConfiguration(
  connectionLimit: number,
  { timeoutMs, transactionIdleMs }: Record<'timeoutMs' | 'transactionIdleMs', number>,
): ServiceConfiguration {
  const route = { group: 'g', readsOwnWrites: true, timeoutMs, targetLatencyMs: 100, priority: 1 };
  const aged = { ...DEFAULT_CONTRACT, maxAgeMs: 2_000 };
  const settings: GroupSettings = { name: 'g', connectionLimit, synchronousReplicas: 1 };
  return {
    version: 1,
    routes: new Map([
      ['fresh', { ...route, database: 'fresh', contract: DEFAULT_CONTRACT }],
      ['aged', { ...route, database: 'aged', contract: aged }],
    ]),
    groups: new Map([['g', settings]]),
    transactionIdleMs,
  };
}

/** Registers instances of a group in the store. */
export function registerInstances(
  store: FakeStore,
  instances: readonly { readonly id: string; readonly isLeader: boolean }[],
  connectionLimit: number,
  group = 'g',
): void {
  instances.forEach(({ id, isLeader }) =>
    store.put('instances', id, {
      ...{ id, group, zone: 'z', host: id, port: 1, slots: 2, connectionLimit },
      ...{ leaving: false, role: isLeader ? 'primary' : 'replica', startedAt: 1 },
    } satisfies RegisteredInstance),
  );
}
