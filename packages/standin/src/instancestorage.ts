import { type LogPosition, LOG_START } from '@shallotpick/core';

/** The new value of one row. */
export interface RowChange {
  readonly table: 'items' | 'once';
  readonly key: string;
  readonly value: string;
}

/** A committed transaction as an entry of the log. */
export interface LogEntry {
  readonly term: number;
  readonly changes: readonly RowChange[];
}

/** The rows of each table by key. */
type Tables = Readonly<Record<RowChange['table'], Map<string, string>>>;

const createTables = (): Tables => ({ items: new Map(), once: new Map() });

/** A replicated log and the tables that result from its applied prefix. Offsets count entries. */
export class InstanceStorage {
  private entries: LogEntry[] = [];

  private appliedCount = 0;

  private tables: Tables = createTables();

  /** Returns the position of the last entry in the log. */
  readDurable(): LogPosition {
    return this.readPosition(this.entries.length);
  }

  /** Returns the position of the last entry that is visible to reads. */
  readApplied(): LogPosition {
    return this.readPosition(this.appliedCount);
  }

  findRow(table: RowChange['table'], key: string): string | undefined {
    return this.tables[table].get(key);
  }

  listRows(table: RowChange['table']): readonly (readonly [string, string])[] {
    return [...this.tables[table]];
  }

  add(entries: readonly LogEntry[]): void {
    this.entries.push(...entries);
  }

  /** Lists the entries after `offset`, for a replica. */
  listEntriesAfter(offset: number): readonly LogEntry[] {
    return this.entries.slice(offset);
  }

  /** Returns the term of the entry at `offset`; 0 before the first. */
  findTerm(offset: number): number {
    return this.entries[offset - 1]?.term ?? 0;
  }

  /** Applies entries up to `offset`, so that reads see them. */
  applyUpTo(offset: number): void {
    const target = Math.min(offset, this.entries.length);
    for (; this.appliedCount < target; this.appliedCount += 1) {
      this.entries[this.appliedCount]?.changes.forEach(({ table, key, value }) => {
        this.tables[table].set(key, value);
      });
    }
  }

  /** Truncates the log to its common prefix with `primary` and rebuilds the tables. */
  truncateDivergentEntries(primary: InstanceStorage): void {
    let common = Math.min(this.entries.length, primary.entries.length);
    while (common > 0 && this.findTerm(common) !== primary.findTerm(common)) common -= 1;
    if (common === this.entries.length) return;
    this.entries = this.entries.slice(0, common);
    const visible = Math.min(this.appliedCount, common);
    this.appliedCount = 0;
    this.tables = createTables();
    this.applyUpTo(visible);
  }

  private readPosition(offset: number): LogPosition {
    return offset === 0 ? LOG_START : { term: this.findTerm(offset), offset };
  }
}
