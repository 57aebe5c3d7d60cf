import { expect } from 'earl';
import fc from 'fast-check';
import {
  applyNote,
  formatNoteKey,
  loadChain,
  NoteChain,
  noteSchema,
  parseNoteKey,
  Platform,
  type PlatformListing,
  type PlatformObject,
  type PlatformWriteOutcome,
  type ReleaseNote,
  submitNote,
  writeSnapshot,
} from '../src/index.js';

const SEED = 7;
const RUNS = 200;

/** In-memory platform; `losses` decides which writes are lost, before or after their effect. */
class FakePlatform extends Platform {
  readonly objects = new Map<string, PlatformObject>();

  losses: ('before' | 'after' | 'none')[] = [];

  override async read(key: string): Promise<PlatformObject | undefined> {
    return this.objects.get(key);
  }

  override async write(
    key: string,
    value: string,
    expected: number,
  ): Promise<PlatformWriteOutcome> {
    const loss = this.losses.shift() ?? 'none';
    if (loss === 'before') return { kind: 'lost' };
    const version = this.objects.get(key)?.version ?? 0;
    if (version !== expected) return loss === 'after' ? { kind: 'lost' } : { kind: 'conflict' };
    this.objects.set(key, { key, value, version: version + 1 });
    return loss === 'after' ? { kind: 'lost' } : { kind: 'written', version: version + 1 };
  }

  override async list(prefix: string): Promise<PlatformListing> {
    const objects = [...this.objects.values()].filter(({ key }) => key.startsWith(prefix));
    return { revision: this.objects.size, objects };
  }

  override async watch(prefix: string): Promise<PlatformListing> {
    return this.list(prefix);
  }

  override async listVms(): Promise<[]> {
    return [];
  }
}

const createNote = (id: string, base: number, contract = id): ReleaseNote =>
  noteSchema.parse({
    id,
    base,
    added: {
      contracts: [{ name: contract, match: {}, maxAgeMs: 0, length: 'short', repeat: 'never' }],
    },
  });

const listAccepted = (platform: FakePlatform): readonly string[] =>
  [...platform.objects.values()]
    .filter(({ key }) => key.startsWith('notes/'))
    .sort((a, b) => parseNoteKey(a.key) - parseNoteKey(b.key))
    .map(({ value }) => (JSON.parse(value) as ReleaseNote).id);

const loss = fc.constantFrom('none' as const, 'before' as const, 'after' as const);

describe('NoteChain', () => {
  // Guards against a note that is accepted twice, or whose submitter gets a wrong outcome.
  it('accepts each id once, whatever answers are lost and however often it is submitted', async () => {
    const submissions = fc.array(fc.nat(4), { minLength: 1, maxLength: 12 });
    await fc.assert(
      fc.asyncProperty(submissions, fc.array(loss, { maxLength: 6 }), async (ids, losses) => {
        const platform = new FakePlatform();
        platform.losses = losses;
        for (const id of ids) {
          const chain = await loadChain(platform);
          const note = createNote(`id-${id}`, chain.configuration.number);
          expect((await submitNote(platform, chain, note)).kind).toEqual('accepted');
        }
        expect(listAccepted(platform)).toEqual([...new Set(ids)].map((id) => `id-${id}`));
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  // Guards against two concurrent submissions that both succeed, or a refusal without the changes.
  it('accepts one of two concurrent notes and reports the changes to the other', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(loss, { maxLength: 6 }), fc.scheduler(), async (losses, s) => {
        const platform = new FakePlatform();
        platform.losses = losses;
        platform.read = s.scheduleFunction(platform.read.bind(platform));
        platform.write = s.scheduleFunction(platform.write.bind(platform));
        const run = (id: string): ReturnType<typeof submitNote> =>
          submitNote(platform, new NoteChain(), createNote(id, 0));
        const both = Promise.all([run('left'), run('right')]);
        await s.waitFor(both);
        const outcomes = await both;
        const [winner] = listAccepted(platform);
        expect(listAccepted(platform).length).toEqual(1);
        const [won, lost] = winner === 'left' ? outcomes : [outcomes[1], outcomes[0]];
        expect(won.kind).toEqual('accepted');
        const reported = lost.kind === 'outdated' ? lost.changes : [];
        expect(reported.map(({ number, note }) => [number, note.id])).toEqual([[1, winner ?? '']]);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  // Guards against an id that is reused for a different note.
  it('refuses different content under an accepted id', async () => {
    const platform = new FakePlatform();
    await submitNote(platform, new NoteChain(), createNote('one', 0));
    const verdict = await submitNote(platform, new NoteChain(), createNote('one', 0, 'other'));
    expect(verdict.kind).toEqual('invalid');
  });

  // Guards against a snapshot that differs from the result of the notes that it replaces.
  it('loads the same configuration from a snapshot as from all notes', async () => {
    const platform = new FakePlatform();
    const notes = Array.from({ length: 230 }, (_, index) => createNote(`id-${index}`, index));
    let folded = new NoteChain().configuration;
    for (const note of notes) {
      const key = formatNoteKey(note.base + 1);
      platform.objects.set(key, { key, value: JSON.stringify(note), version: 1 });
      folded = applyNote(folded, note);
      if (folded.number === 200) await writeSnapshot(platform, folded);
    }
    const snapshots = [...platform.objects.keys()].filter((key) => key.startsWith('snapshots/'));
    expect(snapshots).toEqual(['snapshots/000000200/00000', 'snapshots/head']);
    expect((await loadChain(platform)).configuration).toEqual(folded);
  });
});
