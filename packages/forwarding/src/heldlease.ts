import type { Millis } from '@shallotpick/core';
import {
  type DataStatement,
  type GroupService,
  type Lease,
  type SessionOperation,
  type SessionState,
  type ShutdownSchedule,
  WriteTracker,
} from '@shallotpick/engine';
import type { EntryMessage, ForwardedSession } from './message.js';
import { toSessionState } from './reply.js';
import { ReplySequence } from './replysequence.js';

export type AdmitMessage = EntryMessage & { readonly type: 'admit' };
export type RunMessage = EntryMessage & { readonly type: 'run' };

/** A lease that another VM holds at this home, or waits for. */
export interface HeldLease {
  readonly group: GroupService;
  /** Absent until the work has been admitted. */
  readonly lease: Lease | undefined;
  readonly writes: WriteTracker;
  readonly isTransaction: boolean;
  /** How long an operation of this work may take. */
  readonly timeoutMs: Millis;
  /** Operations that have no reply yet. */
  readonly running: Set<RunMessage>;
  /** The VM that holds the lease takes the replies in the order of its operations. */
  readonly replies: ReplySequence;
}

/** Creates the entry of work that waits for its lease. */
export function createHeldLease(group: GroupService, { request }: AdmitMessage): HeldLease {
  return {
    ...{ group, lease: undefined, writes: new WriteTracker(), running: new Set<RunMessage>() },
    replies: new ReplySequence(),
    isTransaction: request.isTransaction === true,
    timeoutMs: request.remainingMs,
  };
}

/** True for an operation that reads or writes data, and neither opens nor ends a transaction. */
export function isDataOperation(operation: SessionOperation): operation is DataStatement {
  return 'text' in operation || operation.kind === 'execute';
}

/** True for an operation of a transaction that would not end before this process does. */
export function mustEndBeforeShutdown(
  { isTransaction, timeoutMs }: HeldLease,
  { operation }: RunMessage,
  shutdown: ShutdownSchedule,
): boolean {
  return isTransaction && !shutdown.mayContinueTransaction(operation.kind, timeoutMs);
}

const EMPTY_SESSION: ForwardedSession = { variables: [] };

/** Reads the session's state that came with an operation; undefined when its values stay. */
export function readSessionState({ session, operation }: RunMessage): SessionState | undefined {
  // None come with a COMMIT that changes no value, and none with one of an older build.
  if (!session && operation.kind === 'commit') return undefined;
  return toSessionState(session ?? EMPTY_SESSION);
}
