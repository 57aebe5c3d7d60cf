import { readFile } from 'node:fs/promises';
import { formatPath, type NoteIssue, parseNote, type ReleaseNote } from '@shallotpick/core';
import { type Document, isMap, isNode, isScalar, LineCounter, parseDocument } from 'yaml';
import { CommandError } from './errors.js';

/** A note as read from a file, with the places of its fields. */
export interface NoteFile {
  readonly note: ReleaseNote;
  /** The error for rules that the note breaks. */
  readonly createValidationError: (issues: readonly NoteIssue[]) => CommandError;
}

const UNKNOWN_FIELD = /^unknown field ([^,;]+)/;

/** Start of the field, or of the nearest part around it that the file has. */
function findOffset(document: Document, issue: NoteIssue): number {
  for (let { length } = issue.path; length >= 0; length--) {
    const node = document.getIn(issue.path.slice(0, length), true);
    const unknown = UNKNOWN_FIELD.exec(issue.message)?.[1];
    const pair = isMap(node)
      ? node.items.find(({ key }) => isScalar(key) && key.value === unknown)
      : undefined;
    if (pair && isNode(pair.key) && pair.key.range) return pair.key.range[0];
    if (isNode(node) && node.range) return node.range[0];
  }
  return 0;
}

/**
 * Reads a note from a YAML or JSON file.
 *
 * @throws CommandError with file, line, field and what is allowed.
 */
export async function loadNoteFile(file: string): Promise<NoteFile> {
  const text = await readFile(file, 'utf8').catch((error: unknown) => {
    throw new CommandError('usage', `${file}: ${String(error)}`);
  });
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines });
  const [broken] = document.errors;
  if (broken) {
    const { line, col } = lines.linePos(broken.pos[0]);
    const message = `${file}:${line}:${col}: ${broken.message.split('\n')[0]}`;
    throw new CommandError('invalidNote', message, [{ file, line, column: col, message }]);
  }
  const createError = (issues: readonly NoteIssue[]): CommandError => {
    const places = issues.map((issue) => {
      const { line, col } = lines.linePos(findOffset(document, issue));
      const field = formatPath(issue.path);
      return { file, line, column: col, field, message: issue.message };
    });
    const message = places
      .map((one) => `${file}:${one.line}:${one.column}: ${one.field || 'note'}: ${one.message}`)
      .join('\n');
    return new CommandError('invalidNote', message, places);
  };
  const parsed = parseNote(document.toJS());
  if (parsed.kind === 'invalid') throw createError(parsed.issues);
  return { note: parsed.note, createValidationError: createError };
}
