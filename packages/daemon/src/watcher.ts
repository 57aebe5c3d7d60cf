import {
  CompactedError,
  computeAbsentVersion,
  formatNoteKey,
  type GroupRecord,
  parseGroupKey,
  parseGroupRecord,
  loadNotes,
  loadSnapshot,
  type MembershipView,
  type Millis,
  parseNoteKey,
  type Platform,
  type NoteUpdate,
  type PlatformListing,
  type PlatformObject,
  rankVms,
  SNAPSHOT_INTERVAL,
  type NoteGossip,
  writeSnapshot,
} from '@shallotpick/core';
import type { Log } from './log.js';
import type { SkipListener } from './skippedentries.js';
import { hasZoneDuty } from './zoneduty.js';

const RETRY_MS: Millis = 200;
const MAX_RETRY_MS: Millis = 5_000;
const MAX_ERROR_LENGTH = 500;
/** How often a VM checks whether it has become a relay. */
const RELAY_CHECK_MS: Millis = 500;
/** VMs of each zone that watch the platform; the others are updated by their peers. */
const RELAYS_PER_ZONE = 2;

/** Options of {@link PlatformWatcher}. */
export interface PlatformWatcherOptions {
  readonly platform: Platform;
  readonly log: Log;
  readonly membership: MembershipView;
  readonly noteGossip: NoteGossip;
  readonly onRecord: (record: GroupRecord, version: number) => void;
  /** Called after each full listing with the listed groups and the version of an absent record. */
  readonly onRecordsListed: (listed: ReadonlySet<string>, version: number) => void;
  /** Called each time an invalid record or note is read. */
  readonly onSkipped: SkipListener;
  /** Returns a number in [0, 1), for the jitter of retries. */
  readonly createRandom: () => number;
}

/** A key prefix of the platform and how to read and watch it. */
interface WatchedPrefix {
  readonly prefix: string;
  /** Reads the current objects and returns the revision to watch from. */
  readonly load: () => Promise<number>;
  readonly handle: (listing: PlatformListing) => void;
  /** True when a VM that is not a relay already has the data from its peers. */
  readonly isReceived: () => boolean;
}

/**
 * Watches the release notes and group records in the platform. Only relays keep watching; every
 * other VM reads them once at start-up, unless it has received them from its peers by then.
 */
export class PlatformWatcher {
  private stopped = false;

  /** Number of the last invalid note, which the notes after it wait for. */
  private blockedNumber = 0;

  private readonly wakeups = new Set<() => void>();

  constructor(private readonly options: PlatformWatcherOptions) {}

  start(): void {
    const { noteGossip } = this.options;
    this.startWatch({
      prefix: 'notes/',
      load: () => this.loadNotes(),
      handle: ({ objects }) => objects.forEach((object) => this.handleNote(object)),
      isReceived: () => noteGossip.configuration.number > 0,
    });
    this.startWatch({
      prefix: 'groups/',
      load: () => this.loadRecords(),
      handle: (listing) => this.handleRecords(listing),
      isReceived: () => noteGossip.configuration.number > 0,
    });
  }

  stop(): void {
    this.stopped = true;
    this.wakeups.forEach((wake) => wake());
  }

  /** True for the highest-ranked VMs of each zone by rendezvous hashing. */
  isRelay(): boolean {
    return hasZoneDuty(this.options.membership, 'relay', RELAYS_PER_ZONE);
  }

  private startWatch(watched: WatchedPrefix): void {
    this.runWatch(watched).catch((error: unknown) => {
      this.options.log.error('platform watch stopped', {
        prefix: watched.prefix,
        error: String(error),
      });
    });
  }

  private async runWatch(watched: WatchedPrefix): Promise<void> {
    const { platform, log } = this.options;
    const { prefix } = watched;
    let revision: number | undefined;
    let failures = 0;
    while (!this.stopped) {
      if (!this.isRelay() && (revision !== undefined || watched.isReceived())) {
        await this.wait(RELAY_CHECK_MS);
        continue;
      }
      try {
        if (revision === undefined) {
          revision = await watched.load();
        } else {
          const listing = await platform.watch(prefix, revision);
          if (this.stopped) return;
          watched.handle(listing);
          revision = listing.revision;
        }
        failures = 0;
      } catch (error) {
        if (error instanceof CompactedError) revision = undefined;
        log.warn('watching the platform failed', { prefix, error: String(error) });
        failures += 1;
        await this.wait(this.computeDelay(failures));
      }
    }
  }

  private computeDelay(failures: number): Millis {
    const delay = Math.min(MAX_RETRY_MS, RETRY_MS * 2 ** (failures - 1));
    return delay * (0.5 + this.options.createRandom() / 2);
  }

  private async wait(duration: Millis): Promise<void> {
    if (this.stopped) return;
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        this.wakeups.delete(wake);
        resolve();
      };
      setTimeout(wake, duration).unref();
      this.wakeups.add(wake);
    });
  }

  private async loadNotes(): Promise<number> {
    const { platform, noteGossip } = this.options;
    await this.rewriteLostNotes();
    if (noteGossip.configuration.number === 0) noteGossip.addSnapshot(await loadSnapshot(platform));
    return loadNotes(platform, noteGossip.configuration.number, (number, text) =>
      this.addNote(number, text),
    );
  }

  /** Writes notes again that this VM knows and that a platform restored from a copy has lost. */
  private async rewriteLostNotes(): Promise<void> {
    const { platform, log } = this.options;
    for (const { number, text } of await this.findLostNotes()) {
      const key = formatNoteKey(number);
      const { kind } = await platform.write(key, text, 0);
      if (kind === 'written') log.warn('lost release note written again', { number });
      else this.checkNote(number, text, await platform.read(key));
    }
  }

  /** Lists the known notes that the platform lacks, in order. */
  private async findLostNotes(): Promise<readonly NoteUpdate[]> {
    const { platform, noteGossip } = this.options;
    const lost: NoteUpdate[] = [];
    for (let { number } = noteGossip.configuration; number > 0; number--) {
      const text = noteGossip.findText(number);
      if (text === undefined) break;
      const stored = await platform.read(formatNoteKey(number));
      if (stored) {
        this.checkNote(number, text, stored);
        break;
      }
      lost.unshift({ number, text });
    }
    return lost;
  }

  /** Another note may have taken the number of a lost one before that was written again. */
  private checkNote(number: number, text: string, stored: PlatformObject | undefined): void {
    if (stored?.value === text) return;
    this.options.log.error('release note in force differs from the platform', { number });
  }

  private async loadRecords(): Promise<number> {
    const listing = await this.options.platform.list('groups/');
    this.handleRecords(listing);
    // A group whose record is invalid has one.
    const listed = new Set(listing.objects.map(({ key }) => parseGroupKey(key)));
    this.options.onRecordsListed(listed, computeAbsentVersion(listing.revision));
    return listing.revision;
  }

  private handleNote({ key, value, version }: PlatformObject): void {
    const number = parseNoteKey(key);
    const newest = this.options.noteGossip.configuration.number;
    if (number === 0) this.options.onSkipped('note', key, version);
    // The watch returns changes in order, so a gap means that some were missed.
    if (number > newest + 1) throw new CompactedError(`note ${newest + 1} is missing`);
    this.addNote(number, value);
    const isMended = number === this.blockedNumber && number === newest + 1;
    if (isMended && this.options.noteGossip.configuration.number === number) {
      throw new CompactedError(`the notes after ${number} were skipped`);
    }
  }

  /** Adds a note. An invalid one is skipped with all later ones, which are based on it. */
  private addNote(number: number, text: string): void {
    const { noteGossip, log, onSkipped } = this.options;
    try {
      if (!noteGossip.addNote(number, text)) return;
    } catch (error) {
      this.blockedNumber = number;
      log.debug('invalid release note', {
        number,
        error: String(error).slice(0, MAX_ERROR_LENGTH),
      });
      onSkipped('note', formatNoteKey(number), 0);
      return;
    }
    log.info('release note in force', { number, source: 'platform' });
    if (number % SNAPSHOT_INTERVAL === 0 && this.isSnapshotWriter()) this.saveSnapshot();
  }

  /** Only one VM writes the snapshot; others would write the same shards. */
  private isSnapshotWriter(): boolean {
    const { membership } = this.options;
    const vms = membership.listLive().map(({ id }) => id);
    return rankVms('snapshots', vms)[0] === membership.self.id;
  }

  private saveSnapshot(): void {
    const { platform, noteGossip, log } = this.options;
    writeSnapshot(platform, noteGossip.configuration).catch((error: unknown) => {
      log.warn('writing the snapshot failed', { error: String(error) });
    });
  }

  /** Passes the listed records on; an invalid one leaves the last valid one in force. */
  private handleRecords({ objects }: PlatformListing): void {
    objects.forEach(({ key, value, version }) => {
      const record = parseGroupRecord(value, parseGroupKey(key));
      if (record) this.options.onRecord(record, version);
      else this.options.onSkipped('record', key, version);
    });
  }
}
