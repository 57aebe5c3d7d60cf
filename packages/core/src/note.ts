import { z } from 'zod';
import type { Contract } from './contract.js';
import { InvalidNoteError } from './errors.js';
import type { DatabaseGroup } from './group.js';

const name = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/);

const instanceSchema = z.strictObject({
  id: name,
  zone: name,
  host: z.string().min(1),
  port: z.int().min(1).max(65_535),
  slots: z.int().min(1).max(1_000),
  connectionLimit: z.int().min(1).max(100_000),
  leaving: z.boolean().optional(),
});

const groupSchema = z.strictObject({ name, instances: z.array(instanceSchema).min(1).max(9) });

const contractSchema = z.strictObject({
  name,
  match: z.strictObject({
    group: name.optional(),
    user: z.string().optional(),
    applicationName: z.string().optional(),
    statementPrefix: z.string().min(1).optional(),
  }),
  maxAgeMs: z.int().min(0).max(86_400_000),
  length: z.enum(['short', 'long']),
  repeat: z.enum(['allowed', 'never']),
});

const contentSchema = z.strictObject({
  groups: z.array(groupSchema).default([]),
  contracts: z.array(contractSchema).default([]),
});

/** Schema of a release note as operators write it. */
export const noteSchema = z.strictObject({
  id: z.string().min(1).max(64),
  base: z.int().min(0),
  added: contentSchema.default({ groups: [], contracts: [] }),
  changed: contentSchema.default({ groups: [], contracts: [] }),
  withdrawn: z
    .strictObject({ groups: z.array(name).default([]), contracts: z.array(name).default([]) })
    .default({ groups: [], contracts: [] }),
});

export type ReleaseNote = z.infer<typeof noteSchema>;

/** What is in force after a chain of notes. */
export interface Configuration {
  /** Number of the last note; 0 before the first. */
  readonly number: number;
  readonly groups: readonly DatabaseGroup[];
  readonly contracts: readonly Contract[];
}

export const EMPTY_CONFIGURATION: Configuration = { number: 0, groups: [], contracts: [] };

interface Named {
  readonly name: string;
}

function applySection<T extends Named>(
  kind: string,
  base: readonly T[],
  added: readonly T[],
  changed: readonly T[],
  withdrawn: readonly string[],
): readonly T[] {
  const items = new Map(base.map((item) => [item.name, item]));
  for (const item of added) {
    if (items.has(item.name)) throw new InvalidNoteError(`${kind} ${item.name} exists already`);
    items.set(item.name, item);
  }
  for (const item of changed) {
    if (!items.has(item.name)) throw new InvalidNoteError(`${kind} ${item.name} does not exist`);
    items.set(item.name, item);
  }
  for (const removed of withdrawn) {
    if (!items.delete(removed)) throw new InvalidNoteError(`${kind} ${removed} does not exist`);
  }
  return [...items.values()];
}

/** Applies a note to the configuration that it names as its base. */
export function applyNote(base: Configuration, note: ReleaseNote): Configuration {
  if (note.base !== base.number) {
    throw new InvalidNoteError(`the note is based on ${note.base}, in force is ${base.number}`);
  }
  const { added, changed, withdrawn } = note;
  return {
    number: base.number + 1,
    groups: applySection('group', base.groups, added.groups, changed.groups, withdrawn.groups),
    contracts: applySection(
      'contract',
      base.contracts,
      added.contracts,
      changed.contracts,
      withdrawn.contracts,
    ),
  };
}

/** Key of a note in the platform; sorts in the order of the numbers. */
export function formatNoteKey(number: number): string {
  return `notes/${String(number).padStart(9, '0')}`;
}

/** Key of a group's record in the platform. */
export function formatGroupKey(group: string): string {
  return `groups/${group}`;
}
