import type { FenceReport, Millis, RegisteredInstance } from '@shallotpick/core';
import type { PooledConnection } from './pool.js';
import type { Command, Reply, TransactionState } from './statement.js';

/** A connection that has more prepared statements is replaced, which bounds its memory. */
const MAX_STATEMENTS = 500;

/** Learns from the replies to work on an instance. */
export interface ReplyObserver {
  /** The time on the clock that counts suspensions of the VM. */
  readNow(): Millis;
  handleReply(command: Command, reply: Reply, sentAt: Millis): void;
}

/** One connection to an instance. Commands may be sent before earlier replies have come. */
export abstract class InstanceConnection implements PooledConnection {
  /** Session values that were set on this connection. */
  readonly variables = new Map<string, string>();

  /** Names of the prepared statements on this connection, by what they run. */
  readonly statements = new Map<string, string>();

  observer: ReplyObserver | undefined;

  /** State after the last reply. */
  abstract readonly state: TransactionState;

  /**
   * Sends a command.
   *
   * @throws ConnectionError when no whole reply came; the command may have run.
   */
  abstract run(command: Command): Promise<Reply>;

  /** Commands whose reply is not complete. */
  abstract countPending(): number;

  abstract isUsable(): boolean;

  /** Closes at once; the instance rolls back an open transaction. */
  abstract close(): void;

  isClean(): boolean {
    const isKept = this.statements.size <= MAX_STATEMENTS;
    return this.state === 'idle' && this.countPending() === 0 && isKept;
  }
}

/** Opens connections to instances and reads what is specific to their replication. */
export abstract class InstanceConnector {
  /**
   * Opens a connection to the instance, checking its id.
   *
   * @throws ConnectionError when the instance refuses or does not answer in time.
   */
  abstract open(instance: RegisteredInstance, timeoutMs: number): Promise<InstanceConnection>;

  /** Reads the reply to a status request or to an order to stop receiving. */
  abstract parseFenceReport(reply: Reply): FenceReport | undefined;
}
