import type { Statement } from '@shallotpick/core';
import type { ErrorFields } from '@shallotpick/wire';
import type { SessionParameters } from './parameters.js';
import type { DecodedRequest } from './prepared.js';
import { SQLSTATE } from './sqlstate.js';

export type Refusal = Omit<ErrorFields, 'severity'>;

/** What a request does, as far as routing and verdicts need it. */
export interface RequestSummary {
  /** Statements whose contracts apply. */
  readonly contractStatements: readonly Statement[];
  /** Statements that run. */
  readonly executed: readonly Statement[];
  /** Only reads and changes of session parameters. */
  readonly isRead: boolean;
  /** A read that may change data through a function. */
  readonly mayWrite: boolean;
  readonly writes: boolean;
  readonly begins: boolean;
  readonly commits: boolean;
  readonly rollsBack: boolean;
  /** All or nothing: no statement that begins or ends a transaction. */
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

/** True when the request may commit changes; `hasChanges` tells of the open transaction. */
export function mayCommitChanges(
  plan: RequestSummary,
  isInTransaction: boolean,
  hasChanges: boolean,
): boolean {
  const changes = plan.writes || plan.mayWrite;
  if (isInTransaction) {
    return (plan.commits && (hasChanges || changes)) || (plan.rollsBack && changes);
  }
  // Without a COMMIT or ROLLBACK, a BEGIN takes what ran before it into its transaction.
  const staysOpen = plan.begins && !plan.commits && !plan.rollsBack;
  return changes && !staysOpen;
}

function findOnceProblem(plan: RequestSummary, isInTransaction: boolean): string | undefined {
  const keys = new Set(plan.executed.flatMap(({ once }) => once ?? []));
  if (keys.size > 1) return 'a request can have one once-key only';
  const hasSet = plan.executed.some(({ kind }) => kind === 'set');
  const isBegin = plan.begins && plan.executed.length === 1 && !isInTransaction;
  if (isBegin || (plan.isAtomic && !hasSet)) return undefined;
  return 'a once-key needs BEGIN alone, or statements that begin and end no transaction';
}

/** Why a request is refused before anything of it is sent. */
export function findRefusal(
  plan: RequestSummary,
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
  const hasSet = plan.executed.some(({ kind }) => kind === 'set');
  if (hasSet && !plan.isAtomic) return refuse('SET beside BEGIN, COMMIT or ROLLBACK');
  const toSavepoint = plan.executed.some(({ text }) => /^rollback\b[\s\S]*\bto\b/i.test(text));
  if (toSavepoint && (hasSet || parameters.hasPending())) {
    return refuse('ROLLBACK TO SAVEPOINT after SET is not supported');
  }
  const problem =
    plan.idempotencyKey === undefined ? undefined : findOnceProblem(plan, isInTransaction);
  return problem === undefined ? undefined : refuse(problem);
}
