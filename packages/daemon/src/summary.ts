import type { Statement } from '@shallotpick/core';
import type { SessionParameters } from './parameters.js';
import type { DecodedRequest } from './prepared.js';
import type { Refusal } from './refusal.js';
import { SQLSTATE } from './sqlstate.js';

/** The properties of a request that decide on its routing and its outcome. */
export interface RequestSummary {
  /** Statements whose contracts apply to the request. */
  readonly contractStatements: readonly Statement[];
  /** Statements that the request executes. */
  readonly executed: readonly Statement[];
  /** True when the request only reads and changes session parameters. */
  readonly isRead: boolean;
  /** True when a read may change data through a function. */
  readonly mayWrite: boolean;
  readonly writes: boolean;
  readonly begins: boolean;
  readonly commits: boolean;
  readonly rollsBack: boolean;
  /** True when no statement begins or ends a transaction, so that the request is all or nothing. */
  readonly isAtomic: boolean;
  readonly idempotencyKey?: string;
}

/** Summarizes the statements of a request. */
export function summarizeRequest({ executed, prepared }: DecodedRequest): RequestSummary {
  const kinds = new Set(executed.map(({ kind }) => kind));
  const once = executed.find((statement) => statement.once !== undefined)?.once;
  const isRead = [...kinds].every((kind) => ['read', 'empty', 'set'].includes(kind));
  return {
    contractStatements: executed.length > 0 ? executed : prepared,
    executed,
    isRead: isRead && once === undefined,
    mayWrite: executed.some(({ mayWrite }) => mayWrite === true),
    writes: kinds.has('write'),
    begins: kinds.has('begin'),
    commits: kinds.has('commit'),
    rollsBack: kinds.has('rollback'),
    isAtomic: !kinds.has('begin') && !kinds.has('commit') && !kinds.has('rollback'),
    ...(once === undefined ? {} : { idempotencyKey: once }),
  };
}

/** True when the request may commit changes; `hasChanges` describes the open transaction. */
export function mayCommitChanges(
  summary: RequestSummary,
  isInTransaction: boolean,
  hasChanges: boolean,
): boolean {
  const changes = summary.writes || summary.mayWrite;
  if (isInTransaction) {
    return (summary.commits && (hasChanges || changes)) || (summary.rollsBack && changes);
  }
  // Without a COMMIT or ROLLBACK, BEGIN includes the statements before it in its transaction.
  const staysOpen = summary.begins && !summary.commits && !summary.rollsBack;
  return changes && !staysOpen;
}

function findOnceKeyProblem(summary: RequestSummary, isInTransaction: boolean): string | undefined {
  const keys = new Set(summary.executed.flatMap(({ once }) => once ?? []));
  if (keys.size > 1) return 'a request can have one once-key only';
  const hasSet = summary.executed.some(({ kind }) => kind === 'set');
  const isBegin = summary.begins && summary.executed.length === 1 && !isInTransaction;
  if (isBegin || (summary.isAtomic && !hasSet)) return undefined;
  return 'a once-key needs BEGIN alone, or statements that begin and end no transaction';
}

/** Finds the reason for refusing a request before any part of it is sent. */
export function findRefusal(
  summary: RequestSummary,
  request: DecodedRequest,
  parameters: SessionParameters,
  isInTransaction: boolean,
): Refusal | undefined {
  const refuse = (message: string): Refusal => ({
    code: SQLSTATE.notSupported,
    message: `${message}; the request was not run`,
  });
  if (request.problem) return { code: SQLSTATE.duplicateStatement, message: request.problem };
  for (const statement of [...request.executed, ...request.prepared]) {
    if (statement.kind === 'copy') return refuse('COPY is not supported');
    if (statement.kind === 'session') {
      return refuse('a statement that needs a whole connection is not supported');
    }
    if (statement.invalidHint) return refuse(`the hint "${statement.invalidHint}" is not valid`);
    const problem = statement.kind === 'set' ? parameters.findProblem(statement) : undefined;
    if (problem) return refuse(problem);
  }
  const hasSet = summary.executed.some(({ kind }) => kind === 'set');
  if (hasSet && !summary.isAtomic) return refuse('SET beside BEGIN, COMMIT or ROLLBACK');
  const hasRollbackToSavepoint = summary.executed.some(({ text }) =>
    /^rollback\b[\s\S]*\bto\b/i.test(text),
  );
  if (hasRollbackToSavepoint && (hasSet || parameters.hasPending())) {
    return refuse('ROLLBACK TO SAVEPOINT after SET is not supported');
  }
  const problem =
    summary.idempotencyKey === undefined ? undefined : findOnceKeyProblem(summary, isInTransaction);
  return problem === undefined ? undefined : refuse(problem);
}
