export type StatementKind =
  'read' | 'write' | 'begin' | 'commit' | 'rollback' | 'set' | 'session' | 'copy' | 'empty';

/** What the proxy needs to know of a statement's text. */
export interface Statement {
  readonly kind: StatementKind;
  /** Text without leading comments. */
  readonly text: string;
  /** Contract named in the leading comment. */
  readonly contract?: string;
  /** Idempotency key named in the leading comment. */
  readonly once?: string;
  /** True when the text holds more than one statement. */
  readonly multiple: boolean;
}

const LEADING_COMMENT = /^\s*(?:\/\*([\s\S]*?)\*\/|--([^\n]*)(?:\n|$))/;
const HINT = /\b(contract|once)=([\w.:-]{1,128})/g;
const LOCKING = /\bfor\s+(?:no\s+key\s+update|update|share|key\s+share)\b/i;
const SESSION_BOUND =
  /^(?:listen|unlisten|declare|create\s+(?:global\s+|local\s+)?temp|prepare|deallocate|discard)\b|\bpg_(?:try_)?advisory_lock/i;
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

function classifyText(text: string): StatementKind {
  const keyword = /^[a-z]+/i.exec(text)?.[0].toLowerCase();
  if (keyword === undefined) return text === '' ? 'empty' : 'write';
  if (SESSION_BOUND.test(text)) return 'session';
  if (READ_KEYWORDS.has(keyword)) {
    return LOCKING.test(text) || /\binto\b/i.test(text) ? 'write' : 'read';
  }
  if (keyword === 'rollback' && /^rollback\s+(?:work\s+|transaction\s+)?to\b/i.test(text)) {
    return 'write';
  }
  return KIND_BY_KEYWORD.get(keyword) ?? 'write';
}

/**
 * Classifies a statement by its first keyword and reads the hints of its leading comment,
 * `/* shallotpick contract=NAME once=KEY *\/`. A write that is taken for a read is harmless:
 * a replica refuses it before execution, and on the primary it is acknowledged as a write
 * whenever the log moved.
 */
export function classifyStatement(source: string): Statement {
  let text = source;
  const hints: { contract?: string; once?: string } = {};
  for (let comment = LEADING_COMMENT.exec(text); comment; comment = LEADING_COMMENT.exec(text)) {
    const body = comment[1] ?? comment[2] ?? '';
    if (body.trimStart().startsWith('shallotpick')) {
      for (const [, name, value] of body.matchAll(HINT)) hints[name as keyof typeof hints] = value;
    }
    text = text.slice(comment[0].length);
  }
  text = text.trim().replace(/;\s*$/, '');
  return { kind: classifyText(text), text, multiple: text.includes(';'), ...hints };
}
