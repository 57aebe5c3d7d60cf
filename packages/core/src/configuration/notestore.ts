import { type ChainDecision, NoteChain } from './chain.js';
import { CoreError, InvalidNoteError } from '../errors.js';
import {
  type Configuration,
  EMPTY_CONFIGURATION,
  formatNoteKey,
  parseNoteKey,
  type ReleaseNote,
} from './note.js';
import type { Platform, PlatformObject } from './platform.js';
import {
  createShards,
  formatShardKey,
  parseSnapshotHead,
  ShardCollector,
  SNAPSHOT_HEAD_KEY,
  SNAPSHOT_INTERVAL,
} from './snapshot.js';

const MAX_STEPS = 10_000;
/** Number of writes without effect after which a submission fails. */
const MAX_WRITES = 8;
/** Digits of a note's number that vary within one listing, which reads up to 100 notes. */
const BATCH_DIGITS = 2;

/** Outcome of a submission. */
type SubmissionOutcome = Exclude<ChainDecision, { kind: 'read' | 'write' }>;

/** Reads a snapshot; the empty configuration when one of its shards is missing or invalid. */
async function loadShards(platform: Platform, number: number): Promise<Configuration> {
  const collector = new ShardCollector();
  for (let shard = 0; shard < MAX_STEPS; shard++) {
    const object = await platform.read(formatShardKey(number, shard));
    if (!object) return EMPTY_CONFIGURATION;
    try {
      const configuration = collector.add(object.value);
      if (configuration) return configuration;
    } catch {
      return EMPTY_CONFIGURATION;
    }
  }
  return EMPTY_CONFIGURATION;
}

/** Reads the newest snapshot; the empty configuration when there is none. */
export async function loadSnapshot(platform: Platform): Promise<Configuration> {
  const head = await platform.read(SNAPSHOT_HEAD_KEY);
  const number = parseSnapshotHead(head?.value);
  return number === 0 ? EMPTY_CONFIGURATION : loadShards(platform, number);
}

/** Lists the notes of a listing from number `first` on, in order. */
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
 * Reads the notes after `number` in order, in listings of up to 100, until `until` has been read.
 * Returns the revision from which to watch for changes.
 */
export async function loadNotes(
  platform: Platform,
  number: number,
  onNote: (number: number, text: string) => unknown,
  until = Infinity,
): Promise<number> {
  let next = number + 1;
  for (let step = 0; step < MAX_STEPS; step++) {
    const prefix = formatNoteKey(next).slice(0, -BATCH_DIGITS);
    const { revision, objects } = await platform.list(prefix);
    const found = listFrom(objects, next);
    found.forEach(({ at, value }) => onNote(at, value));
    const last = found.at(-1)?.at;
    // A listing that ends before the last number of its batch ends with the newest note.
    const isLast = last === undefined || (last + 1) % 10 ** BATCH_DIGITS !== 0;
    if (isLast || last >= until) return revision;
    next = last + 1;
  }
  throw new RangeError('the listing of notes did not end');
}

/** Reads all that is accepted: the newest snapshot and the notes after it. */
export async function loadChain(platform: Platform): Promise<NoteChain> {
  const chain = new NoteChain(await loadSnapshot(platform));
  await loadNotes(platform, chain.configuration.number, (number, text) => chain.add(number, text));
  return chain;
}

/**
 * Reads the configuration that note `number` put in force, starting from the last snapshot
 * before it if there is one.
 *
 * @throws InvalidNoteError when there is no such note.
 */
export async function loadConfiguration(
  platform: Platform,
  number: number,
): Promise<Configuration> {
  const before = number - (number % SNAPSHOT_INTERVAL);
  const start = before > 0 ? await loadShards(platform, before) : EMPTY_CONFIGURATION;
  const chain = new NoteChain(start);
  const add = (at: number, text: string): boolean => at <= number && chain.add(at, text);
  if (start.number < number) await loadNotes(platform, start.number, add, number);
  if (chain.configuration.number === number) return chain.configuration;
  const newest = chain.configuration.number;
  throw new InvalidNoteError(`there is no note ${number}; allowed: 0 to ${newest}`);
}

/**
 * Submits a note and resolves lost answers and races by reading back.
 *
 * @throws CoreError, or the platform's error, when the outcome stays unknown. Submitting the same
 * note again then resolves it.
 */
export async function submitNote(
  platform: Platform,
  chain: NoteChain,
  note: ReleaseNote,
): Promise<SubmissionOutcome> {
  let decision = chain.submit(note);
  let writes = 0;
  for (let step = 0; step < MAX_STEPS; step++) {
    if (decision.kind === 'read') {
      const { number } = decision;
      const object = await platform.read(formatNoteKey(number));
      decision = chain.handleRead(number, object?.value);
    } else if (decision.kind === 'write') {
      writes += 1;
      if (writes > MAX_WRITES) throw new CoreError('the platform accepts no writes');
      decision = chain.handleWrite(await platform.write(decision.key, decision.value, 0));
    } else {
      return decision;
    }
  }
  throw new RangeError('the submission did not end');
}

/** Writes a snapshot, its head last. All writers of a number write the same shards. */
export async function writeSnapshot(
  platform: Platform,
  configuration: Configuration,
): Promise<void> {
  const { number } = configuration;
  const head = await platform.read(SNAPSHOT_HEAD_KEY);
  if (parseSnapshotHead(head?.value) >= number) return;
  const shards = createShards(configuration);
  for (const { shard, text } of shards) {
    const outcome = await platform.write(formatShardKey(number, shard), text, 0);
    if (outcome.kind === 'lost' && !(await platform.read(formatShardKey(number, shard)))) return;
  }
  const value = JSON.stringify({ number, shards: shards.length });
  await platform.write(SNAPSHOT_HEAD_KEY, value, head?.version ?? 0);
}
