import type { Socket } from 'node:net';
import type { DatabaseInstance } from '@shallotpick/core';
import type { PooledConnection } from '@shallotpick/engine';
import {
  BACKEND,
  type Frame,
  FrameReader,
  parseErrorFields,
  parseReadyForQuery,
  serialize,
  type TransactionState,
} from '@shallotpick/wire';
import { InstanceError } from './errors.js';
import { openInstanceSocket } from './instancesocket.js';
import type { CaFile } from './tls.js';

/** Receives the answer to a request, message by message. */
export interface ResponseSink {
  handleFrame(frame: Frame): void;
  /** Called after each chunk; true asks the connection to stop reading until `resume`. */
  flush(): boolean;
}

interface Exchange {
  readonly sink: ResponseSink;
  readonly resolve: (state: TransactionState) => void;
  readonly reject: (error: Error) => void;
}

export interface ConnectionOptions {
  readonly instance: DatabaseInstance;
  readonly database: string;
  readonly user: string;
  /** `shallotpick/<vm>/<zone>`, for the instance's activity views. */
  readonly applicationName: string;
  readonly timeoutMs: number;
  /** CA of the instance; cleartext without. */
  readonly caFile?: CaFile | undefined;
}

/** A connection with more prepared statements is replaced, which bounds the instance's memory. */
const MAX_STATEMENTS = 500;

/** One connection to a database instance. It carries one request at a time. */
export class InstanceConnection implements PooledConnection {
  /** Prepared statements that this connection has, by name. */
  readonly statements = new Map<string, string>();

  /** Session parameters that were set on this connection: the statement that set each. */
  readonly parameters = new Map<string, string>();

  /** True once a cancel request was sent; a late one would hit a later statement. */
  isCancelled = false;

  /** Transaction state after the last answer. */
  state: TransactionState = 'I';

  /** Told when a request starts and ends. */
  onBusy: ((isBusy: boolean) => void) | undefined;

  private readonly reader = new FrameReader(true);

  private exchange: Exchange | undefined;

  private key: readonly [number, number] | undefined;

  private cancelling: Promise<void> = Promise.resolve();

  private failure: Error | undefined;

  private constructor(
    private readonly socket: Socket,
    private readonly options: ConnectionOptions,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (chunk) => this.handleData(chunk));
    socket.on('error', (cause) => this.fail(new InstanceError('connection failed', { cause })));
    socket.on('close', () => this.fail(new InstanceError('connection closed')));
  }

  /**
   * Opens and authenticates a connection.
   *
   * @throws InstanceError when the instance refuses or does not answer in time.
   */
  static async open(options: ConnectionOptions): Promise<InstanceConnection> {
    const socket = await openInstanceSocket(options);
    const connection = new InstanceConnection(socket, options);
    const timer = setTimeout(() => {
      connection.fail(new InstanceError('no answer while connecting'));
    }, options.timeoutMs);
    try {
      await connection.run(
        serialize.startup({
          user: options.user,
          database: options.database,
          application_name: options.applicationName,
        }),
        { handleFrame: (frame) => connection.handleStartup(frame), flush: () => false },
      );
      return connection;
    } finally {
      clearTimeout(timer);
    }
  }

  isUsable(): boolean {
    return this.failure === undefined;
  }

  /** Sends bytes that end in one Query or Sync and waits for its ReadyForQuery. */
  async run(bytes: Buffer, sink: ResponseSink): Promise<TransactionState> {
    if (this.failure) throw this.failure;
    if (this.exchange) throw new InstanceError('the connection is busy');
    this.onBusy?.(true);
    return new Promise((resolve, reject) => {
      this.exchange = { sink, resolve, reject };
      this.socket.write(bytes);
    });
  }

  /** Sends more messages of the request that runs. */
  send(bytes: Buffer): void {
    this.socket.write(bytes);
  }

  /** True when another request may use the connection. */
  isClean(): boolean {
    const isIdle = this.state === 'I' && !this.isBusy() && !this.isCancelled;
    return isIdle && this.statements.size <= MAX_STATEMENTS;
  }

  /** True while a request runs. */
  isBusy(): boolean {
    return this.exchange !== undefined;
  }

  /** Asks the instance to interrupt the statement that runs. */
  cancel(): void {
    if (!this.key || !this.exchange) return;
    const [processId, secret] = this.key;
    this.isCancelled = true;
    this.cancelling = this.sendCancel(serialize.cancel(processId, secret)).catch(() => undefined);
  }

  /** Waits until the instance has taken the last cancel request. */
  async waitForCancel(): Promise<void> {
    await this.cancelling;
  }

  resume(): void {
    this.socket.resume();
  }

  /** Closes at once; the instance rolls back what is open. */
  close(): void {
    this.fail(new InstanceError('connection closed by the proxy'));
  }

  private async sendCancel(bytes: Buffer): Promise<void> {
    const socket = await openInstanceSocket(this.options);
    const timer = setTimeout(() => socket.destroy(), this.options.timeoutMs);
    await new Promise<void>((resolve) => {
      socket.once('close', () => {
        clearTimeout(timer);
        resolve();
      });
      socket.on('error', () => socket.destroy());
      socket.end(bytes);
      socket.resume();
    });
  }

  private handleStartup({ type, body }: Frame): void {
    if (type === BACKEND.backendKeyData) this.key = [body.readInt32BE(0), body.readInt32BE(4)];
    if (type !== BACKEND.error) return;
    const fields = parseErrorFields(body);
    const error = new InstanceError(fields.get('M') ?? 'refused', {
      props: { code: fields.get('C') },
    });
    this.fail(error);
  }

  private handleData(chunk: Buffer): void {
    this.reader.add(chunk);
    try {
      for (let frame = this.reader.read(); frame; frame = this.reader.read()) {
        this.handleFrame(frame);
      }
    } catch (cause) {
      this.fail(new InstanceError('the instance broke the protocol', { cause }));
      return;
    }
    if (this.exchange?.sink.flush()) this.socket.pause();
  }

  private handleFrame(frame: Frame): void {
    const { exchange } = this;
    // Notices and parameter changes outside a request belong to no caller.
    if (!exchange) return;
    exchange.sink.handleFrame(frame);
    if (frame.type !== BACKEND.readyForQuery) return;
    this.state = parseReadyForQuery(frame.body);
    this.exchange = undefined;
    exchange.sink.flush();
    this.onBusy?.(false);
    exchange.resolve(this.state);
  }

  private fail(error: Error): void {
    if (this.failure) return;
    this.failure = error;
    this.socket.destroy();
    const { exchange } = this;
    this.exchange = undefined;
    exchange?.reject(error);
  }
}
