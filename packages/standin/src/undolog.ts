/** How long changes can be undone, in milliseconds. */
const UNDO_MS = 30_000;

interface UndoEntry<T> {
  readonly at: number;
  readonly change: T;
}

/** Recent changes of a store, with which it can be brought back to an earlier state. */
export class UndoLog<T> {
  private entries: readonly UndoEntry<T>[] = [];

  add(change: T): void {
    const at = performance.now();
    const recent = this.entries.filter((entry) => at - entry.at < UNDO_MS);
    this.entries = [...recent, { at, change }];
  }

  /** Removes the changes of the last `ageMs` and returns them, newest first. */
  takeRecent(ageMs: number): readonly T[] {
    const since = performance.now() - ageMs;
    const recent = this.entries.filter(({ at }) => at > since);
    this.entries = this.entries.filter(({ at }) => at <= since);
    return recent.map(({ change }) => change).reverse();
  }
}
