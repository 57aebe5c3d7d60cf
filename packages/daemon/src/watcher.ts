import {
  applyNote,
  type Configuration,
  EMPTY_CONFIGURATION,
  type GroupRecord,
  noteSchema,
  type Platform,
  type PlatformObject,
} from '@shallotpick/core';
import type { Log } from './log.js';

const RETRY_MS = 200;

export interface WatcherOptions {
  readonly platform: Platform;
  readonly log: Log;
  readonly onConfiguration: (configuration: Configuration) => void;
  readonly onRecord: (record: GroupRecord, version: number) => void;
}

/** Follows the release notes and the groups' records in the platform. */
export class PlatformWatcher {
  private configuration = EMPTY_CONFIGURATION;

  private stopped = false;

  constructor(private readonly options: WatcherOptions) {}

  start(): void {
    this.follow('notes/', (object) => this.handleNote(object));
    this.follow('groups/', (object) => {
      this.options.onRecord(JSON.parse(object.value) as GroupRecord, object.version);
    });
  }

  stop(): void {
    this.stopped = true;
  }

  private follow(prefix: string, handle: (object: PlatformObject) => void): void {
    this.runWatch(prefix, handle).catch((error: unknown) => {
      this.options.log.error('watch ended', { prefix, error: String(error) });
    });
  }

  private async runWatch(prefix: string, handle: (object: PlatformObject) => void): Promise<void> {
    const { platform, log } = this.options;
    let revision: number | undefined;
    while (!this.stopped) {
      try {
        const listing =
          revision === undefined
            ? await platform.list(prefix)
            : await platform.watch(prefix, revision);
        listing.objects.forEach(handle);
        revision = listing.revision;
      } catch (error) {
        log.warn('platform cannot be watched', { prefix, error: String(error) });
        await new Promise((resolve) => {
          setTimeout(resolve, RETRY_MS);
        });
      }
    }
  }

  private handleNote({ key, value }: PlatformObject): void {
    const number = Number(key.slice(key.lastIndexOf('/') + 1));
    if (number !== this.configuration.number + 1) return;
    const note = noteSchema.parse(JSON.parse(value));
    this.configuration = applyNote(this.configuration, note);
    this.options.log.info('release note in force', { number, id: note.id });
    this.options.onConfiguration(this.configuration);
  }
}
