import type { ErrorFields } from '@shallotpick/wire';
import { SQLSTATE } from './sqlstate.js';

/** An error response that refuses or ends a request. */
export type Refusal = Omit<ErrorFields, 'severity'>;

/** Creates the refusal of a request that provably did not run. */
export function createNotRunError(message: string): Refusal {
  return { code: SQLSTATE.notRun, message: `not run: ${message}` };
}
