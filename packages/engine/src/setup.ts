import { createHash } from 'node:crypto';
import type { InstanceConnection } from './connection.js';
import type { Access, DataStatement, Operation, SessionOperation } from './statement.js';

/** Longer texts are remembered by their hash, so that connections hold little between sessions. */
const MAX_REMEMBERED_LENGTH = 256;
const HASH_PREFIX = 'sha256 ';
/** Prepared statements of a connection; it is reset before it has more. */
const MAX_STATEMENTS = 1_000;

/** A prepared statement of a session. */
export interface PreparedStatement {
  readonly access: Access;
  readonly shape: string;
}

/** Session state that every connection needs before it runs the session's statements. */
export interface SessionState {
  readonly variables: ReadonlyMap<string, string>;
  readonly statements: ReadonlyMap<string, PreparedStatement>;
}

/** Whether a statement of the session reads or writes; undefined when its prepared name is unknown. */
export function findAccess(state: SessionState, statement: DataStatement): Access | undefined {
  if (statement.kind !== 'execute') return statement.kind;
  return state.statements.get(statement.name)?.access;
}

/** Returns a text that stands for this one only; one that looks like a hash is hashed as well. */
function truncate(text: string): string {
  if (text.length <= MAX_REMEMBERED_LENGTH && !text.startsWith(HASH_PREFIX)) return text;
  return `${HASH_PREFIX}${createHash('sha256').update(text).digest('hex')}`;
}

function createStatementKey({ access, shape }: PreparedStatement): string {
  return `${access} ${truncate(shape)}`;
}

function hasForeignVariable(connection: InstanceConnection, { variables }: SessionState): boolean {
  return [...connection.variables.keys()].some((name) => !variables.has(name));
}

/**
 * Returns the commands that give a connection the session's variables and the prepared statement
 * that `next` executes. They are recorded as applied at once, since the connection is closed when
 * one of them fails.
 */
export function applySetup(
  connection: InstanceConnection,
  state: SessionState,
  next: SessionOperation,
): readonly Operation[] {
  const operations: Operation[] = [];
  const isFull = next.kind === 'execute' && connection.statements.size >= MAX_STATEMENTS;
  if (isFull || hasForeignVariable(connection, state)) {
    operations.push({ kind: 'reset' });
    connection.variables.clear();
    connection.statements.clear();
  }
  state.variables.forEach((value, name) => {
    const remembered = truncate(value);
    if (connection.variables.get(name) === remembered) return;
    operations.push({ kind: 'set', name, value });
    connection.variables.set(name, remembered);
  });
  if (next.kind !== 'execute') return operations;
  const prepared = state.statements.get(next.name);
  const key = prepared && createStatementKey(prepared);
  if (!prepared || key === undefined || connection.statements.has(key)) return operations;
  const name = `p${connection.statements.size + 1}`;
  connection.statements.set(key, name);
  const { access, shape } = prepared;
  return [...operations, { kind: 'prepare', name, access, shape }];
}

/** Replaces the session's name of a prepared statement by the connection's name. */
export function toOperation(
  connection: InstanceConnection,
  state: SessionState,
  statement: SessionOperation,
): Operation {
  if (statement.kind !== 'execute') return statement;
  const prepared = state.statements.get(statement.name);
  const key = prepared ? createStatementKey(prepared) : '';
  return { ...statement, name: connection.statements.get(key) ?? statement.name };
}
