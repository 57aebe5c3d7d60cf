import { InvalidNoteError } from '../errors.js';
import {
  applyNote,
  checkNote,
  type Configuration,
  EMPTY_CONFIGURATION,
  formatNoteKey,
  MAX_VALUE_BYTES,
  type NoteIssue,
  parseNote,
  type ReleaseNote,
} from './note.js';
import type { PlatformWriteOutcome } from './platform.js';

/** Limit of the changes reported to a submitter with an outdated base; bounds the reads. */
const MAX_REPORTED_CHANGES = 200;

/** A note with the number under which it was accepted. */
export interface NumberedNote {
  readonly number: number;
  readonly note: ReleaseNote;
}

/** Next request for the platform, or the outcome of a submission. */
export type ChainDecision =
  | { readonly kind: 'read'; readonly number: number }
  | { readonly kind: 'write'; readonly key: string; readonly value: string }
  | { readonly kind: 'accepted'; readonly number: number; readonly repeated: boolean }
  /** Another note has the number; `changes` are the notes since the base. */
  | { readonly kind: 'outdated'; readonly changes: readonly NumberedNote[] }
  | { readonly kind: 'invalid'; readonly issues: readonly NoteIssue[] };

/** Parses the stored text of a note. */
export function parseNoteText(text: string): ReleaseNote {
  const parsed = parseNote(JSON.parse(text));
  if (parsed.kind === 'note') return parsed.note;
  throw new InvalidNoteError('the stored note is not valid');
}

/**
 * One reader's copy of the accepted notes, applied to a configuration, and the submission of the
 * next note. A submission reads until the newest note is known, creates the next number if it is
 * absent, and reads that number back after a lost answer or a conflict.
 */
export class NoteChain {
  private readonly known = new Map<number, ReleaseNote>();

  private readonly numbers = new Map<string, number>();

  private submitted: ReleaseNote | undefined;

  constructor(private current: Configuration = EMPTY_CONFIGURATION) {}

  get configuration(): Configuration {
    return this.current;
  }

  /** Adds an accepted note; false when it is not the next one. Numbers never decrease. */
  add(number: number, text: string): boolean {
    if (number !== this.current.number + 1) return false;
    const note = parseNoteText(text);
    this.current = applyNote(this.current, note);
    this.known.set(number, note);
    this.numbers.set(note.id, number);
    return true;
  }

  /** Starts a submission. */
  submit(note: ReleaseNote): ChainDecision {
    this.submitted = note;
    return { kind: 'read', number: this.current.number + 1 };
  }

  /** Handles the stored note with the requested number, or its absence. */
  handleRead(number: number, text: string | undefined): ChainDecision {
    if (text === undefined) return this.decide();
    if (number <= this.current.number) this.known.set(number, parseNoteText(text));
    else this.add(number, text);
    return { kind: 'read', number: this.findMissing() ?? this.current.number + 1 };
  }

  /** Handles the outcome of the write; unless it succeeded, the stored note decides. */
  handleWrite(outcome: PlatformWriteOutcome): ChainDecision {
    if (outcome.kind === 'written' && this.submitted) {
      const number = this.current.number + 1;
      this.add(number, JSON.stringify(this.submitted));
      return { kind: 'accepted', number, repeated: false };
    }
    return { kind: 'read', number: this.current.number + 1 };
  }

  /** Finds the lowest number whose note is needed for the decision and not known. */
  private findMissing(): number | undefined {
    const { number: newest } = this.current;
    const first = (this.submitted?.base ?? newest) + 1;
    // The note after the base shows whether the submitted note was accepted before.
    if (first <= newest && !this.known.has(first)) return first;
    for (
      let number = Math.max(first, newest - MAX_REPORTED_CHANGES + 1);
      number <= newest;
      number++
    ) {
      if (!this.known.has(number)) return number;
    }
    return undefined;
  }

  private decide(): ChainDecision {
    const { submitted: note, current } = this;
    if (!note) return { kind: 'invalid', issues: [] };
    const missing = this.findMissing();
    if (missing !== undefined) return { kind: 'read', number: missing };
    const changes = [...this.known]
      .filter(([number]) => number > note.base)
      .sort(([a], [b]) => a - b)
      .map(([number, one]) => ({ number, note: one }));
    const same =
      this.numbers.get(note.id) ?? changes.find((one) => one.note.id === note.id)?.number;
    if (same !== undefined) return this.decideRepeated(same, note);
    if (note.base < current.number) return { kind: 'outdated', changes };
    const issues = checkNote(current, note);
    if (issues.length > 0) return { kind: 'invalid', issues };
    const value = JSON.stringify(note);
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
      const message = `the note has ${Buffer.byteLength(value)} bytes; allowed: ${MAX_VALUE_BYTES}`;
      return { kind: 'invalid', issues: [{ path: [], message }] };
    }
    return { kind: 'write', key: formatNoteKey(current.number + 1), value };
  }

  /** Compares all but the base, which an operator may have changed before a retry. */
  private decideRepeated(number: number, note: ReleaseNote): ChainDecision {
    const accepted = this.known.get(number);
    const isSame =
      JSON.stringify({ ...accepted, base: 0 }) === JSON.stringify({ ...note, base: 0 });
    if (isSame) return { kind: 'accepted', number, repeated: true };
    const message = `note ${number} has the id ${note.id} with other content; allowed: a new id`;
    return { kind: 'invalid', issues: [{ path: ['id'], message }] };
  }
}
