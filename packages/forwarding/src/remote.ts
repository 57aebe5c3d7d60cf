import type { Millis } from '@shallotpick/core';
import {
  type Command,
  ConnectionError,
  createLeaseUse,
  InstanceConnection,
  type Lease,
  type Operation,
  type Reply,
  type SessionOperation,
  type SessionState,
  type TransactionState,
} from '@shallotpick/engine';
import {
  type EntryMessage,
  type ForwardedSession,
  type HomeMessage,
  isForwardedOperation,
} from './message.js';

type Granted = HomeMessage & { readonly type: 'granted' };
type ReplyMessage = HomeMessage & { readonly type: 'reply' };

/** An operation without a reply. */
interface PendingOperation {
  readonly resolve: (reply: Reply) => void;
  readonly reject: (error: Error) => void;
}

/** A connection of a home to an instance, used over a link. */
export class RemoteConnection extends InstanceConnection {
  state: TransactionState = 'idle';

  private readonly pending: PendingOperation[] = [];

  private session: ForwardedSession | undefined;

  /** The values that were sent last. */
  private sentVariables: ForwardedSession['variables'] | undefined;

  private isOpen = true;

  constructor(
    private readonly lease: number,
    private readonly send: (message: EntryMessage) => void,
  ) {
    super();
  }

  /** Attaches the session's values to the next operation; the home applies them, and answers for both. */
  override async setUp(
    { variables, statements }: SessionState,
    next: SessionOperation,
  ): Promise<void> {
    if (next.kind === 'commit' && this.hasSent(variables)) return;
    const prepared = next.kind === 'execute' ? statements.get(next.name) : undefined;
    this.session = {
      variables: [...variables],
      ...(prepared && next.kind === 'execute'
        ? { prepared: { name: next.name, ...prepared } }
        : {}),
    };
  }

  /** The home replaces the name of a prepared statement. */
  override toOperation(_: SessionState, operation: SessionOperation): Operation {
    return operation;
  }

  override async run({ id, operation, after }: Command): Promise<Reply> {
    if (!this.isOpen) throw new ConnectionError('the link is closed');
    if (!isForwardedOperation(operation)) {
      throw new ConnectionError(`${operation.kind} is not passed on`);
    }
    const { session } = this;
    this.session = undefined;
    if (session) this.sentVariables = session.variables;
    return new Promise((resolve, reject) => {
      try {
        this.send({
          ...{ type: 'run', lease: this.lease, operation },
          ...(id === undefined ? {} : { id }),
          ...(after ? { after } : {}),
          ...(session ? { session } : {}),
        });
      } catch (cause) {
        reject(new ConnectionError('the operation is too large for a link', { cause }));
        return;
      }
      // Sending may have closed the link.
      if (this.isOpen) this.pending.push({ resolve, reject });
      else reject(new ConnectionError('the link is closed'));
    });
  }

  /** True when the home has got these values, and none have been set since. */
  private hasSent(variables: SessionState['variables']): boolean {
    const sent = this.sentVariables;
    const isSame = sent?.length === variables.size;
    return isSame && sent.every(([name, value]) => variables.get(name) === value);
  }

  override countPending(): number {
    return this.pending.length;
  }

  override isUsable(): boolean {
    return this.isOpen;
  }

  override close(): void {
    if (!this.isOpen) return;
    this.send({ type: 'close', lease: this.lease });
    this.fail('closed by this VM');
  }

  handleReply({ reply }: ReplyMessage): void {
    this.state = reply.state;
    const { rows, digest, failure, state, position } = reply;
    this.pending.shift()?.resolve({ rows, digest, failure, state, position });
  }

  /** Rejects the operations without a reply; they may have run. */
  fail(reason: string): void {
    this.isOpen = false;
    this.pending.splice(0).forEach(({ reject }) => reject(new ConnectionError(reason)));
  }
}

/** Creates the lease of a home's connection. */
export function createRemoteLease(
  { lease, instance, isLeader, after, latencyMs }: Granted,
  connection: RemoteConnection,
  hopMs: Millis,
  send: (message: EntryMessage) => void,
  onRelease: () => void,
): Lease {
  const use = createLeaseUse(
    (isBusy) => send({ type: 'busy', lease, isBusy }),
    () => {
      // A lease that was closed has ended at the home already.
      if (connection.isUsable()) send({ type: 'release', lease });
      connection.fail('released');
      onRelease();
    },
  );
  return {
    ...{ ...use, instance, connection, isLeader, after, latencyMs: latencyMs + hopMs },
    // The home measures the latency, notices a demotion, and passes on only what it has confirmed.
    recordLatency: () => undefined,
    handleReply: () => undefined,
    handleLoss: () => undefined,
    handleDemotion: () => undefined,
    confirmCommit: async () => undefined,
  };
}
