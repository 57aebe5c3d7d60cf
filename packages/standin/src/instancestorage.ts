import { type LogPosition, LOG_START } from '@shallotpick/core';

/** One change of a row; `undefined` removes it. */
export interface RowChange {
  readonly table: 'items' | 'once';
  readonly key: string;
  readonly value: string;
}

/** One committed transaction in the log. */
export interface LogEntry {
  readonly term: number;
  readonly changes: readonly RowChange[];
}

type Tables = Readonly<Record<RowChange['table'], Map<string, string>>>;

const createTables = (): Tables => ({ items: new Map(), once: new Map() });

/** A replicated log and the tables that follow from its applied prefix. Offsets count entries. */
export class InstanceStorage {
  private entries: LogEntry[] = [];

  private appliedCount = 0;

  private tables: Tables = createTables();

  /** Position of the last entry held. */
  readDurable(): LogPosition {
    return this.readPosition(this.entries.length);
  }

  /** Position of the last entry visible to reads. */
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

  /** Entries after `offset`, for a replica. */
  listEntriesAfter(offset: number): readonly LogEntry[] {
    return this.entries.slice(offset);
  }

  /** Term of the entry at `offset`; 0 before the first. */
  findTerm(offset: number): number {
    return this.entries[offset - 1]?.term ?? 0;
  }

  /** Makes entries up to `offset` visible. */
  applyUpTo(offset: number): void {
    const target = Math.min(offset, this.entries.length);
    for (; this.appliedCount < target; this.appliedCount += 1) {
      this.entries[this.appliedCount]?.changes.forEach(({ table, key, value }) => {
        this.tables[table].set(key, value);
      });
    }
  }

  /** Drops what `leader` does not have, and builds the tables again. */
  truncateDivergentEntries(leader: InstanceStorage): void {
    let common = Math.min(this.entries.length, leader.entries.length);
    while (common > 0 && this.findTerm(common) !== leader.findTerm(common)) common -= 1;
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
