import { Backoff, type Clock, type Millis, type StoreVersion } from '@shallotpick/core';
import { HistoryGoneError } from './errors.js';
import type { Log } from './log.js';
import type { ObjectStore, StoredObject, StoreListing } from './store.js';
import { wait } from './timing.js';

/** Pause between watches, so that a burst of changes is returned by one call. */
const WATCH_PAUSE_MS: Millis = 150;
/** Longest such pause. */
export const MAX_WATCH_PAUSE_MS: Millis = 600;
/** A change is returned to every watcher; with more of them each one pauses longer. */
const UNPAUSED_WATCHERS = 12;
/**
 * A watch without changes that lasted no longer than this is gone over again by the next one. The
 * store keeps its history for longer than two of them.
 */
const MAX_REPEATED_WATCH_MS: Millis = 9_500;
/** Interval of checks whether the objects are needed. */
const NEED_POLL_MS: Millis = 50;

/** The answer of the store that brought objects. */
export interface StoreAnswer {
  readonly call: 'list' | 'watch';
  readonly era: number;
  /** When its call was sent. */
  readonly askedAt: Millis;
}

/** The watched kind, its callbacks and services. */
export interface ObjectWatcherOptions {
  readonly kind: string;
  /** Longest wait of the next watch call; a lost call delays a change by at most this long. */
  readonly findWatchTime: () => Millis;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly random: () => number;
  /** False while this VM doesn't need the objects; nothing is watched then. */
  readonly isNeeded?: () => boolean;
  /** Number of VMs that watch the kind. */
  readonly countWatchers?: () => number;
  /** Receives the objects of each listing; absence tells nothing when it `isPartial`. */
  readonly onListing: (
    objects: readonly StoredObject[],
    answer: StoreAnswer,
    isPartial: boolean,
  ) => void;
  /** Receives one change; for a deletion, `object.spec` is the last content. */
  readonly onChange: (object: StoredObject, isDeleted: boolean, answer: StoreAnswer) => void;
  /**
   * Called when all changes up to an answer have been passed on; `askedAt` is when its request was
   * sent, so that none from before then is missing. Not called after a partial answer.
   */
  readonly onAnswer?: (askedAt: Millis) => void;
}

/** Watches the objects of one kind: lists them, watches for changes, and lists again on errors. */
export class ObjectWatcher {
  private isStopped = false;

  /** Version from which the next watch starts; undefined when the objects must be listed. */
  private position: StoreVersion | undefined;

  /** Version of the store in the last answer. */
  private answered: StoreVersion | undefined;

  /** Listings in a row that were partial. */
  private partialListings = 0;

  private isUnreachable = false;

  private answeredAt: Millis | undefined;

  private readonly backoff: Backoff;

  constructor(private readonly options: ObjectWatcherOptions) {
    this.backoff = new Backoff(options.random);
  }

  start(): void {
    this.run().catch((error: unknown) => {
      this.options.log.error('watch loop failed', {
        kind: this.options.kind,
        error: String(error),
      });
    });
  }

  stop(): void {
    this.isStopped = true;
  }

  /** True once the objects have been listed for the first time. */
  hasSynced(): boolean {
    return this.answeredAt !== undefined;
  }

  /** True when the last call succeeded. */
  isReachable(): boolean {
    return !this.isUnreachable && this.hasSynced();
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        await this.waitUntilNeeded();
        const askedAt = this.options.clock.readNow();
        const isWhole = await this.ask(askedAt);
        this.handleAnswer();
        if (isWhole) this.options.onAnswer?.(askedAt);
      } catch (error) {
        await this.handleFailure(error);
      }
    }
  }

  /** Waits while nothing needs the objects; they are listed anew afterwards. */
  private async waitUntilNeeded(): Promise<void> {
    const isNeeded = this.options.isNeeded ?? (() => true);
    while (!isNeeded() && !this.isStopped) {
      this.forgetPosition();
      this.answeredAt = undefined;
      await wait(NEED_POLL_MS);
    }
  }

  /** Lists the objects or watches them; false when something that changed may be missing. */
  private async ask(askedAt: Millis): Promise<boolean> {
    if (this.position === undefined) await this.list(askedAt);
    else await this.watch(this.position, askedAt);
    return this.partialListings === 0 && this.answered !== undefined;
  }

  private async list(askedAt: Millis): Promise<void> {
    const { store, kind, onListing } = this.options;
    const listing = await store.list(kind);
    const { objects, revision, era, isPartial = false } = listing;
    this.reportPartial(listing);
    onListing(objects, { call: 'list', era, askedAt }, isPartial);
    this.position = { era, revision };
    this.answered = this.position;
  }

  /** Logs the first of several partial listings, and the first whole one after them. */
  private reportPartial({ objects, isPartial = false }: StoreListing): void {
    const { log, kind } = this.options;
    const failures = this.partialListings;
    this.partialListings = isPartial ? failures + 1 : 0;
    if (isPartial && failures === 0) {
      log.warn('list can not be read to its end', { kind, objects: objects.length });
    }
    if (!isPartial && failures > 0) log.info('list read to its end again', { kind, failures });
  }

  private async watch(from: StoreVersion, askedAt: Millis): Promise<void> {
    const { store, kind, findWatchTime, onChange, log } = this.options;
    const watchMs = findWatchTime();
    const watched = await store.watch(kind, from, watchMs);
    const { changes, revision, era, isPartial = false } = watched;
    const answer: StoreAnswer = { call: 'watch', era, askedAt };
    changes.forEach(({ object, isDeleted }) => onChange(object, isDeleted, answer));
    if (isPartial) log.info('changes that can not be read, listing again', { kind });
    // What a partial answer lacks may be readable by now.
    if (isPartial || this.partialListings > 0) this.forgetPosition();
    else this.advance({ era, revision }, changes.length === 0 && watchMs <= MAX_REPEATED_WATCH_MS);
    if (changes.length > 0) await wait(this.computePause());
  }

  /**
   * Chooses where the next watch starts. A watch without changes may have ended while the store
   * withheld some, so the next one covers its time again: it starts at the answer before.
   */
  private advance(next: StoreVersion, isRepeated: boolean): void {
    this.position = isRepeated ? this.answered : next;
    this.answered = next;
  }

  private forgetPosition(): void {
    this.position = undefined;
    this.answered = undefined;
  }

  private computePause(): Millis {
    const watchers = this.options.countWatchers?.() ?? 1;
    const factor = Math.max(1, watchers / UNPAUSED_WATCHERS);
    return Math.min(MAX_WATCH_PAUSE_MS, WATCH_PAUSE_MS * factor);
  }

  private handleAnswer(): void {
    const { clock, log, kind } = this.options;
    this.answeredAt = clock.readNow();
    this.backoff.reset();
    if (this.isUnreachable) log.info('store reachable again', { kind });
    this.isUnreachable = false;
  }

  private async handleFailure(error: unknown): Promise<void> {
    const { clock, log, kind } = this.options;
    // Changes may have been missed, since the next call may reach another server of the store.
    this.forgetPosition();
    if (error instanceof HistoryGoneError) {
      log.info('watch revision no longer available, listing again', { kind });
      return;
    }
    if (!this.isUnreachable) log.warn('store unreachable', { kind, error: String(error) });
    this.isUnreachable = true;
    const now = clock.readNow();
    if (this.backoff.isDue(now)) this.backoff.schedule(now);
    await wait(this.backoff.computeDelay(now));
  }
}
