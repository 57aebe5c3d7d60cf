import type { Reply, SessionState, TransactionState } from '@shallotpick/engine';
import type { ForwardedSession, HomeMessage } from './message.js';

/** The reply to an operation that was not sent to an instance. */
export function createRefusal(reason: string, state: TransactionState): Reply {
  const failure = { verdict: 'overloaded', reason } as const;
  return { rows: [], digest: undefined, failure, state, position: undefined };
}

/** Creates the message that carries a reply to the VM that passed the operation on. */
export function createReplyMessage(
  lease: number,
  { rows, digest, failure, state, position }: Reply,
): HomeMessage {
  return {
    ...{ type: 'reply', lease },
    reply: {
      ...{ rows: [...rows], state },
      ...(digest === undefined ? {} : { digest }),
      ...(failure ? { failure } : {}),
      ...(position ? { position } : {}),
    },
  };
}

/** Converts the values and the prepared statement that came with an operation. */
export function toSessionState({ variables, prepared }: ForwardedSession): SessionState {
  const statements = prepared ? [[prepared.name, prepared] as const] : [];
  return { variables: new Map(variables), statements: new Map(statements) };
}
