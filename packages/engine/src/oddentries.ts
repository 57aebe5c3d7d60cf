import type { Clock, Millis } from '@shallotpick/core';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';

/** Entries that are reported until the memory is cleared; further ones are only ignored. */
const MAX_REMEMBERED = 500;
/** Age after which a full memory is cleared. */
const MEMORY_MS: Millis = 600_000;
/** Characters of a name that are logged. */
const MAX_NAME_LENGTH = 100;
/** Characters of the description of a problem that are logged. */
const MAX_PROBLEM_LENGTH = 200;

/** An entry of the store that can't be used. */
export interface OddEntry {
  readonly kind: string;
  /** Undefined when the name can't be read. */
  readonly name: string | undefined;
  /** Undefined when the revision can't be read. */
  readonly revision: number | undefined;
  /** The first part of the entry that can't be used, one of a fixed set. */
  readonly reason: string;
  /** What is wrong with that part. */
  readonly problem?: string;
}

/** Services of an `OddEntryReporter`. */
export interface OddEntryReporterOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Logs and counts the entries of the store that can't be used, each revision of an entry once,
 * however often it is read.
 */
export class OddEntryReporter {
  private readonly remembered = new Set<string>();

  private clearedAt: Millis;

  private isFull = false;

  constructor(private readonly options: OddEntryReporterOptions) {
    this.clearedAt = options.clock.readNow();
  }

  report({ kind, name, revision, reason, problem }: OddEntry): void {
    const entry = name?.slice(0, MAX_NAME_LENGTH);
    const key = JSON.stringify([kind, entry, revision]);
    if (this.remembered.has(key) || !this.hasRoom()) return;
    this.remembered.add(key);
    this.options.metrics.oddEntries.inc({ kind, reason });
    this.options.log.warn('odd entry ignored', {
      ...{ kind, entry, revision, reason },
      ...(problem === undefined ? {} : { problem: problem.slice(0, MAX_PROBLEM_LENGTH) }),
    });
  }

  /** False while as many entries are remembered as are reported in `MEMORY_MS`. */
  private hasRoom(): boolean {
    if (this.remembered.size < MAX_REMEMBERED) return true;
    const { clock, log } = this.options;
    const now = clock.readNow();
    if (now - this.clearedAt < MEMORY_MS) {
      if (!this.isFull) log.warn('further odd entries not reported', { limit: MAX_REMEMBERED });
      this.isFull = true;
      return false;
    }
    this.remembered.clear();
    this.clearedAt = now;
    this.isFull = false;
    return true;
  }
}
