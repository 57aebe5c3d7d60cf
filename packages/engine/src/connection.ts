import type { ConnectionTrace, FenceReport, Millis, RegisteredInstance } from '@shallotpick/core';
import { ConnectionError } from './errors.js';
import type { PooledConnection } from './pool.js';
import { applySetup, type SessionState, toOperation } from './setup.js';
import type { Command, Operation, Reply, SessionOperation, TransactionState } from './statement.js';

/** A connection with more prepared statements isn't reused, which bounds its memory. */
const MAX_STATEMENTS = 500;

/** Observes the replies of an instance to callers' work. */
export interface ReplyObserver {
  /** Current time of the clock that includes suspensions of the VM. */
  readNow(): Millis;
  handleReply(connection: ConnectionTrace, command: Command, reply: Reply, sentAt: Millis): void;
}

/** A reply, and when the connection was opened on which it came. */
export interface InstanceReply extends Reply {
  readonly openedAt: Millis;
}

/** A connection to an instance. Commands can be pipelined. */
export abstract class InstanceConnection implements PooledConnection, ConnectionTrace {
  /** Session variables that are set on this connection. */
  readonly variables = new Map<string, string>();

  /** Names of the prepared statements on this connection, by access and shape. */
  readonly statements = new Map<string, string>();

  observer: ReplyObserver | undefined;

  /** Organisation that the instance was told when the connection was opened. */
  organisation: string | undefined;

  /** When this VM began to connect. */
  dialedAt: Millis = Number.NEGATIVE_INFINITY;

  /** When the instance had accepted the connection; all its replies are of one process. */
  openedAt: Millis = Number.NEGATIVE_INFINITY;

  /** Transaction state after the last reply. */
  abstract readonly state: TransactionState;

  /**
   * Sends a command.
   *
   * @throws ConnectionError when no complete reply arrives; the command may have run.
   */
  abstract run(command: Command): Promise<Reply>;

  /** Number of commands whose reply is incomplete. */
  abstract countPending(): number;

  abstract isUsable(): boolean;

  /** Closes the connection at once; the instance rolls back an open transaction. */
  abstract close(): void;

  /**
   * Sends the set-up commands for the session at once, so that they share a packet with the next
   * command. When one fails, the connection's state is unknown and it is closed.
   *
   * @throws ConnectionError when one of them isn't acknowledged
   */
  async setUp(state: SessionState, next: SessionOperation): Promise<void> {
    const replies = applySetup(this, state, next).map((operation) => this.run({ operation }));
    try {
      const failed = (await Promise.all(replies)).find(({ failure }) => failure);
      if (failed) throw new ConnectionError(`a value was refused: ${failed.failure?.reason}`);
    } catch (error) {
      this.close();
      throw error;
    }
  }

  /** The operation that runs a statement of the session on this connection. */
  toOperation(state: SessionState, operation: SessionOperation): Operation {
    return toOperation(this, state, operation);
  }

  isClean(): boolean {
    const isKept = this.statements.size <= MAX_STATEMENTS;
    return this.state === 'idle' && this.countPending() === 0 && isKept;
  }
}

/** Opens connections to instances and decodes their replication status. */
export abstract class InstanceConnector {
  /**
   * Opens a connection in the name of an organisation, or of this VM, and checks that the server is
   * the expected instance.
   *
   * @throws ConnectionError when the instance refuses the connection or doesn't answer in time.
   */
  abstract open(
    instance: RegisteredInstance,
    timeoutMs: number,
    organisation: string | undefined,
  ): Promise<InstanceConnection>;

  /** Decodes the reply to a status, pause or step-down command. */
  abstract parseFenceReport(reply: Reply): FenceReport | undefined;
}
