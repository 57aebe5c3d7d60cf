import { type ChainDecision, NoteChain } from './chain.js';
import { CoreError } from './errors.js';
import {
  type Configuration,
  EMPTY_CONFIGURATION,
  formatNoteKey,
  parseNoteKey,
  type ReleaseNote,
} from './note.js';
import type { Platform, PlatformObject } from './platform.js';
import { createShards, formatShardKey, ShardCollector, SNAPSHOT_HEAD_KEY } from './snapshot.js';

const MAX_STEPS = 10_000;
/** Writes without an answer and without effect before a submission gives up. */
const MAX_WRITES = 8;
/** The last two digits of a note's number: one listing reads up to 100 notes. */
const BATCH_DIGITS = 2;

type Verdict = Exclude<ChainDecision, { kind: 'read' | 'write' }>;

/** Reads the newest snapshot; the empty configuration when there is none. */
export async function loadSnapshot(platform: Platform): Promise<Configuration> {
  const head = await platform.read(SNAPSHOT_HEAD_KEY);
  if (!head) return EMPTY_CONFIGURATION;
  const { number, shards } = JSON.parse(head.value) as { number: number; shards: number };
  const collector = new ShardCollector();
  let configuration: Configuration | undefined;
  for (let shard = 0; shard < shards; shard++) {
    const object = await platform.read(formatShardKey(number, shard));
    if (object) configuration = collector.add(object.value);
  }
  return configuration ?? EMPTY_CONFIGURATION;
}

/** The notes of a listing from number `first` on, in order. */
function listFrom(
  objects: readonly PlatformObject[],
  first: number,
): readonly { readonly at: number; readonly value: string }[] {
  return objects
    .map(({ key, value }) => ({ at: parseNoteKey(key), value }))
    .sort((a, b) => a.at - b.at)
    .filter(({ at }) => at >= first);
}

/**
 * Reads the notes after `number` in order, in listings of up to 100.
 * Returns the revision to watch from.
 */
export async function loadNotes(
  platform: Platform,
  number: number,
  onNote: (number: number, text: string) => void,
): Promise<number> {
  let next = number + 1;
  for (let step = 0; step < MAX_STEPS; step++) {
    const prefix = formatNoteKey(next).slice(0, -BATCH_DIGITS);
    const { revision, objects } = await platform.list(prefix);
    const found = listFrom(objects, next);
    found.forEach(({ at, value }) => onNote(at, value));
    const last = found.at(-1)?.at;
    // A listing that ends before the last number of its batch ends with the newest note.
    if (last === undefined || (last + 1) % 10 ** BATCH_DIGITS !== 0) return revision;
    next = last + 1;
  }
  throw new RangeError('the chain of notes has no end');
}

/** Reads everything that is accepted: the newest snapshot and the notes after it. */
export async function loadChain(platform: Platform): Promise<NoteChain> {
  const chain = new NoteChain(await loadSnapshot(platform));
  await loadNotes(platform, chain.configuration.number, (number, text) => chain.add(number, text));
  return chain;
}

/**
 * Submits a note and settles lost answers and races by reading back.
 *
 * @throws CoreError, or what the platform rejects with, when the outcome stays open. Submitting
 * the same note again settles it.
 */
export async function runSubmission(
  platform: Platform,
  chain: NoteChain,
  note: ReleaseNote,
): Promise<Verdict> {
  let decision = chain.submit(note);
  let writes = 0;
  for (let step = 0; step < MAX_STEPS; step++) {
    if (decision.kind === 'read') {
      const { number } = decision;
      const object = await platform.read(formatNoteKey(number));
      decision = chain.handleRead(number, object?.value);
    } else if (decision.kind === 'write') {
      writes += 1;
      if (writes > MAX_WRITES) throw new CoreError('the platform takes no writes');
      decision = chain.handleWrite(await platform.write(decision.key, decision.value, 0));
    } else {
      return decision;
    }
  }
  throw new RangeError('the submission did not end');
}

/** Writes a snapshot, its head last. Writers of the same number write the same shards. */
export async function writeSnapshot(
  platform: Platform,
  configuration: Configuration,
): Promise<void> {
  const { number } = configuration;
  const head = await platform.read(SNAPSHOT_HEAD_KEY);
  const before = head ? (JSON.parse(head.value) as { number: number }).number : 0;
  if (before >= number) return;
  const shards = createShards(configuration);
  for (const { shard, text } of shards) {
    const outcome = await platform.write(formatShardKey(number, shard), text, 0);
    if (outcome.kind === 'lost' && !(await platform.read(formatShardKey(number, shard)))) return;
  }
  const value = JSON.stringify({ number, shards: shards.length });
  await platform.write(SNAPSHOT_HEAD_KEY, value, head?.version ?? 0);
}
