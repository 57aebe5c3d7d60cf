import { match, P } from 'ts-pattern';
import type { VariableChange } from './sessionvariables.js';

/** A statement of the SQL subset that the stand-in supports. */
export type Query =
  | { readonly kind: 'begin' | 'commit' | 'rollback' | 'empty' | 'status' }
  | { readonly kind: 'set'; readonly tag: string; readonly change: VariableChange }
  | { readonly kind: 'show'; readonly name: string }
  | { readonly kind: 'find'; readonly key: string }
  | { readonly kind: 'list' | 'count' }
  | { readonly kind: 'constant'; readonly value: string }
  | { readonly kind: 'payload'; readonly rows: number; readonly bytes: number }
  | { readonly kind: 'put'; readonly key: string; readonly value: string; readonly tag: string }
  /** A call of a function that writes a value and returns it. */
  | { readonly kind: 'call'; readonly key: string; readonly value: string }
  | { readonly kind: 'increment'; readonly key: string }
  | { readonly kind: 'once'; readonly key: string }
  | { readonly kind: 'fence'; readonly term: number }
  | { readonly kind: 'promote'; readonly term: number; readonly incarnation: string | undefined }
  | { readonly kind: 'follow'; readonly term: number; readonly primary: string }
  | { readonly kind: 'unsupported'; readonly text: string };

/** A query with the time for which it holds a slot; undefined uses the instance's default. */
export interface ParsedStatement {
  readonly query: Query;
  readonly costMs: number | undefined;
}

const VALUE = String.raw`('(?:[^']|'')*'|\$\d+|-?\d+)`;
const PATTERNS = {
  find: new RegExp(`^select value from items where key\\s*=\\s*${VALUE}$`, 'i'),
  payload: /^select payload\((\d+),\s*(\d+)\)$/i,
  constant: new RegExp(`^select ${VALUE}(?:::\\w+)?$`, 'i'),
  sleep: /^select pg_sleep\(([\d.]+)\)$/i,
  put: new RegExp(
    `^insert into items\\s*\\(key, value\\) values\\s*\\(${VALUE},\\s*${VALUE}\\)(?: on conflict.*)?$`,
    'i',
  ),
  update: new RegExp(`^update items set value\\s*=\\s*${VALUE} where key\\s*=\\s*${VALUE}$`, 'i'),
  increment: new RegExp(
    `^update items set value\\s*=\\s*value\\s*\\+\\s*1 where key\\s*=\\s*${VALUE}$`,
    'i',
  ),
  call: new RegExp(`^select put\\(${VALUE},\\s*${VALUE}\\)$`, 'i'),
  once: new RegExp(`^insert into shallotpick_once\\s*\\(key\\) values\\s*\\(${VALUE}\\)$`, 'i'),
  fence: /^select \* from shallotpick_fence\((\d+)\)$/i,
  promote: /^select \* from shallotpick_promote\((\d+)(?:,\s*'([\w.:-]*)')?\)$/i,
  follow: /^select \* from shallotpick_follow\((\d+),\s*'([\w-]+)'\)$/i,
} as const;

function readValue(token: string, parameters: readonly (string | null)[]): string {
  if (token.startsWith('$')) return parameters[Number(token.slice(1)) - 1] ?? '';
  return token.startsWith("'") ? token.slice(1, -1).replaceAll("''", "'") : token;
}

function parseKeyword(text: string): Query | undefined {
  return match(text.toLowerCase())
    .with('', () => ({ kind: 'empty' }) as const)
    .with(P.string.regex(/^(?:begin|start transaction)\b/), () => ({ kind: 'begin' }) as const)
    .with(P.string.regex(/^(?:commit|end)\b/), () => ({ kind: 'commit' }) as const)
    .with(P.string.regex(/^(?:rollback|abort)\b/), () => ({ kind: 'rollback' }) as const)
    .with('select * from shallotpick_status()', () => ({ kind: 'status' }) as const)
    .with('select key, value from items', () => ({ kind: 'list' }) as const)
    .with('select count(*) from items', () => ({ kind: 'count' }) as const)
    .otherwise(() => undefined);
}

function parseVariable(text: string): Query | undefined {
  const show = /^show\s+([\w.]+)$/i.exec(text);
  if (show?.[1]) return { kind: 'show', name: show[1].toLowerCase() };
  const reset = /^reset\s+([\w.]+)$/i.exec(text)?.[1]?.toLowerCase();
  if (reset) {
    const name = reset === 'all' ? undefined : reset;
    return { kind: 'set', tag: 'RESET', change: { name, value: undefined, isLocal: false } };
  }
  const set = /^set\s+(?:(session|local)\s+)?([\w.]+)\s*(?:=|\s+to\s)\s*(.+)$/i.exec(text);
  if (!set) return undefined;
  const [, scope, name = '', value = ''] = set;
  const change = {
    name: name.toLowerCase(),
    value: /^default$/i.test(value) ? undefined : value.replace(/^'(.*)'$/, '$1'),
    isLocal: scope?.toLowerCase() === 'local',
  };
  return { kind: 'set', tag: 'SET', change };
}

function parseControl(text: string): Query | undefined {
  const fence = PATTERNS.fence.exec(text);
  if (fence) return { kind: 'fence', term: Number(fence[1]) };
  const promote = PATTERNS.promote.exec(text);
  if (promote) return { kind: 'promote', term: Number(promote[1]), incarnation: promote[2] };
  const follow = PATTERNS.follow.exec(text);
  if (follow) return { kind: 'follow', term: Number(follow[1]), primary: follow[2] ?? '' };
  return undefined;
}

function parseRead(text: string, parameters: readonly (string | null)[]): Query | undefined {
  const find = PATTERNS.find.exec(text);
  if (find?.[1]) return { kind: 'find', key: readValue(find[1], parameters) };
  const payload = PATTERNS.payload.exec(text);
  if (payload) return { kind: 'payload', rows: Number(payload[1]), bytes: Number(payload[2]) };
  if (PATTERNS.sleep.test(text)) return { kind: 'constant', value: '' };
  const constant = PATTERNS.constant.exec(text);
  if (constant?.[1]) return { kind: 'constant', value: readValue(constant[1], parameters) };
  return undefined;
}

function parseWrite(text: string, parameters: readonly (string | null)[]): Query | undefined {
  const increment = PATTERNS.increment.exec(text);
  if (increment?.[1]) return { kind: 'increment', key: readValue(increment[1], parameters) };
  const call = PATTERNS.call.exec(text);
  if (call?.[1] && call[2]) {
    const value = readValue(call[2], parameters);
    return { kind: 'call', key: readValue(call[1], parameters), value };
  }
  const once = PATTERNS.once.exec(text);
  if (once?.[1]) return { kind: 'once', key: readValue(once[1], parameters) };
  const put = PATTERNS.put.exec(text);
  if (put?.[1] && put[2]) {
    const value = readValue(put[2], parameters);
    return { kind: 'put', key: readValue(put[1], parameters), value, tag: 'INSERT 0 1' };
  }
  const update = PATTERNS.update.exec(text);
  if (update?.[1] && update[2]) {
    const value = readValue(update[1], parameters);
    return { kind: 'put', key: readValue(update[2], parameters), value, tag: 'UPDATE 1' };
  }
  return undefined;
}

function findCost(text: string): number | undefined {
  const sleep = PATTERNS.sleep.exec(text.replace(/\/\*[\s\S]*?\*\//g, '').trim());
  if (sleep) return Number(sleep[1]) * 1000;
  const hint = /\/\*[^*]*\bcost=(\d+)\b/.exec(text);
  return hint ? Number(hint[1]) : undefined;
}

/** Parses one statement. A comment `/* cost=N *\/` sets for how many ms it holds a slot. */
export function parseStatement(
  source: string,
  parameters: readonly (string | null)[] = [],
): ParsedStatement {
  const text = source
    .replace(/\/\*[\s\S]*?\*\//g, '')
    .replace(/;\s*$/, '')
    .trim();
  const query = parseKeyword(text) ??
    parseVariable(text) ??
    parseControl(text) ??
    parseRead(text, parameters) ??
    parseWrite(text, parameters) ?? { kind: 'unsupported', text };
  return { query, costMs: findCost(source) };
}

/** Counts the `$n` parameters of a statement. */
export function countParameters(source: string): number {
  return [...source.matchAll(/\$(\d+)/g)].reduce((max, [, n]) => Math.max(max, Number(n)), 0);
}

/** Lists the column names of a query's result; undefined when it returns no rows. */
export function listColumns(query: Query): readonly string[] | undefined {
  return match(query)
    .with({ kind: P.union('find', 'constant', 'call') }, () => ['value'])
    .with({ kind: 'count' }, () => ['count'])
    .with({ kind: 'show' }, ({ name }) => [name])
    .with({ kind: 'payload' }, () => ['payload'])
    .with({ kind: 'list' }, () => ['key', 'value'])
    .with({ kind: 'status' }, () => [
      'incarnation',
      'role',
      'fence_term',
      'durable_term',
      'durable_offset',
      'applied_term',
      'applied_offset',
      'following',
      'connections',
      'running',
    ])
    .with({ kind: 'fence' }, () => ['incarnation', 'granted', 'durable_term', 'durable_offset'])
    .with({ kind: P.union('promote', 'follow') }, () => ['done'])
    .otherwise(() => undefined);
}
