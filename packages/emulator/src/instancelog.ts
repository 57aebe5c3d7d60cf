import type { LogPosition } from '@shallotpick/core';

/** One item that a commit wrote. */
export interface ItemWrite {
  readonly item: string;
  readonly data: string;
}

/** A commit in the replicated log. */
export interface LogEntry {
  readonly term: number;
  readonly writes: readonly ItemWrite[];
}

/** The log of one instance, with the content that its applied part gives. */
export class InstanceLog {
  entries: LogEntry[] = [];

  /** Entries that reads see. */
  appliedCount = 0;

  private readonly items = new Map<string, string>();

  /** Position of the first `length` entries. */
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

  /** Replaces the log, as when an instance starts empty or is rolled back to a new leader's. */
  reset(entries: readonly LogEntry[]): void {
    this.entries = [...entries];
    this.appliedCount = 0;
    this.items.clear();
    this.apply(entries.length);
  }
}
