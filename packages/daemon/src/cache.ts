import { classifyStatements, type Statement } from '@shallotpick/core';

const MAX_ENTRIES = 2_000;
/** Longer texts usually contain literals and rarely repeat. */
const MAX_KEY_LENGTH = 2_000;

/** Caches values computed from short texts; it is cleared when full. */
export class TextCache<T> {
  private readonly entries = new Map<string, T>();

  constructor(private readonly compute: (text: string) => T) {}

  find(text: string): T {
    const known = this.entries.get(text);
    if (known !== undefined) return known;
    const value = this.compute(text);
    if (text.length > MAX_KEY_LENGTH) return value;
    if (this.entries.size >= MAX_ENTRIES) this.entries.clear();
    this.entries.set(text, value);
    return value;
  }
}

const statementCache = new TextCache(classifyStatements);

/** Classifies the statements of a text, using cached results. */
export function classifyCached(text: string): readonly Statement[] {
  return statementCache.find(text);
}
