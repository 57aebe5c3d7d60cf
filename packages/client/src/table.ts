import type { ConfigurationChange } from '@shallotpick/core';
import Table from 'cli-table3';

/** The value of a table cell; undefined is unknown. */
type Cell = string | number | boolean | undefined;

/** Formats a table with a header; unknown cells are shown as a dash. */
export function formatTable(head: readonly string[], rows: readonly (readonly Cell[])[]): string {
  const table = new Table({ head: [...head], style: { head: [], border: [], compact: true } });
  rows.forEach((row) => table.push(row.map((cell) => String(cell ?? '-'))));
  return table.toString();
}

/** Formats the differences between two configurations as a table. */
export function formatChanges(changes: readonly ConfigurationChange[]): string {
  if (changes.length === 0) return 'no differences';
  const rows = changes.flatMap(({ kind, name, change, fields }): readonly (readonly Cell[])[] =>
    fields.length === 0
      ? [[kind, name, change, '', '', '']]
      : fields.map(({ field, before, after }) => [
          kind,
          name,
          change,
          field,
          String(before ?? '-'),
          String(after ?? '-'),
        ]),
  );
  return formatTable(['kind', 'name', 'change', 'field', 'before', 'after'], rows);
}
