import type { Millis } from '@shallotpick/core';
import { UndoLog } from '@shallotpick/standin';
import { encodeJson } from './rawjson.js';

/** Metadata of a stored object. */
export interface ObjectMeta {
  readonly name: string;
  /** Revision of the last change. */
  readonly revision: number;
  readonly created: number;
}

/** A stored object. */
export interface EmulatedObject {
  readonly meta: ObjectMeta;
  readonly spec: unknown;
}

/** One change as a watch reports it. */
export interface StoreEvent {
  readonly revision: number;
  readonly kind: string;
  readonly object: EmulatedObject;
  readonly deleted: boolean;
}

/** The result of a write; `conflict` carries the current object. */
export type WriteResult =
  | { readonly kind: 'written'; readonly object: EmulatedObject }
  | { readonly kind: 'conflict'; readonly object: EmulatedObject | undefined }
  | { readonly kind: 'notFound' };

/** A change and what it replaced. */
interface Change {
  readonly kind: string;
  readonly name: string;
  /** The object before the change; undefined when it did not exist. */
  readonly before: EmulatedObject | undefined;
  readonly revisionBefore: number;
}

/** Objects by kind and name under one revision counter, with a change history for watches. */
export class EmulatedStore {
  revision = 1;

  /** Rises with each restoration. */
  era = 1;

  private readonly undoLog = new UndoLog<Change>();

  /** Revision up to which the change history has been compacted. */
  private compactedRevision = 0;

  private readonly kinds = new Map<string, Map<string, EmulatedObject>>();

  private events: StoreEvent[] = [];

  private readonly waiters = new Set<() => void>();

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

  /** Replaces an object, only at revision `expected` if that is given. */
  replace(kind: string, name: string, spec: unknown, expected?: number): WriteResult {
    const known = this.find(kind, name);
    if (!known) return { kind: 'notFound' };
    const isOutdated = expected !== undefined && expected !== known.meta.revision;
    return isOutdated ? { kind: 'conflict', object: known } : this.put(kind, name, spec);
  }

  /** Writes an object; an unchanged spec creates no new revision. */
  put(kind: string, name: string, spec: unknown): WriteResult {
    const known = this.find(kind, name);
    if (known && encodeJson(known.spec ?? null).equals(encodeJson(spec ?? null))) {
      return { kind: 'written', object: known };
    }
    this.undoLog.add({ kind, name, before: known, revisionBefore: this.revision });
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
    if (!known) return { kind: 'notFound' };
    this.undoLog.add({ kind, name, before: known, revisionBefore: this.revision });
    this.revision += 1;
    this.kinds.get(kind)?.delete(name);
    const object = { ...known, meta: { ...known.meta, revision: this.revision } };
    this.addEvent({ revision: this.revision, kind, object, deleted: true });
    return { kind: 'written', object };
  }

  /** Comes back as it was `ageMs` ago: later changes are lost and revisions are given out again. */
  restore(ageMs: Millis): void {
    this.undoLog.takeRecent(ageMs).forEach((change) => this.undo(change));
    this.events = this.events.filter(({ revision }) => revision <= this.revision);
    this.compactedRevision = Math.min(this.compactedRevision, this.revision);
    this.era += 1;
    this.notifyWaiters();
  }

  /**
   * Lists the changes of a kind after a revision; undefined when some were compacted, or when the
   * store has not given out the revision yet.
   */
  listEvents(kind: string, after: number): readonly StoreEvent[] | undefined {
    if (after < this.compactedRevision || after > this.revision) return undefined;
    return this.events.filter((event) => event.kind === kind && event.revision > after);
  }

  /** Drops the change history, so that a watch from an older revision fails. */
  compactHistory(): void {
    this.compactedRevision = this.revision;
    this.events = [];
    this.notifyWaiters();
  }

  /** Waits up to `limitMs` for a change of any kind. */
  async waitForChange(limitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const finish = (): void => {
        clearTimeout(timer);
        this.waiters.delete(finish);
        resolve();
      };
      timer = setTimeout(finish, limitMs);
      this.waiters.add(finish);
    });
  }

  private undo({ kind, name, before, revisionBefore }: Change): void {
    const objects = this.kinds.get(kind);
    if (before) objects?.set(name, before);
    else objects?.delete(name);
    this.revision = revisionBefore;
  }

  private addEvent(event: StoreEvent): void {
    this.events.push(event);
    this.notifyWaiters();
  }

  private notifyWaiters(): void {
    [...this.waiters].forEach((finish) => finish());
  }
}
