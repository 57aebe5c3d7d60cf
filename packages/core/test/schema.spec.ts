import { readFile } from 'node:fs/promises';
import { expect } from 'earl';
import { parse } from 'yaml';
import { applyNote, EMPTY_CONFIGURATION, formatNoteSchema, noteSchema } from '../src/index.js';

const readText = (path: string): Promise<string> =>
  readFile(new URL(`../../../${path}`, import.meta.url), 'utf8');

describe('published schema and examples', () => {
  // Guards against a committed schema that differs from what the daemons accept. Run
  // `npm run schema` to update it.
  it('is current', async () => {
    expect(JSON.parse(await readText('docs/release-note.schema.json'))).toEqual(
      JSON.parse(formatNoteSchema()),
    );
  });

  // Guards against worked examples that the daemons refuse.
  it('accepts the worked examples of both deployments', async () => {
    const read = async (name: string) =>
      noteSchema.parse(parse(await readText(`examples/${name}.yaml`)));
    const walks = applyNote(EMPTY_CONFIGURATION, await read('walks'));
    const leaving = applyNote(walks, await read('walks-leaving'));
    const board = applyNote(EMPTY_CONFIGURATION, await read('water-board'));
    expect([walks, leaving, board].map(({ groups }) => groups.length)).toEqual([3, 3, 3]);
  });
});
