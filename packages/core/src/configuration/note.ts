import { z } from 'zod';
import type { Contract } from '../routing/contract.js';
import { InvalidNoteError } from '../errors.js';
import type { DatabaseGroup } from '../group.js';

/** Largest size of a value that the platform accepts. */
export const MAX_VALUE_BYTES = 1_000_000;
const NOTE_NUMBER_DIGITS = 9;

const name = z
  .string()
  .regex(
    /^[a-z][a-z0-9-]{0,62}$/,
    'allowed: a lower-case letter, then up to 62 lower-case letters, digits and hyphens',
  );

/** Creates an object schema that refuses unknown fields and names the allowed ones. */
function createObject<T extends z.core.$ZodLooseShape>(shape: T): z.ZodObject<T, z.core.$strict> {
  return z.strictObject(shape, {
    error: (issue) =>
      issue.code === 'unrecognized_keys'
        ? `unknown field ${issue.keys?.join(', ')}; allowed: ${Object.keys(shape).join(', ')}`
        : undefined,
  });
}

const instanceSchema = createObject({
  id: name.describe('Name of the instance, unique in its group'),
  zone: name.describe('Availability zone of the instance'),
  host: z.string().min(1).max(253).describe('IP address or host name'),
  port: z.int().min(1).max(65_535).describe('TCP port'),
  slots: z.int().min(1).max(1_000).describe('Statements that the instance runs well at once'),
  connectionLimit: z.int().min(1).max(100_000).describe('Connections, over all proxies'),
  leaving: z.boolean().optional().describe('True once the instance is to get no new work'),
});

const groupSchema = createObject({
  name: name.describe('Name of the group, which callers use as the database name'),
  instances: z.array(instanceSchema).min(1).max(9),
});

const contractSchema = createObject({
  name: name.describe('Name of the contract, for the comment of a statement'),
  match: createObject({
    group: name.optional().describe('Group that the statement addresses'),
    user: z.string().max(63).optional().describe('User of the caller'),
    applicationName: z.string().max(63).optional().describe('application_name of the caller'),
    statementPrefix: z.string().min(1).max(1_000).optional().describe('Start of the statement'),
  }).describe('Every stated field must match; an empty match applies by name only'),
  maxAgeMs: z
    .int()
    .min(0)
    .max(86_400_000)
    .describe('Greatest age of the data, in milliseconds; 0 asks for the primary'),
  length: z.enum(['short', 'long']).describe('Expected length of the work'),
  repeat: z.enum(['allowed', 'never']).describe('Whether the proxy may send the work twice'),
});

const contentSchema = createObject({
  groups: z.array(groupSchema).default([]),
  contracts: z.array(contractSchema).default([]),
});

const withdrawnSchema = createObject({
  groups: z.array(name).default([]),
  contracts: z.array(name).default([]),
});

/** Schema of a release note as operators write it. */
export const noteSchema = createObject({
  id: z.string().min(1).max(64).describe('Chosen by the operator; the same id is applied once'),
  base: z.int().min(0).max(999_999_998).describe('Number of the note that this one changes'),
  added: contentSchema.default({ groups: [], contracts: [] }),
  changed: contentSchema.default({ groups: [], contracts: [] }),
  withdrawn: withdrawnSchema.default({ groups: [], contracts: [] }),
});

/** A release note, which changes the configuration of its base. */
export type ReleaseNote = z.infer<typeof noteSchema>;

/** Schema of one shard of a snapshot. */
export const shardSchema = createObject({
  number: z.int().min(1),
  shard: z.int().min(0),
  shards: z.int().min(1),
  groups: z.array(groupSchema),
  contracts: z.array(contractSchema),
});

/** The groups and contracts in force after a chain of notes. */
export interface Configuration {
  /** Number of the last note; 0 before the first. */
  readonly number: number;
  readonly groups: readonly DatabaseGroup[];
  readonly contracts: readonly Contract[];
}

/** The configuration before the first note. */
export const EMPTY_CONFIGURATION: Configuration = { number: 0, groups: [], contracts: [] };

/** One rule that a note breaks. */
export interface NoteIssue {
  /** Fields and indexes from the root of the note. */
  readonly path: readonly (string | number)[];
  /** States the violation and what is allowed. */
  readonly message: string;
}

/** A note of valid form, or the reasons why it is invalid. */
export type ParsedNote =
  | { readonly kind: 'note'; readonly note: ReleaseNote }
  | { readonly kind: 'invalid'; readonly issues: readonly NoteIssue[] };

/** Checks the form of a note, without regard to its base. */
export function parseNote(value: unknown): ParsedNote {
  const parsed = noteSchema.safeParse(value);
  if (parsed.success) return { kind: 'note', note: parsed.data };
  const issues = parsed.error.issues.map(({ path, message }) => ({
    path: path.map((part) => (typeof part === 'symbol' ? String(part) : part)),
    message,
  }));
  return { kind: 'invalid', issues };
}

/** Formats a path of fields and indexes, such as `added.groups[0].name`. */
export function formatPath(path: NoteIssue['path']): string {
  return path
    .map((part) => (typeof part === 'number' ? `[${part}]` : `.${part}`))
    .join('')
    .replace(/^\./, '');
}

/** A part of a note or configuration with named items. */
type Section = 'groups' | 'contracts';

/** An item of a section. */
interface Named {
  readonly name: string;
}

/** Checks the names of a section: unique, new if added, existing if changed or withdrawn. */
function checkNames(base: Configuration, note: ReleaseNote, section: Section): NoteIssue[] {
  const known = new Set((base[section] as readonly Named[]).map((item) => item.name));
  const seen = new Set<string>();
  const check = (path: NoteIssue['path'], item: string, isNew: boolean): NoteIssue[] => {
    const issues: NoteIssue[] = seen.has(item)
      ? [{ path, message: `${item} occurs twice; allowed: once a note` }]
      : [];
    seen.add(item);
    if (isNew && known.has(item)) {
      issues.push({ path, message: `${item} exists already; list it under changed.${section}` });
    }
    if (!isNew && !known.has(item)) {
      issues.push({ path, message: `${item} does not exist in note ${base.number}` });
    }
    return issues;
  };
  const part = (kind: 'added' | 'changed'): NoteIssue[] =>
    (note[kind][section] as readonly Named[]).flatMap((item, index) =>
      check([kind, section, index, 'name'], item.name, kind === 'added'),
    );
  const withdrawn = note.withdrawn[section].flatMap((item, index) =>
    check(['withdrawn', section, index], item, false),
  );
  return [...part('added'), ...part('changed'), ...withdrawn];
}

/** Checks that ids and addresses of instances are unique in their group. */
function checkInstances(note: ReleaseNote): NoteIssue[] {
  return (['added', 'changed'] as const).flatMap((kind) =>
    note[kind].groups.flatMap((group, at) =>
      group.instances.flatMap((instance, index) => {
        const path = [kind, 'groups', at, 'instances', index];
        const before = group.instances.slice(0, index);
        const issues: NoteIssue[] = [];
        if (before.some(({ id }) => id === instance.id)) {
          issues.push({
            path: [...path, 'id'],
            message: `${instance.id} occurs twice in the group`,
          });
        }
        if (before.some(({ host, port }) => host === instance.host && port === instance.port)) {
          const address = `${instance.host}:${instance.port}`;
          issues.push({ path: [...path, 'port'], message: `${address} occurs twice in the group` });
        }
        return issues;
      }),
    ),
  );
}

function applySection<T extends Named>(
  base: readonly T[],
  added: readonly T[],
  changed: readonly T[],
  withdrawn: readonly string[],
): readonly T[] {
  if (added.length + changed.length + withdrawn.length === 0) return base;
  const items = new Map(base.map((item) => [item.name, item]));
  [...added, ...changed].forEach((item) => items.set(item.name, item));
  withdrawn.forEach((removed) => items.delete(removed));
  return [...items.values()];
}

function foldNote(base: Configuration, { added, changed, withdrawn }: ReleaseNote): Configuration {
  return {
    number: base.number + 1,
    groups: applySection(base.groups, added.groups, changed.groups, withdrawn.groups),
    contracts: applySection(
      base.contracts,
      added.contracts,
      changed.contracts,
      withdrawn.contracts,
    ),
  };
}

/** Checks that no contract in force matches on a group that does not exist. */
function checkMatches(result: Configuration, note: ReleaseNote): NoteIssue[] {
  const groups = new Set(result.groups.map((group) => group.name));
  return result.contracts.flatMap(({ name: contract, match: { group } }) => {
    if (group === undefined || groups.has(group)) return [];
    const kind = note.added.contracts.some((one) => one.name === contract) ? 'added' : 'changed';
    const index = note[kind].contracts.findIndex((one) => one.name === contract);
    if (index >= 0) {
      const path = [kind, 'contracts', index, 'match', 'group'];
      return [{ path, message: `group ${group} does not exist` }];
    }
    const at = note.withdrawn.groups.indexOf(group);
    return [
      { path: ['withdrawn', 'groups', at], message: `contract ${contract} matches group ${group}` },
    ];
  });
}

/** Checks a note against the configuration that it is based on. */
export function checkNote(base: Configuration, note: ReleaseNote): readonly NoteIssue[] {
  if (note.base !== base.number) {
    const message = `the note is based on ${note.base}; allowed: ${base.number}, the newest note`;
    return [{ path: ['base'], message }];
  }
  const issues = [
    ...checkNames(base, note, 'groups'),
    ...checkNames(base, note, 'contracts'),
    ...checkInstances(note),
  ];
  return issues.length > 0 ? issues : checkMatches(foldNote(base, note), note);
}

/**
 * Applies a note to the configuration that it is based on.
 *
 * @throws InvalidNoteError naming each field that breaks a rule.
 */
export function applyNote(base: Configuration, note: ReleaseNote): Configuration {
  const issues = checkNote(base, note);
  if (issues.length > 0) {
    const lines = issues.map(({ path, message }) => `${formatPath(path)}: ${message}`);
    throw new InvalidNoteError(lines.join('; '));
  }
  return foldNote(base, note);
}

/** Formats the platform key of a note; keys sort in the order of the numbers. */
export function formatNoteKey(number: number): string {
  return `notes/${String(number).padStart(NOTE_NUMBER_DIGITS, '0')}`;
}

/** Parses the number of a note from its platform key; 0 when it is not the key of a note. */
export function parseNoteKey(key: string): number {
  const number = Number(/^notes\/(\d+)$/.exec(key)?.[1] ?? 0);
  return key === formatNoteKey(number) ? number : 0;
}

const GROUP_PREFIX = 'groups/';

/** Formats the platform key of a group's record. */
export function formatGroupKey(group: string): string {
  return `${GROUP_PREFIX}${group}`;
}

/** Parses the name of a group from the platform key of its record. */
export function parseGroupKey(key: string): string {
  return key.startsWith(GROUP_PREFIX) ? key.slice(GROUP_PREFIX.length) : '';
}
