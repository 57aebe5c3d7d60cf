import { z } from 'zod';
import { noteSchema } from './note.js';

/** Formats the published JSON Schema of a release note as JSON text. */
export function formatNoteSchema(): string {
  const schema = z.toJSONSchema(noteSchema, { io: 'input', target: 'draft-2020-12' });
  return `${JSON.stringify({ title: 'shallotpick release note', ...schema }, null, 2)}\n`;
}
