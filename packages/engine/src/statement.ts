import type { LogPosition } from '@shallotpick/core';

/** A statement of a caller, independent of the protocol that it came in. */
export type Statement =
  | { readonly kind: 'begin'; readonly isReadOnly: boolean }
  | { readonly kind: 'commit' }
  | { readonly kind: 'rollback' }
  | { readonly kind: 'read'; readonly text: string }
  | { readonly kind: 'write'; readonly text: string }
  | { readonly kind: 'set'; readonly name: string; readonly value: string }
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly access: Access;
      readonly shape: string;
    }
  /** `rest` is what follows the statement's name, unchanged. */
  | { readonly kind: 'execute'; readonly name: string; readonly rest: string }
  | { readonly kind: 'deallocate'; readonly name: string }
  | { readonly kind: 'unknown' };

/** What a prepared statement does. */
export type Access = 'read' | 'write';

/** A statement of a caller with the id that it gave. */
export interface CallerRequest {
  readonly id: string;
  readonly statement: Statement;
}

/** What is sent to an instance; `id` is absent for statements of the proxy itself. */
export interface Command {
  readonly id?: string;
  readonly operation: Operation;
  /** The instance refuses the command unless its log holds this position. */
  readonly after?: LogPosition | undefined;
}

export type Operation =
  | Exclude<Statement, { readonly kind: 'unknown' | 'deallocate' }>
  | { readonly kind: 'reset' | 'status' | 'resume' }
  | { readonly kind: 'pause' | 'stepDown'; readonly term: number };

/** Idle, in a transaction, or in a transaction that has failed. */
export type TransactionState = 'idle' | 'open' | 'failed';

/**
 * Why a request was not answered with success. The first group promises that nothing of it has
 * effect; the second promises nothing; the third concerns what was asked.
 */
export type Verdict =
  | 'overloaded'
  | 'aborted'
  | 'lagging'
  | 'readOnly'
  | 'wrongInstance'
  | 'tooManyConnections'
  | 'failed'
  | 'timedOut'
  | 'unknownOutcome'
  | 'unknownStatement'
  | 'unknownDatabase'
  | 'malformed';

export interface Failure {
  readonly verdict: Verdict;
  /** For a person; in one line. */
  readonly reason: string;
}

/** The whole answer of an instance to one command, or of the proxy to a caller's request. */
export interface Reply {
  readonly rows: readonly string[];
  /** Proof that an instance ran the statement; undefined after a failure or from the proxy. */
  readonly digest: string | undefined;
  readonly failure: Failure | undefined;
  readonly state: TransactionState;
  /** End of the instance's log as far as reads see it. */
  readonly position: LogPosition | undefined;
}
