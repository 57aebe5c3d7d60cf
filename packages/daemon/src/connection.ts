import type { Socket } from 'node:net';
import type { DatabaseInstance } from '@shallotpick/core';
import type { PooledConnection } from '@shallotpick/engine';
import {
  BACKEND,
  type Frame,
  FrameReader,
  parseErrorFields,
  INCARNATION_PARAMETER,
  parseReadyForQuery,
  parseStringPair,
  serialize,
  type TransactionState,
} from '@shallotpick/wire';
import { InstanceError } from './errors.js';
import { openInstanceSocket } from './instancesocket.js';
import type { CaFile } from './tls.js';

/** Receives the response to a request, message by message. */
export interface ResponseSink {
  handleFrame(frame: Frame): void;
  /** Called after each chunk; true asks the connection to stop reading until `resume`. */
  flush(): boolean;
}

/** The running request of a connection. */
interface PendingRequest {
  readonly sink: ResponseSink;
  readonly resolve: (state: TransactionState) => void;
  readonly reject: (error: Error) => void;
}

/** Options for opening an {@link InstanceConnection}. */
export interface ConnectionOptions {
  readonly instance: DatabaseInstance;
  readonly database: string;
  readonly user: string;
  /** `shallotpick/<vm>/<zone>`, as shown in the instance's activity views. */
  readonly applicationName: string;
  readonly timeoutMs: number;
  /** CA that signs the instance's certificate; without it the connection is cleartext. */
  readonly caFile?: CaFile | undefined;
}

/** A connection with more prepared statements is not reused, to bound the instance's memory. */
const MAX_PREPARED_STATEMENTS = 500;

/** One connection to a database instance. It carries one request at a time. */
export class InstanceConnection implements PooledConnection {
  /** Prepared statements on this connection: the key by name. */
  readonly statements = new Map<string, string>();

  /** Session parameters set on this connection: the SET statement by name. */
  readonly parameters = new Map<string, string>();

  /** True once a cancel request was sent, because a late one could cancel a later statement. */
  isCancelled = false;

  /** Incarnation of the instance's data; empty for an instance that reports none. */
  incarnation = '';

  /** Transaction state after the last response. */
  state: TransactionState = 'I';

  /** Called when a request starts and ends. */
  onBusy: ((isBusy: boolean) => void) | undefined;

  private readonly reader = new FrameReader(true);

  private pending: PendingRequest | undefined;

  private key: readonly [number, number] | undefined;

  private lastCancel: Promise<void> = Promise.resolve();

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
   * @throws InstanceError when the instance refuses or does not respond in time.
   */
  static async open(options: ConnectionOptions): Promise<InstanceConnection> {
    const socket = await openInstanceSocket(options);
    const connection = new InstanceConnection(socket, options);
    const timer = setTimeout(() => {
      connection.fail(new InstanceError('timed out while connecting'));
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
    if (this.pending) throw new InstanceError('the connection is busy');
    this.onBusy?.(true);
    return new Promise((resolve, reject) => {
      this.pending = { sink, resolve, reject };
      this.socket.write(bytes);
    });
  }

  /** Sends more messages of the running request. */
  send(bytes: Buffer): void {
    this.socket.write(bytes);
  }

  /** True when the connection can be reused for another request. */
  isClean(): boolean {
    const isIdle = this.state === 'I' && !this.isBusy() && !this.isCancelled;
    return isIdle && this.statements.size <= MAX_PREPARED_STATEMENTS;
  }

  /** True while a request runs. */
  isBusy(): boolean {
    return this.pending !== undefined;
  }

  /** Asks the instance to cancel the running statement. */
  cancel(): void {
    if (!this.key || !this.pending) return;
    const [processId, secret] = this.key;
    this.isCancelled = true;
    this.lastCancel = this.sendCancel(serialize.cancel(processId, secret)).catch(() => undefined);
  }

  /** Waits until the instance has received the last cancel request. */
  async waitForCancel(): Promise<void> {
    await this.lastCancel;
  }

  resume(): void {
    this.socket.resume();
  }

  /** Closes the connection immediately; the instance rolls back an open transaction. */
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
    if (type === BACKEND.parameterStatus) this.handleParameter(body);
    if (type !== BACKEND.error) return;
    const fields = parseErrorFields(body);
    const error = new InstanceError(fields.get('M') ?? 'refused', {
      props: { code: fields.get('C') },
    });
    this.fail(error);
  }

  private handleParameter(body: Buffer): void {
    const [name, value] = parseStringPair(body);
    if (name === INCARNATION_PARAMETER) this.incarnation = value;
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
    if (this.pending?.sink.flush()) this.socket.pause();
  }

  private handleFrame(frame: Frame): void {
    const { pending } = this;
    // Drops notices and parameter changes that arrive outside a request.
    if (!pending) return;
    pending.sink.handleFrame(frame);
    if (frame.type !== BACKEND.readyForQuery) return;
    this.state = parseReadyForQuery(frame.body);
    this.pending = undefined;
    pending.sink.flush();
    this.onBusy?.(false);
    pending.resolve(this.state);
  }

  private fail(error: Error): void {
    if (this.failure) return;
    this.failure = error;
    this.socket.destroy();
    const { pending } = this;
    this.pending = undefined;
    pending?.reject(error);
  }
}
