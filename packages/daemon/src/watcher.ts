import {
  CompactedError,
  type GroupRecord,
  loadNotes,
  loadSnapshot,
  type MembershipView,
  type Millis,
  parseNoteKey,
  type Platform,
  type PlatformListing,
  rankVms,
  SNAPSHOT_INTERVAL,
  type NoteGossip,
  writeSnapshot,
} from '@shallotpick/core';
import type { Log } from './log.js';

const RETRY_MS: Millis = 200;
const MAX_RETRY_MS: Millis = 5_000;
/** How soon a VM that has become a relay notices it. */
const RELAY_CHECK_MS: Millis = 500;
/** VMs of each zone that watch the platform; the others hear from peers. */
const RELAYS_PER_ZONE = 2;

export interface PlatformWatcherOptions {
  readonly platform: Platform;
  readonly log: Log;
  readonly membership: MembershipView;
  readonly spread: NoteGossip;
  readonly onRecord: (record: GroupRecord, version: number) => void;
  /** Uniform in [0, 1), for the jitter of retries. */
  readonly createRandom: () => number;
}

/** One prefix of the platform that is followed. */
interface Subject {
  readonly prefix: string;
  /** Reads what is there now and returns the revision to watch from. */
  readonly load: () => Promise<number>;
  readonly handle: (listing: PlatformListing) => void;
  /** True when a VM that is no relay needs nothing from the platform. */
  readonly isKnown: () => boolean;
}

/**
 * Follows the release notes and the groups' records in the platform. Only the relays keep
 * watching; every VM reads once when it starts, unless its peers have told it by then.
 */
export class PlatformWatcher {
  private stopped = false;

  private readonly wakers = new Set<() => void>();

  constructor(private readonly options: PlatformWatcherOptions) {}

  start(): void {
    const { spread } = this.options;
    this.follow({
      prefix: 'notes/',
      load: () => this.loadNotes(),
      handle: ({ objects }) => objects.forEach(({ key, value }) => this.handleNote(key, value)),
      isKnown: () => spread.configuration.number > 0,
    });
    this.follow({
      prefix: 'groups/',
      load: () => this.loadRecords(),
      handle: (listing) => this.handleRecords(listing),
      isKnown: () => spread.configuration.number > 0,
    });
  }

  stop(): void {
    this.stopped = true;
    this.wakers.forEach((wake) => wake());
  }

  /** True for the first VMs of each zone by rendezvous rank. */
  isRelay(): boolean {
    const { membership } = this.options;
    const { id, zone } = membership.self;
    const zoneVms = membership.listLive().filter((vm) => vm.zone === zone);
    const ranking = rankVms(
      `relay/${zone}`,
      zoneVms.map((vm) => vm.id),
    );
    return ranking.slice(0, RELAYS_PER_ZONE).includes(id);
  }

  private follow(subject: Subject): void {
    this.runWatch(subject).catch((error: unknown) => {
      this.options.log.error('watch ended', { prefix: subject.prefix, error: String(error) });
    });
  }

  private async runWatch(subject: Subject): Promise<void> {
    const { platform, log } = this.options;
    const { prefix } = subject;
    let revision: number | undefined;
    let failures = 0;
    while (!this.stopped) {
      if (!this.isRelay() && (revision !== undefined || subject.isKnown())) {
        await this.wait(RELAY_CHECK_MS);
        continue;
      }
      try {
        if (revision === undefined) {
          revision = await subject.load();
        } else {
          const listing = await platform.watch(prefix, revision);
          if (this.stopped) return;
          subject.handle(listing);
          revision = listing.revision;
        }
        failures = 0;
      } catch (error) {
        if (error instanceof CompactedError) revision = undefined;
        log.warn('platform cannot be watched', { prefix, error: String(error) });
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
        this.wakers.delete(wake);
        resolve();
      };
      setTimeout(wake, duration).unref();
      this.wakers.add(wake);
    });
  }

  private async loadNotes(): Promise<number> {
    const { platform, spread } = this.options;
    if (spread.configuration.number === 0) spread.addSnapshot(await loadSnapshot(platform));
    return loadNotes(platform, spread.configuration.number, (number, text) =>
      this.addNote(number, text),
    );
  }

  private async loadRecords(): Promise<number> {
    const listing = await this.options.platform.list('groups/');
    this.handleRecords(listing);
    return listing.revision;
  }

  private handleNote(key: string, text: string): void {
    const number = parseNoteKey(key);
    const newest = this.options.spread.configuration.number;
    // The watch gives changes in order, so a gap means that this reader has missed some.
    if (number > newest + 1) throw new CompactedError(`note ${newest + 1} was not seen`);
    this.addNote(number, text);
  }

  private addNote(number: number, text: string): void {
    const { spread, log } = this.options;
    if (!spread.addNote(number, text)) return;
    log.info('release note in force', { number, source: 'platform' });
    if (number % SNAPSHOT_INTERVAL === 0 && this.isFirst()) this.saveSnapshot();
  }

  /** One VM compacts; others would write the same shards. */
  private isFirst(): boolean {
    const { membership } = this.options;
    const vms = membership.listLive().map(({ id }) => id);
    return rankVms('snapshots', vms)[0] === membership.self.id;
  }

  private saveSnapshot(): void {
    const { platform, spread, log } = this.options;
    writeSnapshot(platform, spread.configuration).catch((error: unknown) => {
      log.warn('snapshot was not written', { error: String(error) });
    });
  }

  private handleRecords({ objects }: PlatformListing): void {
    objects.forEach(({ value, version }) => {
      this.options.onRecord(JSON.parse(value) as GroupRecord, version);
    });
  }
}
