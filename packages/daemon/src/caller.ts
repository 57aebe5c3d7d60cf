import { randomInt } from 'node:crypto';
import type { Socket } from 'node:net';
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

/** A caller that runs ahead of its answers is not read from beyond this many bytes. */
const MAX_BYTES_AHEAD = 1024 * 1024;
/** Longest series of extended messages without Flush or Sync, since it is sent as a whole. */
const MAX_SERIES_BYTES = MAX_MESSAGE_BYTES;
/** Types that mean nothing outside COPY; PostgreSQL ignores them there too. */
const COPY_TYPES: ReadonlySet<number> = new Set([
  FRONTEND.copyData,
  FRONTEND.copyDone,
  FRONTEND.copyFail,
]);
/** How long a refused caller may take to read the error. */
const REFUSE_TIMEOUT_MS = 2_000;
const MAX_KEY = 2 ** 31 - 1;

/** The session layer behind a caller connection. */
export interface CallerHandler {
  /** Returns the parameters to report, or the reason for refusing the caller. */
  handleStart(parameters: ReadonlyMap<string, string>): Promise<ErrorFields | undefined>;
  handleRequest(request: CallerRequest): Promise<void>;
  handleClose(): void;
  /** Interrupts the request that waits or runs. */
  handleCancel(): void;
  isInTransaction(): boolean;
}

/** One caller's connection: startup, and requests in order. */
export class CallerConnection {
  readonly processId = randomInt(1, MAX_KEY);

  readonly secret = randomInt(1, MAX_KEY);

  handler: CallerHandler | undefined;

  private readonly reader = new FrameReader(false, MAX_STARTUP_BYTES);

  private series: Frame[] = [];

  private seriesBytes = 0;

  /** Bytes of the requests that wait. */
  private waitingBytes = 0;

  private readonly requests: CallerRequest[] = [];

  private started = false;

  private running = false;

  private closed = false;

  /** True once the last error was sent; what the caller still sends is dropped. */
  private refused = false;

  constructor(
    private readonly socket: Socket,
    private readonly onCancel: (processId: number, secret: number) => void,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (chunk) => this.handleData(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.closed = true;
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

  /** True between requests and outside a transaction. */
  isIdle(): boolean {
    const waits = this.running || this.requests.length > 0 || this.series.length > 0;
    return !waits && !this.handler?.isInTransaction();
  }

  /** Sends bytes; true when the caller reads too slowly and `onDrain` will be called. */
  send(bytes: Buffer, onDrain?: () => void): boolean {
    if (this.closed) return false;
    if (this.socket.write(bytes)) return false;
    if (onDrain) this.waitForDrain(onDrain);
    return true;
  }

  /** Sends an error and closes the connection. */
  refuse(fields: Omit<ErrorFields, 'severity'>): void {
    if (this.closed || this.refused) return;
    this.refused = true;
    this.socket.end(encodeErrorResponse({ severity: 'FATAL', ...fields }));
    // A caller that goes on sending and never closes must not hold the socket.
    setTimeout(() => this.socket.destroy(), REFUSE_TIMEOUT_MS).unref();
  }

  close(): void {
    this.socket.destroy();
  }

  private handleData(chunk: Buffer): void {
    if (this.refused) return;
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
    if (this.waitingBytes > MAX_BYTES_AHEAD) this.socket.pause();
    this.runRequests();
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
    this.running = false;
    this.runRequests();
  }

  private handleFrame(frame: Frame): void {
    const { type } = frame;
    if (COPY_TYPES.has(type)) return;
    if (type === FRONTEND.query) this.add('simple', [frame]);
    else if (type === FRONTEND.functionCall) this.add('function', [frame]);
    else if (type === FRONTEND.terminate) this.add('terminate', [frame]);
    else this.addToSeries(frame);
  }

  private addToSeries(frame: Frame): void {
    this.series.push(frame);
    this.seriesBytes += frame.raw.length;
    if (frame.type === FRONTEND.sync || frame.type === FRONTEND.flush) {
      this.add('extended', this.series, frame.type === FRONTEND.flush);
      this.series = [];
      this.seriesBytes = 0;
    } else if (this.seriesBytes > MAX_SERIES_BYTES) {
      const message = `a series without Sync exceeds ${MAX_SERIES_BYTES} bytes; it was not run`;
      this.refuse({ code: SQLSTATE.programLimit, message });
      this.series = [];
      this.socket.pause();
    }
  }

  private add(kind: CallerRequest['kind'], frames: readonly Frame[], isPartial = false): void {
    this.requests.push({ kind, frames, isPartial });
    this.waitingBytes += this.countBytes(frames);
  }

  private countBytes(frames: readonly Frame[]): number {
    return frames.reduce((sum, { raw }) => sum + raw.length, 0);
  }

  /** Calls back once, when the caller has read what was sent or has gone. */
  private waitForDrain(onDrain: () => void): void {
    const finish = (): void => {
      this.socket.off('drain', finish).off('close', finish);
      onDrain();
    };
    this.socket.on('drain', finish).on('close', finish);
  }

  private runRequests(): void {
    if (this.running || this.closed || !this.handler) return;
    const request = this.requests.shift();
    if (!request) {
      this.socket.resume();
      return;
    }
    this.waitingBytes -= this.countBytes(request.frames);
    if (this.waitingBytes <= MAX_BYTES_AHEAD) this.socket.resume();
    if (request.kind === 'terminate') {
      this.socket.end();
      return;
    }
    this.running = true;
    this.handler
      .handleRequest(request)
      .catch(() => this.socket.destroy())
      .finally(() => {
        this.running = false;
        // A caller that does not read its answers gets no further request run.
        if (this.socket.writableNeedDrain) this.waitForDrain(() => this.runRequests());
        else this.runRequests();
      });
  }
}
