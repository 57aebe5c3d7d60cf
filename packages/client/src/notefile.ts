import { readFile } from 'node:fs/promises';
import { formatPath, type NoteIssue, parseNote, type ReleaseNote } from '@shallotpick/core';
import { type Document, isMap, isNode, isScalar, LineCounter, parseDocument } from 'yaml';
import { CommandError } from './errors.js';

/** A note read from a file; maps issues to their locations in the file. */
export interface NoteFile {
  readonly note: ReleaseNote;
  /** Creates the error for issues of the note, with file, line and column of each. */
  readonly createValidationError: (issues: readonly NoteIssue[]) => CommandError;
}

const UNKNOWN_FIELD = /^unknown field ([^,;]+)/;

/** Finds the start of the field, or of its nearest ancestor that the file contains. */
function findIssueOffset(document: Document, issue: NoteIssue): number {
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
 * @throws CommandError with file, line, field and allowed values.
 */
export async function loadNoteFile(file: string): Promise<NoteFile> {
  const text = await readFile(file, 'utf8').catch((error: unknown) => {
    throw new CommandError('usage', `${file}: ${String(error)}`);
  });
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines });
  const [syntaxError] = document.errors;
  if (syntaxError) {
    const { line, col } = lines.linePos(syntaxError.pos[0]);
    const message = `${file}:${line}:${col}: ${syntaxError.message.split('\n')[0]}`;
    throw new CommandError('invalidNote', message, [{ file, line, column: col, message }]);
  }
  const createError = (issues: readonly NoteIssue[]): CommandError => {
    const locations = issues.map((issue) => {
      const { line, col } = lines.linePos(findIssueOffset(document, issue));
      const field = formatPath(issue.path);
      return { file, line, column: col, field, message: issue.message };
    });
    const message = locations
      .map((one) => `${file}:${one.line}:${one.column}: ${one.field || 'note'}: ${one.message}`)
      .join('\n');
    return new CommandError('invalidNote', message, locations);
  };
  const parsed = parseNote(document.toJS());
  if (parsed.kind === 'invalid') throw createError(parsed.issues);
  return { note: parsed.note, createValidationError: createError };
}
