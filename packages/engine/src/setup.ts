import type { InstanceConnection } from './connection.js';
import type { Access, Operation, Statement } from './statement.js';

/** A statement that a caller has prepared. */
export interface PreparedStatement {
  readonly access: Access;
  readonly shape: string;
}

/** What a session has set; kept here, since its statements run on many connections. */
export interface SessionState {
  readonly variables: ReadonlyMap<string, string>;
  readonly statements: ReadonlyMap<string, PreparedStatement>;
}

function hasForeignValue(
  connection: InstanceConnection,
  { variables: values }: SessionState,
): boolean {
  return [...connection.variables.keys()].some((name) => !values.has(name));
}

/**
 * Finds the commands that bring a connection to the session's values and to the statement that
 * comes next, and notes them as done: when one of them fails, the connection is closed.
 */
export function applySetup(
  connection: InstanceConnection,
  state: SessionState,
  next: Statement,
): readonly Operation[] {
  const operations: Operation[] = [];
  if (hasForeignValue(connection, state)) {
    operations.push({ kind: 'reset' });
    connection.variables.clear();
    connection.statements.clear();
  }
  state.variables.forEach((value, name) => {
    if (connection.variables.get(name) === value) return;
    operations.push({ kind: 'set', name, value });
    connection.variables.set(name, value);
  });
  if (next.kind !== 'execute') return operations;
  const prepared = state.statements.get(next.name);
  const key = prepared && `${prepared.access} ${prepared.shape}`;
  if (!prepared || key === undefined || connection.statements.has(key)) return operations;
  const name = `p${connection.statements.size + 1}`;
  connection.statements.set(key, name);
  return [...operations, { kind: 'prepare', name, ...prepared }];
}

/** Replaces the caller's name of a prepared statement by the connection's. */
export function toOperation(
  connection: InstanceConnection,
  state: SessionState,
  statement: Statement & { readonly kind: 'read' | 'write' | 'execute' },
): Operation {
  if (statement.kind !== 'execute') return statement;
  const prepared = state.statements.get(statement.name);
  const key = prepared ? `${prepared.access} ${prepared.shape}` : '';
  return { ...statement, name: connection.statements.get(key) ?? statement.name };
}
