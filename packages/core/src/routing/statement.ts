import { parseScript, type ScannedStatement } from './scan.js';

/** The kind of a statement, which decides how the proxy handles it. */
export type StatementKind =
  'read' | 'write' | 'begin' | 'commit' | 'rollback' | 'set' | 'session' | 'copy' | 'empty';

/** The classification of a statement, as needed by the proxy. */
export interface Statement {
  readonly kind: StatementKind;
  /** Text without leading comments. */
  readonly text: string;
  /** Contract named in the leading comment. */
  readonly contract?: string;
  /** Idempotency key named in the leading comment. */
  readonly once?: string;
  /** A hint with an invalid value, reported because ignoring it could run work twice. */
  readonly invalidHint?: string;
  /** True when the text holds more than one statement. */
  readonly multiple: boolean;
  /** True for a read that calls a function not known to be read-only. */
  readonly mayWrite?: boolean;
}

const LEADING_COMMENT = /^\s*(?:\/\*([\s\S]*?)\*\/|--([^\n]*)(?:\n|$))/;
const HINT = /\b(contract|once)=(\S+)/g;
const HINT_VALUE = /^[\w.:-]{1,128}$/;
const LOCKING = /\bfor\s+(?:no\s+key\s+update|update|share|key\s+share)\b/i;
const SESSION_BOUND =
  /^(?:listen|unlisten|declare|create\s+(?:(?:global|local)\s+)?temp(?:orary)?|prepare|execute|deallocate|discard|load)\b|\bpg_(?:try_)?advisory_(?:un)?lock|\bset_config\s*\((?![^()]*,\s*true\s*\))/i;
const TEMPORARY_RESULT = /\binto\s+(?:(?:global|local)\s+)?temp(?:orary)?\b/i;
const CALL = /([\w$."]+)\s*\(/g;
const READ_KEYWORDS: ReadonlySet<string> = new Set(['select', 'show', 'values', 'table']);
const KIND_BY_KEYWORD: ReadonlyMap<string, StatementKind> = new Map([
  ['begin', 'begin'],
  ['start', 'begin'],
  ['commit', 'commit'],
  ['end', 'commit'],
  ['rollback', 'rollback'],
  ['abort', 'rollback'],
  ['set', 'set'],
  ['reset', 'set'],
  ['copy', 'copy'],
]);
/** Built-in functions without effects, and keywords that may stand before a parenthesis. */
const READ_ONLY_CALLS: ReadonlySet<string> = new Set(
  `abs age all and any array array_agg array_length as avg between bool_and bool_or by case cast ceil
  ceiling char_length coalesce concat concat_ws count cume_dist current_database current_schema
  current_setting date_part date_trunc dense_rank distinct else every except exists extract filter
  first_value floor format from generate_series greatest group having in initcap intersect is join
  json_agg json_array_length json_build_array json_build_object jsonb_agg jsonb_array_length
  jsonb_build_array jsonb_build_object lag last_value lateral lead least left length like limit
  lower lpad ltrim make_date make_interval max md5 min mod not now ntile nullif numeric nth_value on
  or order over partition percent_rank percentile_cont percentile_disc pg_sleep position power rank
  regexp_replace repeat replace right round row row_number row_to_json rpad rtrim select similar
  some split_part sqrt string_agg substr substring sum table then to_char to_date to_json to_jsonb
  to_number to_timestamp trim trunc union unnest upper using values varchar version when where
  with within`.split(/\s+/),
);

function hasUnknownCall(outline: string): boolean {
  for (const [, name = ''] of outline.matchAll(CALL)) {
    if (!READ_ONLY_CALLS.has(name.toLowerCase().replace(/^pg_catalog\./, ''))) return true;
  }
  return false;
}

function classifyText(text: string): StatementKind {
  const keyword = /^[a-z]+/i.exec(text)?.[0].toLowerCase();
  if (keyword === undefined) return text === '' ? 'empty' : 'write';
  if (SESSION_BOUND.test(text) || TEMPORARY_RESULT.test(text)) return 'session';
  if (READ_KEYWORDS.has(keyword)) {
    return LOCKING.test(text) || /\binto\b/i.test(text) ? 'write' : 'read';
  }
  if (/^rollback\s+(?:(?:work|transaction)\s+)?to\b/i.test(text)) return 'write';
  if (/^(?:commit|rollback)\s+prepared\b/i.test(text)) return 'write';
  return KIND_BY_KEYWORD.get(keyword) ?? 'write';
}

function classifyOne({ source, outline }: ScannedStatement, multiple: boolean): Statement {
  let text = source;
  const hints: { contract?: string; once?: string; invalidHint?: string } = {};
  for (let comment = LEADING_COMMENT.exec(text); comment; comment = LEADING_COMMENT.exec(text)) {
    const body = comment[1] ?? comment[2] ?? '';
    if (body.trimStart().startsWith('shallotpick')) {
      for (const [hint, name, value = ''] of body.matchAll(HINT)) {
        if (!HINT_VALUE.test(value)) hints.invalidHint = hint.slice(0, 80);
        else hints[name as 'contract' | 'once'] = value;
      }
    }
    text = text.slice(comment[0].length);
  }
  const kind = classifyText(outline.trim());
  const mayWrite = kind === 'read' && hasUnknownCall(outline) ? { mayWrite: true } : {};
  return { kind, text: text.trim(), multiple, ...mayWrite, ...hints };
}

/**
 * Classifies each statement of a query text by its first keyword, and reads the hints of its
 * leading comment, `/* shallotpick contract=NAME once=KEY *\/`. A write that is misclassified as a
 * read is refused by a replica before execution. On the primary a read counts as a write when it
 * calls a function not known to be read-only; a write hidden in a view or rule is not detected.
 */
export function classifyStatements(source: string): readonly Statement[] {
  const statements = parseScript(source);
  return statements.map((statement) => classifyOne(statement, statements.length > 1));
}

/** Classifies the first statement of a text. */
export function classifyStatement(source: string): Statement {
  const [first] = classifyStatements(source);
  return first ?? { kind: 'empty', text: '', multiple: false };
}
