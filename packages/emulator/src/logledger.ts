import type { EmulatedInstance } from './instance.js';
import type { InstanceLog, LogEntry } from './instancelog.js';

/** An acknowledged entry and its offset in the log, from 1. */
interface AcknowledgedEntry {
  readonly entry: LogEntry;
  readonly offset: number;
}

/**
 * Keeps which entries of a group were acknowledged and which were in logs that instances have lost,
 * to tell a loss that a better choice would have avoided from one that no choice could.
 */
export class LogLedger {
  /** Entries of logs dropped since the last promotion; other logs may still hold them. */
  private readonly dropped = new Set<LogEntry>();

  /** Acknowledged entries with rising offsets. */
  private readonly acknowledged: AcknowledgedEntry[] = [];

  constructor(private readonly listInstances: () => readonly EmulatedInstance[]) {}

  /** Remembers the entries of a log that an instance has lost. */
  addDropped({ entries }: InstanceLog): void {
    entries.forEach((entry) => this.dropped.add(entry));
  }

  /** Remembers an acknowledged entry. */
  addAcknowledged(entry: LogEntry, offset: number): void {
    const last = this.acknowledged.at(-1);
    if (!last || offset > last.offset) this.acknowledged.push({ entry, offset });
  }

  /** Tells whether a log holds every acknowledged entry that the last leader's log holds. */
  hasEverything({ entries }: InstanceLog): boolean {
    const last = this.acknowledged.at(-1);
    return !last || entries[last.offset - 1] === last.entry;
  }

  /** Tells whether a running instance other than the named one holds every acknowledged entry. */
  hasRunningHolder(except: string): boolean {
    return this.listInstances().some(
      ({ id, isAlive, log }) => id !== except && isAlive && this.hasEverything(log),
    );
  }

  /** Lists the entries of all logs of the group, of instances that run and that don't. */
  listHeld(): ReadonlySet<LogEntry> {
    return new Set(this.listInstances().flatMap(({ log }) => log.entries));
  }

  /**
   * Takes the entries of logs dropped since the last promotion that no instance holds, whether it
   * runs or not, and that none held when the order arrived. The others could be saved, so that a
   * promotion which loses them is at fault. It doesn't ask how long a log had been the last that
   * held an entry before it was lost or left the group.
   */
  takeLost(heldAtArrival: ReadonlySet<LogEntry>): readonly LogEntry[] {
    const held = this.listHeld();
    const lost = [...this.dropped].filter((entry) => !held.has(entry) && !heldAtArrival.has(entry));
    this.dropped.clear();
    return lost;
  }

  /** Forgets acknowledged entries that the log of a new leader lacks. */
  applyPromotion(entries: readonly LogEntry[]): void {
    for (
      let last = this.acknowledged.at(-1);
      last && entries[last.offset - 1] !== last.entry;
      last = this.acknowledged.at(-1)
    ) {
      this.acknowledged.pop();
    }
  }
}
