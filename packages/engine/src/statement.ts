import type { LogPosition } from '@shallotpick/core';

/** A caller's statement, independent of the protocol. */
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
  /** `rest` is the text after the statement's name, unchanged. */
  | { readonly kind: 'execute'; readonly name: string; readonly rest: string }
  | { readonly kind: 'deallocate'; readonly name: string }
  | { readonly kind: 'unknown' };

/** A statement that reads or writes data. */
export type DataStatement = Statement & { readonly kind: 'read' | 'write' | 'execute' };

/** Whether a prepared statement reads or writes. */
export type Access = 'read' | 'write';

/** A caller's statement with the request id that the caller chose. */
export interface CallerRequest {
  readonly id: string;
  readonly statement: Statement;
}

/** A command to an instance; `id` is absent for the proxy's own commands. */
export interface Command {
  readonly id?: string;
  readonly operation: Operation;
  /** The instance refuses the command unless its log has reached this position. */
  readonly after?: LogPosition | undefined;
}

/** The operations of an instance: statements, and commands for connections and takeovers. */
export type Operation =
  | Exclude<Statement, { readonly kind: 'unknown' | 'deallocate' }>
  | { readonly kind: 'reset' | 'status' | 'resume' }
  | { readonly kind: 'pause' | 'stepDown'; readonly term: number };

/** The operations of a session's statements and transactions. */
export type SessionOperation = Extract<
  Operation,
  { readonly kind: 'begin' | 'commit' | 'rollback' | DataStatement['kind'] }
>;

/** An operation of a session, with the session's names of prepared statements. */
export interface SessionCommand extends Command {
  readonly operation: SessionOperation;
}

/** A command that the proxy gives in its own name. */
export interface ProxyCommand extends Command {
  readonly operation: Exclude<
    Operation,
    { readonly kind: 'begin' | 'commit' | DataStatement['kind'] }
  >;
}

/** Outside a transaction, in a transaction, or in a transaction that has failed. */
export type TransactionState = 'idle' | 'open' | 'failed';

/**
 * Why a request failed. The verdicts up to `unauthenticated` guarantee that it has no effect;
 * `failed`, `timedOut` and `unknownOutcome` leave that open; the others report a faulty request.
 */
export type Verdict =
  | 'overloaded'
  | 'aborted'
  | 'lagging'
  | 'readOnly'
  | 'wrongInstance'
  | 'tooManyConnections'
  | 'unauthenticated'
  | 'failed'
  | 'timedOut'
  | 'unknownOutcome'
  | 'unknownStatement'
  | 'unknownDatabase'
  | 'malformed';

/** Why a request or command failed. */
export interface Failure {
  readonly verdict: Verdict;
  /** Human-readable text of one line. */
  readonly reason: string;
}

/** The complete reply of an instance to a command, or of the proxy to a request. */
export interface Reply {
  readonly rows: readonly string[];
  /** Digest from the instance that ran the statement; undefined on failure or from the proxy. */
  readonly digest: string | undefined;
  readonly failure: Failure | undefined;
  readonly state: TransactionState;
  /** Last position of the instance's log that reads see. */
  readonly position: LogPosition | undefined;
}
