import {
  BACKEND,
  type Frame,
  parseFields,
  serialize,
  type TransactionState,
} from '@shallotpick/wire';
import type { InstanceConnection } from './connection.js';

/** The end of a statement that the proxy ran for itself. */
export interface InternalAnswer {
  readonly state: TransactionState;
  /** The first error. */
  readonly error?: { readonly code: string; readonly message: string };
}

/**
 * Runs SQL of the proxy on a connection and drops its rows.
 *
 * @throws InstanceError when the connection breaks.
 */
export async function runInternal(
  connection: InstanceConnection,
  sql: string,
): Promise<InternalAnswer> {
  let error: InternalAnswer['error'];
  // A simple Query ends the connection's unnamed statement.
  connection.statements.delete('');
  const state = await connection.run(serialize.query(sql), {
    handleFrame: ({ type, body }: Frame) => {
      if (type !== BACKEND.error || error) return;
      const fields = parseFields(body);
      error = { code: fields.get('C') ?? 'XX000', message: fields.get('M') ?? 'error' };
    },
    flush: () => false,
  });
  return { state, ...(error ? { error } : {}) };
}
