import type { Configuration } from './note.js';

/** One field that differs; the names of nested fields are joined by dots. */
export interface FieldChange {
  readonly field: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** The change of one group or contract between two configurations. */
export interface ConfigurationChange {
  readonly kind: 'group' | 'contract';
  readonly name: string;
  readonly change: 'added' | 'changed' | 'withdrawn';
  /** The differing fields of a changed item; empty otherwise. */
  readonly fields: readonly FieldChange[];
}

function listFields(value: unknown, path = ''): readonly (readonly [string, unknown])[] {
  if (typeof value !== 'object' || value === null) return [[path, value]];
  return Object.entries(value).flatMap(([key, child]) => {
    const label = Array.isArray(value) && child?.id !== undefined ? child.id : key;
    return listFields(child, path === '' ? label : `${path}.${label}`);
  });
}

function compareFields(before: unknown, after: unknown): readonly FieldChange[] {
  const old = new Map(listFields(before));
  const current = new Map(listFields(after));
  return [...new Set([...old.keys(), ...current.keys()])]
    .filter((field) => old.get(field) !== current.get(field))
    .map((field) => ({ field, before: old.get(field), after: current.get(field) }));
}

function compareSection(
  kind: ConfigurationChange['kind'],
  before: readonly { readonly name: string }[],
  after: readonly { readonly name: string }[],
): readonly ConfigurationChange[] {
  const old = new Map(before.map((item) => [item.name, item]));
  const current = new Map(after.map((item) => [item.name, item]));
  const withdrawn = before
    .filter(({ name }) => !current.has(name))
    .map(({ name }) => ({ kind, name, change: 'withdrawn', fields: [] }) as const);
  const rest = after.flatMap((item): readonly ConfigurationChange[] => {
    const { name } = item;
    const known = old.get(name);
    if (known === item) return [];
    if (!known) return [{ kind, name, change: 'added', fields: [] }];
    const fields = compareFields(known, item);
    return fields.length > 0 ? [{ kind, name, change: 'changed', fields }] : [];
  });
  return [...rest, ...withdrawn];
}

/** Lists the differences between two configurations, groups first. */
export function compareConfigurations(
  before: Configuration,
  after: Configuration,
): readonly ConfigurationChange[] {
  return [
    ...compareSection('group', before.groups, after.groups),
    ...compareSection('contract', before.contracts, after.contracts),
  ];
}
