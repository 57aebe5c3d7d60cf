/** How long changes can be undone, in milliseconds. */
const UNDO_MS = 30_000;

interface UndoEntry<T> {
  readonly at: number;
  readonly change: T;
}

/** Recent changes of a store, with which it can be brought back to an earlier state. */
export class UndoLog<T> {
  /** Oldest first. */
  private entries: UndoEntry<T>[] = [];

  add(change: T): void {
    const at = performance.now();
    this.entries.push({ at, change });
    while (at - (this.entries[0]?.at ?? at) >= UNDO_MS) this.entries.shift();
  }

  /** Removes the changes of the last `ageMs` and returns them, newest first. */
  takeRecent(ageMs: number): readonly T[] {
    const since = performance.now() - ageMs;
    const recent = this.entries.filter(({ at }) => at > since);
    this.entries = this.entries.filter(({ at }) => at <= since);
    return recent.map(({ change }) => change).reverse();
  }
}
