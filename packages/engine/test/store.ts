import {
  ObjectStore,
  PromotionService,
  type StoreChanges,
  type StoredObject,
  type StoreListing,
  type StoreWrite,
  wait,
} from '../src/index.js';

/** In-memory store; watches return after 10 ms. */
export class FakeStore extends ObjectStore {
  private readonly kinds = new Map<string, Map<string, StoredObject>>();

  private revision = 1;

  put(kind: string, name: string, spec: unknown): number {
    this.revision += 1;
    const objects = this.kinds.get(kind) ?? new Map<string, StoredObject>();
    objects.set(name, { name, revision: this.revision, spec });
    this.kinds.set(kind, objects);
    return this.revision;
  }

  override async find(kind: string, name: string): Promise<StoredObject | undefined> {
    return this.kinds.get(kind)?.get(name);
  }

  override async list(kind: string): Promise<StoreListing> {
    return { objects: [...(this.kinds.get(kind)?.values() ?? [])], revision: this.revision };
  }

  override async watch(kind: string, revision: number): Promise<StoreChanges> {
    await wait(10);
    const { objects } = await this.list(kind);
    const changed = objects.filter((object) => object.revision > revision);
    return {
      changes: changed.map((object) => ({ object, isDeleted: false })),
      revision: this.revision,
    };
  }

  override async write(
    kind: string,
    name: string,
    spec: unknown,
    revision: number,
  ): Promise<StoreWrite> {
    const known = this.kinds.get(kind)?.get(name)?.revision ?? 0;
    if (known !== revision) return { kind: 'conflict' };
    return { kind: 'written', revision: this.put(kind, name, spec) };
  }
}

/** Promotion service that never answers a promotion. */
export class FakePromotions extends PromotionService {
  override async promote(): Promise<'unknown'> {
    return 'unknown';
  }
}
