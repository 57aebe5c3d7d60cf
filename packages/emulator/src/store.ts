/** Bookkeeping of an object of the store. */
export interface ObjectMeta {
  readonly name: string;
  /** Revision of the last change. */
  readonly revision: number;
  readonly created: number;
}

export interface EmulatedObject {
  readonly meta: ObjectMeta;
  readonly spec: unknown;
}

/** One change as a watch tells it. */
export interface StoreEvent {
  readonly revision: number;
  readonly kind: string;
  readonly object: EmulatedObject;
  readonly deleted: boolean;
}

/** The outcome of a write; `conflict` carries the object that stands. */
export type WriteResult =
  | { readonly kind: 'written'; readonly object: EmulatedObject }
  | { readonly kind: 'conflict'; readonly object: EmulatedObject | undefined }
  | { readonly kind: 'missing' };

/** Objects by kind and name under one revision counter, with a history for watches. */
export class EmulatedStore {
  revision = 1;

  /** Changes up to this revision are no longer kept. */
  private compacted = 0;

  private readonly kinds = new Map<string, Map<string, EmulatedObject>>();

  private events: StoreEvent[] = [];

  private readonly waiting = new Set<() => void>();

  list(kind: string): readonly EmulatedObject[] {
    const objects = [...(this.kinds.get(kind)?.values() ?? [])];
    return objects.sort((a, b) => a.meta.name.localeCompare(b.meta.name));
  }

  find(kind: string, name: string): EmulatedObject | undefined {
    return this.kinds.get(kind)?.get(name);
  }

  create(kind: string, name: string, spec: unknown): WriteResult {
    const known = this.find(kind, name);
    if (known) return { kind: 'conflict', object: known };
    return this.put(kind, name, spec);
  }

  /** Replaces an object when it still has `expected`, if that is given. */
  replace(kind: string, name: string, spec: unknown, expected?: number): WriteResult {
    const known = this.find(kind, name);
    if (!known) return { kind: 'missing' };
    const isOutdated = expected !== undefined && expected !== known.meta.revision;
    return isOutdated ? { kind: 'conflict', object: known } : this.put(kind, name, spec);
  }

  /** Writes an object; a write that changes nothing is no change. */
  put(kind: string, name: string, spec: unknown): WriteResult {
    const known = this.find(kind, name);
    if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) {
      return { kind: 'written', object: known };
    }
    this.revision += 1;
    const created = known?.meta.created ?? this.revision;
    const object: EmulatedObject = { meta: { name, revision: this.revision, created }, spec };
    const objects = this.kinds.get(kind) ?? new Map<string, EmulatedObject>();
    this.kinds.set(kind, objects.set(name, object));
    this.addEvent({ revision: this.revision, kind, object, deleted: false });
    return { kind: 'written', object };
  }

  remove(kind: string, name: string): WriteResult {
    const known = this.find(kind, name);
    if (!known) return { kind: 'missing' };
    this.revision += 1;
    this.kinds.get(kind)?.delete(name);
    const object = { ...known, meta: { ...known.meta, revision: this.revision } };
    this.addEvent({ revision: this.revision, kind, object, deleted: true });
    return { kind: 'written', object };
  }

  /** Changes of a kind after a revision; undefined when they are no longer all kept. */
  listEvents(kind: string, after: number): readonly StoreEvent[] | undefined {
    if (after < this.compacted) return undefined;
    return this.events.filter((event) => event.kind === kind && event.revision > after);
  }

  /** Forgets the changes so far. */
  compactHistory(): void {
    this.compacted = this.revision;
    this.events = [];
    this.wake();
  }

  /** Waits for any change, up to `limitMs`. */
  async waitForChange(limitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const finish = (): void => {
        clearTimeout(timer);
        this.waiting.delete(finish);
        resolve();
      };
      timer = setTimeout(finish, limitMs);
      this.waiting.add(finish);
    });
  }

  private addEvent(event: StoreEvent): void {
    this.events.push(event);
    this.wake();
  }

  private wake(): void {
    [...this.waiting].forEach((finish) => finish());
  }
}
