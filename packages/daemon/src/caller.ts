import { randomInt } from 'node:crypto';
import type { Socket } from 'node:net';
import type { ClientGuard, ClientWatch } from '@shallotpick/engine';
import {
  encodeAuthenticationOk,
  encodeBackendKeyData,
  encodeErrorResponse,
  encodeParameterStatus,
  encodeReadyForQuery,
  type ErrorFields,
  type Frame,
  FrameReader,
  FRONTEND,
  MAX_MESSAGE_BYTES,
  MAX_STARTUP_BYTES,
  parseStartup,
} from '@shallotpick/wire';
import type { CallerRequest } from './request.js';
import { SQLSTATE } from './sqlstate.js';

/** Reading from a caller pauses while its queued requests exceed this. */
const MAX_QUEUED_BYTES = 1024 * 1024;
/** Limit of a pipeline without Flush or Sync, which is buffered and sent as a whole. */
const MAX_PIPELINE_BYTES = MAX_MESSAGE_BYTES;
/** COPY messages, which PostgreSQL also ignores outside COPY mode. */
const COPY_TYPES: ReadonlySet<number> = new Set([
  FRONTEND.copyData,
  FRONTEND.copyDone,
  FRONTEND.copyFail,
]);
/** How long a refused caller may take to read the error. */
const REFUSE_TIMEOUT_MS = 2_000;
/** How long the running request of a caller may take to be answered when the daemon stops. */
const STOP_TIMEOUT_MS = 2_000;
const MAX_CANCEL_KEY = 2 ** 31 - 1;

/** Handles the requests of a caller connection; implemented by the session. */
export interface CallerHandler {
  /** Starts the session; returns an error when the caller is refused. */
  handleStart(parameters: ReadonlyMap<string, string>): Promise<ErrorFields | undefined>;
  handleRequest(request: CallerRequest): Promise<void>;
  handleClose(): void;
  /** Ends the wait or the statement of the running request, which is still answered. */
  handleStop(): void;
  /** Cancels the queued or running request. */
  handleCancel(): void;
  isInTransaction(): boolean;
}

/** Client side of the proxy: one caller's startup and its requests in order. */
export class CallerConnection {
  readonly processId = randomInt(1, MAX_CANCEL_KEY);

  readonly secret = randomInt(1, MAX_CANCEL_KEY);

  handler: CallerHandler | undefined;

  private readonly reader = new FrameReader(false, MAX_STARTUP_BYTES);

  private pipelineFrames: Frame[] = [];

  private pipelineBytes = 0;

  /** Total size of the queued requests. */
  private queuedBytes = 0;

  private readonly watch: ClientWatch;

  private readonly queuedRequests: CallerRequest[] = [];

  private started = false;

  /** True once the caller has been told that its session has started. */
  private hasSession = false;

  private running = false;

  private closed = false;

  /** True once a fatal error was sent; further input of the caller is discarded. */
  private refused = false;

  /** Refuses the caller behind the requests that were read before; nothing more is read. */
  private fault: Omit<ErrorFields, 'severity'> | undefined;

  /** True once the connection is closed as soon as it is idle. */
  private draining = false;

  /** True once no further request is run. */
  private stopping = false;

  constructor(
    private readonly socket: Socket,
    private readonly guard: ClientGuard,
    private readonly onCancel: (processId: number, secret: number) => void,
  ) {
    this.watch = guard.watch(() => socket.destroy());
    socket.setNoDelay(true);
    socket.on('data', (chunk) => this.handleData(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.closed = true;
      this.watch.close();
      this.handler?.handleClose();
    });
  }

  /** The caller's IP address. */
  get address(): string {
    return this.socket.remoteAddress ?? '';
  }

  isClosed(): boolean {
    return this.closed;
  }

  hasCancelKey(processId: number, secret: number): boolean {
    return this.processId === processId && this.secret === secret;
  }

  /** True between requests, none of which has begun to arrive, and outside a transaction. */
  isIdle(): boolean {
    const hasInput =
      this.queuedRequests.length > 0 || this.pipelineFrames.length > 0 || this.reader.isInMessage();
    return !this.running && !hasInput && !this.handler?.isInTransaction();
  }

  /** Sends bytes; returns true when the socket buffer is full and `onDrain` will be called. */
  send(bytes: Buffer, onDrain?: () => void): boolean {
    if (this.closed) return false;
    const isTaken = this.socket.write(bytes, this.handleTaken);
    this.update();
    if (isTaken) return false;
    if (onDrain) this.waitForDrain(onDrain);
    return true;
  }

  /** Sends an error and closes the connection. */
  refuse(fields: Omit<ErrorFields, 'severity'>): void {
    if (this.closed || this.refused) return;
    this.refused = true;
    this.socket.end(encodeErrorResponse({ severity: 'FATAL', ...fields }));
    // Frees the socket of a caller that keeps sending and never closes.
    setTimeout(() => this.socket.destroy(), REFUSE_TIMEOUT_MS).unref();
  }

  /** Closes the connection as soon as it is idle, however short that is. */
  drain(): void {
    this.draining = true;
    if (this.isIdle()) this.refuseStopped();
  }

  /** Ends the running request with an answer, and the connection behind it. */
  stop(): void {
    if (this.stopping) return;
    this.stopping = true;
    if (!this.running) {
      this.refuseStopped();
      return;
    }
    this.handler?.handleStop();
    setTimeout(() => this.socket.destroy(), STOP_TIMEOUT_MS).unref();
  }

  close(): void {
    this.socket.destroy();
  }

  private refuseStopped(): void {
    this.refuse({ code: SQLSTATE.shuttingDown, message: 'the proxy is shutting down' });
  }

  private handleData(chunk: Buffer): void {
    if (this.refused || this.fault) return;
    this.reader.add(chunk);
    try {
      for (let frame = this.reader.read(); frame && !this.fault; frame = this.reader.read()) {
        if (this.started) this.handleFrame(frame);
        else this.handleStartup(frame);
      }
    } catch (error) {
      const message = error instanceof Error ? error.message : 'malformed message';
      this.endInput({ code: SQLSTATE.protocolViolation, message });
    }
    this.watch.endWait('end of message');
    this.update();
    this.runRequests();
  }

  /** Drops what follows the requests read so far, and refuses the caller behind them. */
  private endInput(fault: Omit<ErrorFields, 'severity'>): void {
    this.fault = fault;
    this.pipelineFrames = [];
    this.pipelineBytes = 0;
    this.reader.drain();
    // No request came before.
    if (!this.hasSession && this.queuedRequests.length === 0) this.refuse(fault);
  }

  /** Counts what the connection holds and waits for, and reads on or stops reading accordingly. */
  private update(): void {
    const { socket, reader, watch } = this;
    if (this.closed || this.refused) return;
    const input = reader.countHeld() + this.queuedBytes + this.pipelineBytes;
    watch.memory.updateBuffered(input + socket.writableLength);
    if (socket.writableLength > 0) watch.startWait('taking of answer');
    else watch.endWait('taking of answer');
    if (!this.mayRead()) {
      watch.endWait('end of message');
      socket.pause();
      return;
    }
    if (reader.isInMessage()) watch.startWait('end of message');
    socket.resume();
  }

  /** The caller has taken what was written; the time for the next part starts. */
  private readonly handleTaken = (): void => {
    this.watch.endWait('taking of answer');
    this.update();
  };

  private mayRead(): boolean {
    if (this.queuedBytes > MAX_QUEUED_BYTES) return false;
    return !this.running || this.guard.memory.readLevel() === 'normal';
  }

  private handleStartup(frame: Frame): void {
    const startup = parseStartup(frame.body);
    if (startup.kind === 'ssl' || startup.kind === 'gss') {
      this.socket.write('N');
      return;
    }
    if (startup.kind === 'cancel') {
      this.onCancel(startup.processId, startup.secret);
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
        encodeReadyForQuery('I'),
      ]),
    );
    this.hasSession = true;
    this.running = false;
    this.runRequests();
  }

  private handleFrame(frame: Frame): void {
    const { type } = frame;
    if (COPY_TYPES.has(type)) return;
    if (type === FRONTEND.query) this.add('simple', [frame]);
    else if (type === FRONTEND.functionCall) this.add('function', [frame]);
    else if (type === FRONTEND.terminate) this.add('terminate', [frame]);
    else this.addToPipeline(frame);
  }

  private addToPipeline(frame: Frame): void {
    this.pipelineFrames.push(frame);
    this.pipelineBytes += frame.raw.length;
    if (frame.type === FRONTEND.sync || frame.type === FRONTEND.flush) {
      this.add('extended', this.pipelineFrames, frame.type === FRONTEND.flush);
      this.pipelineFrames = [];
      this.pipelineBytes = 0;
    } else if (this.pipelineBytes > MAX_PIPELINE_BYTES) {
      const message = `a series without Sync exceeds ${MAX_PIPELINE_BYTES} bytes; it was not run`;
      this.endInput({ code: SQLSTATE.programLimit, message });
    }
  }

  private add(kind: CallerRequest['kind'], frames: readonly Frame[], isPartial = false): void {
    this.queuedRequests.push({ kind, frames, isPartial });
    this.queuedBytes += this.countBytes(frames);
  }

  private countBytes(frames: readonly Frame[]): number {
    return frames.reduce((sum, { raw }) => sum + raw.length, 0);
  }

  /** Calls back once, when the socket buffer has drained or the socket has closed. */
  private waitForDrain(onDrain: () => void): void {
    const finish = (): void => {
      this.socket.off('drain', finish).off('close', finish);
      onDrain();
    };
    this.socket.on('drain', finish).on('close', finish);
  }

  private runRequests(): void {
    if (this.running || this.closed || this.refused || !this.handler) return;
    if (this.stopping) {
      this.refuseStopped();
      return;
    }
    const request = this.queuedRequests.shift();
    if (!request && this.fault) {
      this.refuse(this.fault);
      return;
    }
    if (!request) {
      this.update();
      if (this.draining) this.drain();
      return;
    }
    const bytes = this.countBytes(request.frames);
    this.queuedBytes -= bytes;
    if (request.kind === 'terminate') {
      this.socket.end();
      return;
    }
    if (!this.watch.memory.startMessage(bytes)) {
      this.guard.report('large request');
      const message = 'too many large requests at present; it was not run';
      this.refuse({ code: SQLSTATE.programLimit, message });
      return;
    }
    this.running = true;
    this.update();
    this.handler
      .handleRequest(request)
      .catch(() => this.socket.destroy())
      .finally(() => {
        this.watch.memory.finishMessage(bytes);
        this.running = false;
        // Runs no further request until the caller has read its responses.
        if (this.socket.writableNeedDrain) this.waitForDrain(() => this.runRequests());
        else this.runRequests();
      });
  }
}
