import type { LogPosition } from '@shallotpick/core';

/** One item that a commit writes. */
export interface ItemWrite {
  readonly item: string;
  readonly data: string;
}

/** A commit as an entry of the replicated log. */
export interface LogEntry {
  readonly term: number;
  readonly writes: readonly ItemWrite[];
}

/** The log of one instance and the items that result from its applied entries. */
export class InstanceLog {
  entries: LogEntry[] = [];

  /** Number of entries that are visible to reads. */
  appliedCount = 0;

  private readonly items = new Map<string, string>();

  /** Position of the entry that ends the first `length` ones. */
  readPosition(length = this.entries.length): LogPosition {
    return { term: this.entries[length - 1]?.term ?? 1, offset: length };
  }

  /** Makes entries up to `length` visible to reads. */
  apply(length: number): void {
    for (; this.appliedCount < Math.min(length, this.entries.length); this.appliedCount++) {
      this.entries[this.appliedCount]?.writes.forEach(({ item, data }) =>
        this.items.set(item, data),
      );
    }
  }

  read(item: string): string | undefined {
    return this.items.get(item);
  }

  /** Replaces the log, as when it is truncated to a new leader's, and rebuilds the items. */
  reset(entries: readonly LogEntry[]): void {
    this.entries = [...entries];
    this.appliedCount = 0;
    this.items.clear();
    this.apply(entries.length);
  }
}
