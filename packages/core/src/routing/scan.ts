/** One statement of a query text, as split by `parseScript`. */
export interface ScannedStatement {
  /** The statement as written, with its comments and without the semicolon. */
  readonly source: string;
  /** The statement with comments blanked and string literals emptied, for matching keywords. */
  readonly outline: string;
}

/**
 * Matches quoted text, comments and semicolons. An unterminated quote matches no alternative, and
 * the instance refuses such a text as a whole.
 */
const TOKEN =
  /(?<!\w)e'(?:[^'\\]|\\[\s\S]|'')*'|'(?:[^']|'')*'|"(?:[^"]|"")*"|(?<!\w)\$([a-z_]\w*)?\$[\s\S]*?\$\1\$|--[^\n]*|\/\*|;/gi;
const COMMENT_EDGE = /\/\*|\*\//g;

/** Finds the end of a block comment, which may be nested. */
function findCommentEnd(text: string, start: number): number {
  let depth = 0;
  COMMENT_EDGE.lastIndex = start;
  for (let edge = COMMENT_EDGE.exec(text); edge; edge = COMMENT_EDGE.exec(text)) {
    depth += edge[0] === '/*' ? 1 : -1;
    if (depth === 0) return edge.index + 2;
  }
  return text.length;
}

function toOutline(token: string): string {
  if (token.startsWith('--') || token.startsWith('/*')) return ' ';
  return token.startsWith('"') ? token : "''";
}

/** Splits a query text into statements at the semicolons outside quotes and comments. */
export function parseScript(text: string): readonly ScannedStatement[] {
  const statements: ScannedStatement[] = [];
  const scan = new RegExp(TOKEN);
  let start = 0;
  let copied = 0;
  let outline = '';
  const add = (end: number): void => {
    const full = outline + text.slice(copied, end);
    if (full.trim() !== '') statements.push({ source: text.slice(start, end), outline: full });
    outline = '';
  };
  for (let token = scan.exec(text); token; token = scan.exec(text)) {
    if (token[0] === ';') {
      add(token.index);
      start = token.index + 1;
      copied = start;
      continue;
    }
    const end = token[0] === '/*' ? findCommentEnd(text, token.index) : scan.lastIndex;
    outline += text.slice(copied, token.index) + toOutline(token[0]);
    copied = end;
    scan.lastIndex = end;
  }
  add(text.length);
  return statements.length > 0 ? statements : [{ source: text, outline: '' }];
}
