/** A change of a session parameter; no name stands for all, no value for the default. */
export interface VariableChange {
  readonly name: string | undefined;
  readonly value: string | undefined;
  readonly isLocal: boolean;
}

/** The parameters of one connection, with the values that an open transaction may undo. */
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

  /** Ends the transaction. */
  finish(committed: boolean): void {
    this.local.clear();
    if (committed) this.committed = new Map(this.current);
    else this.current = new Map(this.committed);
  }
}
