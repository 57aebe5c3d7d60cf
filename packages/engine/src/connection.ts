import type { ConnectionTrace, FenceReport, Millis, RegisteredInstance } from '@shallotpick/core';
import type { PooledConnection } from './pool.js';
import { applySetup, type SessionState, toOperation } from './setup.js';
import type {
  Command,
  DataStatement,
  Operation,
  Reply,
  Statement,
  TransactionState,
} from './statement.js';

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
   * Sends the set-up commands for the session without waiting, so that they share a packet with the
   * next command. When one fails, the connection's state is unknown and it is closed.
   */
  setUp(state: SessionState, next: Statement): void {
    applySetup(this, state, next).forEach((operation) => {
      this.run({ operation }).then(
        ({ failure }) => failure && this.close(),
        () => this.close(),
      );
    });
  }

  /** The operation that runs a statement of the session on this connection. */
  toOperation(state: SessionState, statement: DataStatement): Operation {
    return toOperation(this, state, statement);
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
