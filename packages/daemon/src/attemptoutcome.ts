import { createNotRunError, type Refusal } from './refusal.js';
import { SQLSTATE } from './sqlstate.js';

/** The result of one attempt to run a request. */
export type AttemptOutcome =
  | { readonly kind: 'done' }
  | {
      /** The attempt had no effect, and no byte of a response was forwarded. */
      readonly kind: 'retry';
      readonly wasSent: boolean;
      /** The instance refused a write because it is read-only. */
      readonly isReadOnly?: boolean;
      readonly error: Refusal;
    };

/** The caller has been answered. */
export const DONE: AttemptOutcome = { kind: 'done' };

/** The connection broke before the request was sent. */
export const NOT_SENT: AttemptOutcome = {
  kind: 'retry',
  wasSent: false,
  error: createNotRunError('the connection broke before the request was sent'),
};

/** The instance refused a write because it is read-only. */
export const READ_ONLY: AttemptOutcome = {
  kind: 'retry',
  wasSent: true,
  isReadOnly: true,
  error: createNotRunError('the instance is read-only'),
};

/** The connection broke before a commit, so nothing had effect. */
export const ROLLED_BACK: AttemptOutcome = {
  kind: 'retry',
  wasSent: true,
  error: createNotRunError('the connection broke and the instance rolled back'),
};

/** The connection broke before the first row of a read's answer. */
export const RESPONSE_LOST: AttemptOutcome = {
  kind: 'retry',
  wasSent: true,
  error: {
    code: SQLSTATE.responseInterrupted,
    message: 'the answer broke off before its first row',
  },
};
