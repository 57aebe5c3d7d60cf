import { classifyStatements, type Statement } from '@shallotpick/core';

const MAX_ENTRIES = 2_000;
/** Longer texts carry literals and seldom come again. */
const MAX_KEY_LENGTH = 2_000;

/** Remembers what was computed from short texts; it is emptied when full. */
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

const classified = new TextCache(classifyStatements);

/** Classifies the statements of a text, or finds them as classified before. */
export function classifyCached(text: string): readonly Statement[] {
  return classified.find(text);
}
