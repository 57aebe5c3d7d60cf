import type { Socket } from 'node:net';
import { TLSSocket } from 'node:tls';
import type { Millis } from '@shallotpick/core';
import {
  encodeAuthenticationCleartext,
  encodeAuthenticationSasl,
  encodeErrorResponse,
  encodeSaslContinue,
  encodeSaslFinal,
  type ErrorFields,
  type Frame,
  FrameReader,
  FRONTEND,
  MAX_STARTUP_BYTES,
  parsePassword,
  parseSaslInitialResponse,
  parseStartup,
} from '@shallotpick/wire';
import { checkPassword, createMockVerifier, SCRAM_MECHANISM, ScramExchange } from './auth.js';
import { AuthenticationError } from './errors.js';
import { SQLSTATE } from './sqlstate.js';
import type { CertificateFiles } from './tls.js';
import type { UsersFile } from './users.js';

/** Limit of a message from a caller that is not authenticated yet. */
const MAX_AUTH_BYTES = 10_000;

/** Options of {@link CallerHandshake}. */
export interface HandshakeOptions {
  readonly timeoutMs: Millis;
  /** Server certificate for callers; without it TLS requests are declined. */
  readonly files: CertificateFiles | undefined;
  readonly isTlsRequired: boolean;
  /** Users who may log in; without it there is no authentication. */
  readonly users: UsersFile | undefined;
  readonly method: 'scram' | 'password';
}

/** A read that waits for the next message. */
interface PendingRead {
  readonly resolve: (frame: Frame) => void;
  readonly reject: (error: Error) => void;
}

function toErrorFields(error: unknown): Omit<ErrorFields, 'severity'> {
  const isRefused = error instanceof AuthenticationError;
  const code = isRefused ? SQLSTATE.invalidPassword : SQLSTATE.protocolViolation;
  return { code, message: error instanceof Error ? error.message : 'malformed message' };
}

/** How long a refused caller may take to read the error. */
const REFUSE_TIMEOUT_MS: Millis = 2_000;

/** Sends a fatal error to a caller that is not admitted, and closes the socket. */
export function refuseSocket(socket: Socket, fields: Omit<ErrorFields, 'severity'>): void {
  socket.on('error', () => socket.destroy());
  socket.end(encodeErrorResponse({ severity: 'FATAL', ...fields }));
  // A fixed timeout instead of an idle one: a caller that keeps sending must not hold the socket.
  setTimeout(() => socket.destroy(), REFUSE_TIMEOUT_MS).unref();
  socket.resume();
}

/**
 * Performs the handshake of a caller's connection: TLS, timeout and authentication. It then
 * pushes the startup message back into the socket, where the caller connection reads it.
 */
export class CallerHandshake {
  private socket: Socket;

  private reader = new FrameReader(false, MAX_STARTUP_BYTES);

  private pendingRead: PendingRead | undefined;

  private failure: Error | undefined;

  constructor(
    socket: Socket,
    private readonly options: HandshakeOptions,
  ) {
    this.socket = socket;
    this.addListeners();
  }

  /** Resolves with the socket to use from here on, or undefined when the caller was refused. */
  async run(): Promise<Socket | undefined> {
    const timer = setTimeout(() => {
      this.fail(new Error('no complete startup in time'));
    }, this.options.timeoutMs);
    try {
      const startup = await this.readStartup();
      await this.authenticate(startup);
      this.removeListeners();
      this.socket.unshift(Buffer.concat([startup.raw, this.reader.drain()]));
      return this.socket;
    } catch (error) {
      this.close(error);
      return undefined;
    } finally {
      clearTimeout(timer);
    }
  }

  private readonly handleData = (chunk: Buffer): void => {
    this.reader.add(chunk);
    this.completeRead();
  };

  private readonly handleEnd = (): void => this.fail(new Error('the caller closed'));

  private addListeners(): void {
    this.socket.on('data', this.handleData).on('error', this.handleEnd).on('close', this.handleEnd);
  }

  private removeListeners(): void {
    this.socket.pause().off('data', this.handleData);
    this.socket.off('error', this.handleEnd).off('close', this.handleEnd);
  }

  private fail(error: Error): void {
    this.failure ??= error;
    this.completeRead();
  }

  private close(error: unknown): void {
    this.socket.off('data', this.handleData);
    refuseSocket(this.socket, toErrorFields(error));
  }

  private completeRead(): void {
    const { pendingRead } = this;
    if (!pendingRead) return;
    try {
      if (this.failure) throw this.failure;
      const frame = this.reader.read();
      if (!frame) return;
      this.pendingRead = undefined;
      this.socket.pause();
      pendingRead.resolve(frame);
    } catch (error) {
      this.pendingRead = undefined;
      pendingRead.reject(error as Error);
    }
  }

  private async read(): Promise<Frame> {
    const frame = new Promise<Frame>((resolve, reject) => {
      this.pendingRead = { resolve, reject };
    });
    this.completeRead();
    if (this.pendingRead) this.socket.resume();
    return frame;
  }

  private async readStartup(): Promise<Frame> {
    const { files, isTlsRequired } = this.options;
    for (let requests = 0; requests < 3; requests++) {
      const frame = await this.read();
      const { kind } = parseStartup(frame.body);
      if (kind === 'ssl' && files && !this.isSecure()) this.startTls(files);
      else if (kind === 'ssl' || kind === 'gss') this.socket.write('N');
      else if (kind === 'cancel' || this.isSecure() || !isTlsRequired) return frame;
      else throw new AuthenticationError('TLS is required');
    }
    throw new Error('too many requests for encryption');
  }

  private isSecure(): boolean {
    return this.socket instanceof TLSSocket;
  }

  private startTls(files: CertificateFiles): void {
    // Cleartext bytes sent before the TLS handshake could be injected by an attacker.
    if (this.reader.drain().length > 0) throw new Error('unencrypted bytes after the TLS request');
    this.removeListeners();
    this.socket.on('error', () => undefined);
    this.socket.write('S');
    this.reader = new FrameReader(false, MAX_STARTUP_BYTES);
    this.socket = new TLSSocket(this.socket, {
      isServer: true,
      secureContext: files.secureContext,
    });
    this.addListeners();
  }

  private async authenticate(startup: Frame): Promise<void> {
    const { users, method } = this.options;
    const parsed = parseStartup(startup.body);
    if (!users || parsed.kind !== 'start') return;
    const user = parsed.parameters.get('user') ?? '';
    const verifier = users.find(user) ?? createMockVerifier(user);
    const remaining = this.reader.drain();
    this.reader = new FrameReader(true, MAX_AUTH_BYTES);
    this.reader.add(remaining);
    if (method === 'scram') await this.runScram(new ScramExchange(verifier));
    else if (!this.isSecure()) throw new AuthenticationError('a password needs TLS');
    else {
      this.socket.write(encodeAuthenticationCleartext());
      const isCorrect = await checkPassword(parsePassword(await this.readPassword()), verifier);
      if (!isCorrect) throw new AuthenticationError(`password of user "${user}" is wrong`);
    }
  }

  private async runScram(exchange: ScramExchange): Promise<void> {
    this.socket.write(encodeAuthenticationSasl([SCRAM_MECHANISM]));
    const { mechanism, data } = parseSaslInitialResponse(await this.readPassword());
    if (mechanism !== SCRAM_MECHANISM) throw new AuthenticationError('unknown SASL mechanism');
    this.socket.write(encodeSaslContinue(exchange.handleFirst(data)));
    const final = await this.readPassword();
    this.socket.write(encodeSaslFinal(exchange.handleFinal(final.toString('utf8'))));
  }

  private async readPassword(): Promise<Buffer> {
    const { type, body } = await this.read();
    if (type !== FRONTEND.password) throw new Error('a password message was expected');
    return body;
  }
}
