import {
  BACKEND,
  type Frame,
  parseErrorFields,
  serialize,
  type TransactionState,
} from '@shallotpick/wire';
import type { InstanceConnection } from './connection.js';

/** The result of a statement that the proxy ran for its own purposes. */
export interface InternalResult {
  readonly state: TransactionState;
  /** The first error. */
  readonly error?: { readonly code: string; readonly message: string };
}

/**
 * Runs a statement of the proxy itself on a connection and discards its rows.
 *
 * @throws InstanceError when the connection breaks.
 */
export async function runInternalStatement(
  connection: InstanceConnection,
  sql: string,
): Promise<InternalResult> {
  let error: InternalResult['error'];
  // A simple Query destroys the connection's unnamed statement.
  connection.statements.delete('');
  const state = await connection.run(serialize.query(sql), {
    handleFrame: ({ type, body }: Frame) => {
      if (type !== BACKEND.error || error) return;
      const fields = parseErrorFields(body);
      error = { code: fields.get('C') ?? 'XX000', message: fields.get('M') ?? 'error' };
    },
    flush: () => false,
  });
  return { state, ...(error ? { error } : {}) };
}
