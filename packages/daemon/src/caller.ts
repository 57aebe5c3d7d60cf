import { randomInt } from 'node:crypto';
import type { Socket } from 'node:net';
import {
  encodeAuthenticationOk,
  encodeBackendKeyData,
  encodeError,
  encodeParameterStatus,
  encodeReady,
  type ErrorFields,
  type Frame,
  FrameReader,
  FRONTEND,
  MAX_MESSAGE_BYTES,
  MAX_STARTUP_BYTES,
  parseStartup,
} from '@shallotpick/wire';
import { SQLSTATE } from './sqlstate.js';

/** Callers that run ahead of their answers are not read from beyond this many messages. */
const MAX_FRAMES_AHEAD = 1_000;
const MAX_KEY = 2 ** 31 - 1;

/** One request of a caller: a Query message, or extended messages up to Sync. */
export interface CallerRequest {
  readonly kind: 'simple' | 'extended';
  readonly frames: readonly Frame[];
}

/** The session layer behind a caller connection. */
export interface CallerHandler {
  /** Returns the parameters to report, or the reason for refusing the caller. */
  handleStart(parameters: ReadonlyMap<string, string>): Promise<ErrorFields | undefined>;
  handleRequest(request: CallerRequest): Promise<void>;
  handleClose(): void;
  isInTransaction(): boolean;
}

/** One caller's connection: startup, and requests in order. */
export class CallerConnection {
  readonly processId = randomInt(1, MAX_KEY);

  readonly secret = randomInt(1, MAX_KEY);

  handler: CallerHandler | undefined;

  private readonly reader = new FrameReader(false, MAX_STARTUP_BYTES);

  private batch: Frame[] = [];

  private readonly requests: CallerRequest[] = [];

  private started = false;

  private running = false;

  private closed = false;

  constructor(private readonly socket: Socket) {
    socket.setNoDelay(true);
    socket.on('data', (chunk) => this.handleData(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.closed = true;
      this.handler?.handleClose();
    });
  }

  isClosed(): boolean {
    return this.closed;
  }

  /** True between requests and outside a transaction. */
  isIdle(): boolean {
    const waits = this.running || this.requests.length > 0 || this.batch.length > 0;
    return !waits && !this.handler?.isInTransaction();
  }

  /** Sends bytes; true when the caller reads too slowly and `onDrain` will be called. */
  send(bytes: Buffer, onDrain?: () => void): boolean {
    if (this.closed) return false;
    if (this.socket.write(bytes)) return false;
    if (onDrain) this.socket.once('drain', onDrain).once('close', onDrain);
    return true;
  }

  /** Sends an error and closes the connection. */
  refuse(fields: Omit<ErrorFields, 'severity'>): void {
    if (!this.closed) this.socket.end(encodeError({ severity: 'FATAL', ...fields }));
  }

  close(): void {
    this.socket.destroy();
  }

  private handleData(chunk: Buffer): void {
    this.reader.add(chunk);
    try {
      for (let frame = this.reader.read(); frame; frame = this.reader.read()) {
        if (this.started) this.handleFrame(frame);
        else this.handleStartup(frame);
      }
    } catch (error) {
      const message = error instanceof Error ? error.message : 'malformed message';
      this.refuse({ code: SQLSTATE.protocolViolation, message });
      return;
    }
    if (this.requests.length + this.batch.length > MAX_FRAMES_AHEAD) this.socket.pause();
    this.runRequests();
  }

  private handleStartup(frame: Frame): void {
    const startup = parseStartup(frame.body);
    if (startup.kind === 'ssl' || startup.kind === 'gss') {
      this.socket.write('N');
      return;
    }
    if (startup.kind === 'cancel') {
      this.socket.end();
      return;
    }
    this.started = true;
    this.reader.startTyped(MAX_MESSAGE_BYTES);
    this.running = true;
    this.start(startup.parameters).catch(() => this.socket.destroy());
  }

  private async start(parameters: ReadonlyMap<string, string>): Promise<void> {
    const refusal = await this.handler?.handleStart(parameters);
    if (refusal) {
      this.refuse(refusal);
      return;
    }
    this.send(
      Buffer.concat([
        encodeAuthenticationOk(),
        encodeParameterStatus('server_version', '15.0 (shallotpick)'),
        encodeParameterStatus('server_encoding', 'UTF8'),
        encodeParameterStatus('client_encoding', 'UTF8'),
        encodeParameterStatus('DateStyle', 'ISO, MDY'),
        encodeParameterStatus('integer_datetimes', 'on'),
        encodeParameterStatus('standard_conforming_strings', 'on'),
        encodeBackendKeyData(this.processId, this.secret),
        encodeReady('I'),
      ]),
    );
    this.running = false;
    this.runRequests();
  }

  private handleFrame(frame: Frame): void {
    if (frame.type === FRONTEND.terminate) {
      this.socket.end();
      return;
    }
    if (frame.type === FRONTEND.query) {
      this.requests.push({ kind: 'simple', frames: [frame] });
      return;
    }
    this.batch.push(frame);
    if (frame.type !== FRONTEND.sync) return;
    this.requests.push({ kind: 'extended', frames: this.batch });
    this.batch = [];
  }

  private runRequests(): void {
    if (this.running || !this.handler) return;
    const request = this.requests.shift();
    if (!request) {
      this.socket.resume();
      return;
    }
    this.running = true;
    this.handler
      .handleRequest(request)
      .catch(() => this.socket.destroy())
      .finally(() => {
        this.running = false;
        if (!this.closed) this.runRequests();
      });
  }
}
