import type { Millis } from '@shallotpick/core';
import type { InstanceConnection } from './connection.js';
import { NotSentError } from './errors.js';
import type { SessionState } from './setup.js';
import type {
  Command,
  ProxyCommand,
  Reply,
  SessionCommand,
  SessionOperation,
} from './statement.js';
import { waitAtMost } from './timing.js';

/** How an operation of a session relies on the session's values on its connection. */
type Preparation =
  /** They are sent in one packet with it. */
  | 'ahead'
  /** They are acknowledged before it is sent. */
  | 'confirmed'
  /** Its effect is the same with any values. */
  | 'none';

/**
 * Every operation of a session goes through `sendInSession`, which looks here. A COMMIT can't be
 * taken back when a value in front of it is refused, and values rarely change right before it.
 */
const PREPARATIONS: Readonly<Record<SessionOperation['kind'], Preparation>> = {
  begin: 'ahead',
  read: 'ahead',
  write: 'ahead',
  execute: 'ahead',
  commit: 'confirmed',
  rollback: 'none',
};

/**
 * Runs one command and passes its reply to the connection's observer.
 *
 * @throws ConnectionError when no complete reply arrives.
 */
async function runObserved(connection: InstanceConnection, command: Command): Promise<Reply> {
  const { observer } = connection;
  const sentAt = observer?.readNow() ?? 0;
  const reply = await connection.run(command);
  observer?.handleReply(connection, command, reply, sentAt);
  // The recorded prepared statements don't match those that the instance has.
  if (reply.failure?.verdict === 'unknownStatement') connection.close();
  return reply;
}

async function runInTime(
  connection: InstanceConnection,
  reply: Promise<Reply>,
  timeoutMs: Millis,
): Promise<Reply> {
  try {
    return await waitAtMost(reply, timeoutMs);
  } catch (error) {
    connection.close();
    throw error;
  }
}

/** @throws NotSentError when the connection hasn't got the session's values. */
async function confirmSetUp(connection: InstanceConnection, setUp: Promise<void>): Promise<void> {
  try {
    await setUp;
  } catch (cause) {
    throw new NotSentError('the values of the session were not acknowledged', { cause });
  }
  if (!connection.isUsable()) throw new NotSentError('the connection broke before');
}

/**
 * Prepares a connection for the session and runs an operation of the session on it.
 *
 * @param state undefined when the connection is known to have the session's values
 * @throws NotSentError when the operation was not sent.
 * @throws ConnectionError when no complete reply arrives.
 */
export async function sendInSession(
  connection: InstanceConnection,
  state: SessionState | undefined,
  command: SessionCommand,
): Promise<Reply> {
  const preparation = PREPARATIONS[command.operation.kind];
  if (!state || preparation === 'none') return runObserved(connection, command);
  const setUp = connection.setUp(state, command.operation);
  setUp.catch(() => undefined);
  if (preparation === 'confirmed') await confirmSetUp(connection, setUp);
  const operation = connection.toOperation(state, command.operation);
  const reply = await runObserved(connection, { ...command, operation });
  // Behind a value that was refused the operation has run with another one.
  await setUp;
  return reply;
}

/**
 * Runs an operation of a session within a time limit.
 *
 * @throws NotSentError when the operation was not sent.
 * @throws ConnectionError when no complete reply arrives in time; the connection is then closed.
 */
export async function runInSession(
  connection: InstanceConnection,
  state: SessionState,
  command: SessionCommand,
  timeoutMs: Millis,
): Promise<Reply> {
  return runInTime(connection, sendInSession(connection, state, command), timeoutMs);
}

/**
 * Runs a command of the proxy itself, which no values of a session concern, within a time limit.
 *
 * @throws ConnectionError when no complete reply arrives in time; the connection is then closed.
 */
export async function runCommand(
  connection: InstanceConnection,
  command: ProxyCommand,
  timeoutMs: Millis,
): Promise<Reply> {
  return runInTime(connection, runObserved(connection, command), timeoutMs);
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
