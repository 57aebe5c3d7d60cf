import type { Log } from './log.js';
import type { Metrics } from './metrics.js';

/** Different entries that are reported; more of them would fill the log. */
const MAX_REPORTED = 1_000;
const MAX_KEY_LENGTH = 200;

/** A kind of entry in the platform, or in a message of a peer, as labelled in the metrics. */
export type EntryKind = 'object' | 'record' | 'note' | 'vm' | 'peer';

/** Receives the entries that a reader has skipped because they are invalid. */
export type SkipListener = (kind: EntryKind, key: string, version: number) => void;

/** Reports invalid entries of the platform and of peers to operators, each once however often it is read. */
export class SkippedEntries {
  private readonly reported = new Set<string>();

  constructor(
    private readonly log: Log,
    private readonly metrics: Metrics,
  ) {}

  readonly report: SkipListener = (kind, key, version) => {
    const entry = `${kind} ${version} ${key.slice(0, MAX_KEY_LENGTH)}`;
    if (this.reported.has(entry) || this.reported.size >= MAX_REPORTED) return;
    this.reported.add(entry);
    this.metrics.skippedEntries.inc({ kind });
    const isLast = this.reported.size === MAX_REPORTED;
    this.log.error('invalid entry skipped', {
      kind,
      key: key.slice(0, MAX_KEY_LENGTH),
      version,
      ...(isLast && { note: 'more will not be reported' }),
    });
  };
}
