import { z } from 'zod';
import { InvalidNoteError } from '../errors.js';
import { type Configuration, shardSchema } from './note.js';

/** Number of notes between two snapshots; limits how many notes a starting daemon reads. */
export const SNAPSHOT_INTERVAL = 100;
/** Size limit of a shard's content; the rest of the platform's limit is left for its envelope. */
const SHARD_BYTES = 900_000;
const NUMBER_DIGITS = 9;
const SHARD_DIGITS = 5;

/** Key of the object that names the newest complete snapshot. */
export const SNAPSHOT_HEAD_KEY = 'snapshots/head';

const headSchema = z.object({
  number: z
    .int()
    .min(1)
    .max(10 ** NUMBER_DIGITS - 1),
});

/** Parses the number of the newest snapshot; 0 when there is none or the text is no head. */
export function parseSnapshotHead(text: string | undefined): number {
  try {
    return headSchema.safeParse(JSON.parse(text ?? 'null')).data?.number ?? 0;
  } catch {
    return 0;
  }
}

/** One part of a snapshot: its place and its JSON text. */
export interface SnapshotShard {
  readonly number: number;
  readonly shard: number;
  readonly text: string;
}

/** Formats the platform key of a shard. */
export function formatShardKey(number: number, shard: number): string {
  const digits = String(number).padStart(NUMBER_DIGITS, '0');
  return `snapshots/${digits}/${String(shard).padStart(SHARD_DIGITS, '0')}`;
}

/** Splits a configuration into shards. Equal configurations give equal shards. */
export function createShards(configuration: Configuration): readonly SnapshotShard[] {
  const { number } = configuration;
  const parts: { groups: string[]; contracts: string[] }[] = [];
  let remainingBytes = 0;
  const add = (section: 'groups' | 'contracts', item: unknown): void => {
    const text = JSON.stringify(item);
    const bytes = Buffer.byteLength(text) + 1;
    if (bytes > remainingBytes) {
      parts.push({ groups: [], contracts: [] });
      remainingBytes = SHARD_BYTES;
    }
    remainingBytes -= bytes;
    parts.at(-1)?.[section].push(text);
  };
  configuration.groups.forEach((group) => add('groups', group));
  configuration.contracts.forEach((contract) => add('contracts', contract));
  if (parts.length === 0) parts.push({ groups: [], contracts: [] });
  return parts.map(({ groups, contracts }, shard) => ({
    number,
    shard,
    text: `{"number":${number},"shard":${shard},"shards":${parts.length},"groups":[${groups.join()}],"contracts":[${contracts.join()}]}`,
  }));
}

/** Assembles a snapshot from its shards, which may arrive in any order and repeatedly. */
export class ShardCollector {
  private parts = new Map<number, ReturnType<typeof shardSchema.parse>>();

  private number = 0;

  /**
   * Adds one shard; returns the configuration once it is complete. Shards of a newer snapshot
   * replace those of an older one.
   *
   * @throws InvalidNoteError when the text is not a shard.
   */
  add(text: string): Configuration | undefined {
    const parsed = shardSchema.safeParse(JSON.parse(text));
    if (!parsed.success) throw new InvalidNoteError('not a shard', { cause: parsed.error });
    const { number, shard, shards } = parsed.data;
    if (number < this.number) return undefined;
    if (number > this.number) this.parts.clear();
    this.number = number;
    this.parts.set(shard, parsed.data);
    if (this.parts.size < shards) return undefined;
    const ordered = [...this.parts.values()].sort((a, b) => a.shard - b.shard);
    return {
      number,
      groups: ordered.flatMap(({ groups }) => groups),
      contracts: ordered.flatMap(({ contracts }) => contracts),
    };
  }
}
