import type { Millis } from '@shallotpick/core';
import type { InstanceConnection } from './connection.js';
import { applySetup, type SessionState, toOperation } from './setup.js';
import type { Command, Reply, Statement } from './statement.js';
import { waitAtMost } from './timing.js';

export type DataStatement = Statement & { readonly kind: 'read' | 'write' | 'execute' };

/**
 * Sends commands that belong to the proxy together with the one behind them; a failure of any
 * leaves the connection in an unknown state and closes it.
 */
export function sendSetup(
  connection: InstanceConnection,
  state: SessionState,
  next: Statement,
): void {
  applySetup(connection, state, next).forEach((operation) => {
    connection.run({ operation }).then(
      ({ failure }) => failure && connection.close(),
      () => connection.close(),
    );
  });
}

/**
 * Runs one command.
 *
 * @throws ConnectionError when no whole reply came in time; the connection is closed then.
 */
export async function runCommand(
  connection: InstanceConnection,
  command: Command,
  timeoutMs: Millis,
): Promise<Reply> {
  const { observer } = connection;
  const sentAt = observer?.readNow() ?? 0;
  try {
    const reply = await waitAtMost(connection.run(command), timeoutMs);
    observer?.handleReply(command, reply, sentAt);
    return reply;
  } catch (error) {
    connection.close();
    throw error;
  }
}

/**
 * Runs a statement of the session on a connection.
 *
 * @throws ConnectionError when no whole reply came in time; the connection is closed then.
 */
export async function runStatement(
  connection: InstanceConnection,
  state: SessionState,
  statement: DataStatement,
  command: Omit<Command, 'operation'>,
  timeoutMs: Millis,
): Promise<Reply> {
  sendSetup(connection, state, statement);
  const operation = toOperation(connection, state, statement);
  const reply = await runCommand(connection, { ...command, operation }, timeoutMs);
  // The connection holds other names than noted here.
  if (reply.failure?.verdict === 'unknownStatement') connection.close();
  return reply;
}

/** Ends an open transaction without waiting; the connection is closed when that fails. */
export async function rollBack(connection: InstanceConnection, timeoutMs: Millis): Promise<void> {
  try {
    const command = { operation: { kind: 'rollback' } } as const;
    const reply = await runCommand(connection, command, timeoutMs);
    if (reply.failure) connection.close();
  } catch {
    // The instance rolls back when the connection goes.
    connection.close();
  }
}
