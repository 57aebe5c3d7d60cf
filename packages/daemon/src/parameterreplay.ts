import type { SessionContext } from './context.js';
import type { Lease } from './group.js';
import { runInternalStatement } from './internal.js';

/**
 * Sets the session's parameters on the connection; returns false when the connection is unusable.
 *
 * @param isReadOnly whether the instance must refuse writes of the next request
 */
export async function replayParameters(
  { parameters }: SessionContext,
  { connection }: Lease,
  isReadOnly = false,
): Promise<boolean> {
  const sql = parameters.formatReplay(connection, isReadOnly);
  if (sql === undefined) return connection.isUsable();
  try {
    const { error } = await runInternalStatement(connection, sql);
    if (error) connection.close();
    else parameters.applyReplay(connection, isReadOnly);
  } catch {
    return false;
  }
  return connection.isUsable();
}
