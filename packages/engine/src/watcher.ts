import { Backoff, type Clock, type Millis } from '@shallotpick/core';
import { HistoryGoneError } from './errors.js';
import type { Log } from './log.js';
import type { ObjectStore, StoredObject } from './store.js';
import { wait } from './timing.js';

/** Changes that come close together, as when many instances register, are told by one call. */
const WATCH_GAP_MS: Millis = 150;

export interface ObjectWatcherOptions {
  readonly kind: string;
  /** A watch that stays silent is asked anew after this long, which bounds the delay of a change. */
  readonly watchMs: Millis;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly random: () => number;
  /** Receives all objects when they were listed. */
  readonly onListing: (objects: readonly StoredObject[]) => void;
  /** Receives one change; `object.spec` is the last content when it is deleted. */
  readonly onChange: (object: StoredObject, isDeleted: boolean) => void;
}

/** Follows the objects of one kind: lists them, then watches, and lists again after a gap. */
export class ObjectWatcher {
  private isStopped = false;

  private revision: number | undefined;

  private isBroken = false;

  private answeredAt: Millis | undefined;

  private readonly backoff: Backoff;

  constructor(private readonly options: ObjectWatcherOptions) {
    this.backoff = new Backoff(options.random);
  }

  start(): void {
    this.run().catch((error: unknown) => {
      this.options.log.error('watch ended', { kind: this.options.kind, error: String(error) });
    });
  }

  stop(): void {
    this.isStopped = true;
  }

  /** True once the objects have been listed. */
  hasSynced(): boolean {
    return this.answeredAt !== undefined;
  }

  /** True while the last call was answered. */
  isReachable(): boolean {
    return !this.isBroken && this.hasSynced();
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        if (this.revision === undefined) await this.list();
        else await this.watch(this.revision);
        this.handleAnswer();
      } catch (error) {
        await this.handleFailure(error);
      }
    }
  }

  private async list(): Promise<void> {
    const { store, kind, onListing } = this.options;
    const { objects, revision } = await store.list(kind);
    onListing(objects);
    this.revision = revision;
  }

  private async watch(revision: number): Promise<void> {
    const { store, kind, watchMs, onChange } = this.options;
    const { changes, revision: next } = await store.watch(kind, revision, watchMs);
    changes.forEach(({ object, isDeleted }) => onChange(object, isDeleted));
    this.revision = next;
    if (changes.length > 0) await wait(WATCH_GAP_MS);
  }

  private handleAnswer(): void {
    const { clock, log, kind } = this.options;
    this.answeredAt = clock.readNow();
    this.backoff.reset();
    if (this.isBroken) log.info('store answers again', { kind });
    this.isBroken = false;
  }

  private async handleFailure(error: unknown): Promise<void> {
    const { clock, log, kind } = this.options;
    // A watch that failed may have missed changes that another server of the store gave.
    this.revision = undefined;
    if (error instanceof HistoryGoneError) {
      log.info('watch history gone, listing again', { kind });
      return;
    }
    if (!this.isBroken) log.warn('store does not answer', { kind, error: String(error) });
    this.isBroken = true;
    const now = clock.readNow();
    if (this.backoff.isDue(now)) this.backoff.schedule(now);
    await wait(this.backoff.computeDelay(now));
  }
}
