import type { SessionContext } from './context.js';
import { RefusedError } from './errors.js';
import type { Lease } from './group.js';
import { runInternalStatement } from './internal.js';
import type { Refusal } from './summary.js';
import { SQLSTATE } from './sqlstate.js';

/** How the insertion of a once-key ended. */
export type IdempotencyKeyInsertion =
  | { readonly kind: 'claimed' }
  | { readonly kind: 'alreadyRan' }
  | { readonly kind: 'readOnly' }
  | { readonly kind: 'refused'; readonly error: Refusal };

/**
 * Inserts the key in the transaction of the work, optionally opening it first. The connection's
 * transaction has failed unless the key was claimed.
 *
 * @throws InstanceError when the connection breaks; nothing has committed then.
 */
export async function insertIdempotencyKey(
  lease: Lease,
  key: string,
  opens: boolean,
): Promise<IdempotencyKeyInsertion> {
  // Classification admits only word characters, dots, colons and hyphens in a key.
  const insert = `INSERT INTO shallotpick_once(key) VALUES ('${key}')`;
  const { error } = await runInternalStatement(
    lease.connection,
    opens ? `BEGIN; ${insert}` : insert,
  );
  if (!error) return { kind: 'claimed' };
  if (error.code === SQLSTATE.uniqueViolation) return { kind: 'alreadyRan' };
  if (error.code === SQLSTATE.readOnly) return { kind: 'readOnly' };
  const message = `not run: the once-key could not be stored (${error.code}: ${error.message})`;
  return { kind: 'refused', error: { code: SQLSTATE.notRun, message } };
}

/** Ends the transaction of a connection without effect; one that breaks is closed anyway. */
export async function rollBackTransaction(lease: Lease): Promise<void> {
  await runInternalStatement(lease.connection, 'ROLLBACK').catch(() => lease.connection.close());
}

/**
 * Commits the transaction that the proxy opened around the work.
 *
 * @throws InstanceError when the connection breaks; the outcome is unknown then.
 * @throws RefusedError when the instance rolled the transaction back.
 */
export async function commitTransaction(lease: Lease): Promise<void> {
  const { error, state } = await runInternalStatement(lease.connection, 'COMMIT');
  if (!error && state === 'I') return;
  const reason = error ? `${error.code}: ${error.message}` : 'the transaction stayed open';
  throw new RefusedError(`the instance rolled the work back (${reason})`);
}

/** The answer to a second arrival, once a majority holds the first run. */
export async function createAlreadyRanError(
  context: SessionContext,
  lease: Lease,
  key: string,
): Promise<Refusal> {
  const unknown = await context.waitForAcknowledgement(lease);
  return unknown ?? { code: SQLSTATE.alreadyRan, message: `work with once-key "${key}" has run` };
}
