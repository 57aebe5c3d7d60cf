import type { SessionContext } from './context.js';
import { RefusedError } from './errors.js';
import type { Lease } from './group.js';
import { runInternalStatement } from './internal.js';
import { createNotRunError, type Refusal } from './refusal.js';
import { SQLSTATE } from './sqlstate.js';

/** The result of inserting an idempotency key, which a caller sets with the hint `once`. */
export type IdempotencyKeyInsertion =
  | { readonly kind: 'inserted' }
  | { readonly kind: 'alreadyRan' }
  | { readonly kind: 'readOnly' }
  | { readonly kind: 'refused'; readonly error: Refusal };

/**
 * Inserts the key in the transaction of the request, optionally opening it first. Unless the key
 * was inserted, the connection's transaction has failed.
 *
 * @throws InstanceError when the connection breaks; nothing was committed.
 */
export async function insertIdempotencyKey(
  lease: Lease,
  key: string,
  opens: boolean,
): Promise<IdempotencyKeyInsertion> {
  // Safe without escaping: classification accepts only word characters, dots, colons and hyphens.
  const insert = `INSERT INTO shallotpick_once(key) VALUES ('${key}')`;
  const { error } = await runInternalStatement(
    lease.connection,
    opens ? `BEGIN; ${insert}` : insert,
  );
  if (!error) return { kind: 'inserted' };
  if (error.code === SQLSTATE.uniqueViolation) return { kind: 'alreadyRan' };
  if (error.code === SQLSTATE.readOnly) return { kind: 'readOnly' };
  const message = `the once-key could not be stored (${error.code}: ${error.message})`;
  return { kind: 'refused', error: createNotRunError(message) };
}

/** Rolls back the connection's transaction; closes the connection when that fails. */
export async function rollBackTransaction(lease: Lease): Promise<void> {
  await runInternalStatement(lease.connection, 'ROLLBACK').catch(() => lease.connection.close());
}

/**
 * Commits the transaction that the proxy opened around a request.
 *
 * @throws InstanceError when the connection breaks; the outcome is unknown.
 * @throws RefusedError when the instance rolled the transaction back.
 */
export async function commitTransaction(lease: Lease): Promise<void> {
  const { error, state } = await runInternalStatement(lease.connection, 'COMMIT');
  if (!error && state === 'I') return;
  const reason = error ? `${error.code}: ${error.message}` : 'the transaction stayed open';
  throw new RefusedError(`the instance rolled the work back (${reason})`);
}

/** Creates the error for a repeated request, once a majority holds the first run. */
export async function createAlreadyRanError(
  context: SessionContext,
  lease: Lease,
  key: string,
): Promise<Refusal> {
  const unknown = await context.waitForAcknowledgement(lease);
  return unknown ?? { code: SQLSTATE.alreadyRan, message: `work with once-key "${key}" has run` };
}
