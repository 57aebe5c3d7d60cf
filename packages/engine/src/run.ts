import type { Millis } from '@shallotpick/core';
import type { InstanceConnection } from './connection.js';
import type { SessionState } from './setup.js';
import type { Command, DataStatement, Reply } from './statement.js';
import { waitAtMost } from './timing.js';

/**
 * Runs one command and passes its reply to the connection's observer.
 *
 * @throws ConnectionError when no complete reply arrives.
 */
export async function runObserved(
  connection: InstanceConnection,
  command: Command,
): Promise<Reply> {
  const { observer } = connection;
  const sentAt = observer?.readNow() ?? 0;
  const reply = await connection.run(command);
  observer?.handleReply(connection, command, reply, sentAt);
  // The recorded prepared statements don't match those that the instance has.
  if (reply.failure?.verdict === 'unknownStatement') connection.close();
  return reply;
}

/**
 * Runs one command within a time limit.
 *
 * @throws ConnectionError when no complete reply arrives in time; the connection is then closed.
 */
export async function runCommand(
  connection: InstanceConnection,
  command: Command,
  timeoutMs: Millis,
): Promise<Reply> {
  try {
    return await waitAtMost(runObserved(connection, command), timeoutMs);
  } catch (error) {
    connection.close();
    throw error;
  }
}

/**
 * Prepares a connection for the session and runs a statement of the session on it.
 *
 * @throws ConnectionError when no complete reply arrives in time; the connection is then closed.
 */
export async function runStatement(
  connection: InstanceConnection,
  state: SessionState,
  statement: DataStatement,
  command: Omit<Command, 'operation'>,
  timeoutMs: Millis,
): Promise<Reply> {
  connection.setUp(state, statement);
  const operation = connection.toOperation(state, statement);
  return runCommand(connection, { ...command, operation }, timeoutMs);
}

/** Rolls back an open transaction; closes the connection when that fails. */
export async function rollBack(connection: InstanceConnection, timeoutMs: Millis): Promise<void> {
  try {
    const command = { operation: { kind: 'rollback' } } as const;
    const reply = await runCommand(connection, command, timeoutMs);
    if (reply.failure) connection.close();
  } catch {
    // The instance rolls back when the connection closes.
    connection.close();
  }
}
