/** A change of a session variable; no name means all variables, no value means the default. */
export interface VariableChange {
  readonly name: string | undefined;
  readonly value: string | undefined;
  readonly isLocal: boolean;
}

/** The session variables of one connection, including those that a rollback would restore. */
export class SessionVariables {
  private committed: ReadonlyMap<string, string> = new Map();

  private current = new Map<string, string>();

  private readonly local = new Map<string, string>();

  find(name: string): string {
    return this.local.get(name) ?? this.current.get(name) ?? 'default';
  }

  apply({ name, value, isLocal }: VariableChange): void {
    if (name === undefined) this.current.clear();
    else if (isLocal) this.local.set(name, value ?? 'default');
    else if (value === undefined) this.current.delete(name);
    else this.current.set(name, value);
  }

  /** Ends the transaction; without a commit, the values before it are restored. */
  finish(committed: boolean): void {
    this.local.clear();
    if (committed) this.committed = new Map(this.current);
    else this.current = new Map(this.committed);
  }
}
