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

/** Longest message before a caller is authenticated. */
const MAX_AUTH_BYTES = 10_000;

export interface HandshakeOptions {
  readonly timeoutMs: Millis;
  /** Certificates for callers; TLS is refused without. */
  readonly files: CertificateFiles | undefined;
  readonly isTlsRequired: boolean;
  /** Users who may log in; without, everybody may. */
  readonly users: UsersFile | undefined;
  readonly method: 'scram' | 'password';
}

interface Waiter {
  readonly resolve: (frame: Frame) => void;
  readonly reject: (error: Error) => void;
}

function toFields(error: unknown): Omit<ErrorFields, 'severity'> {
  const isRefused = error instanceof AuthenticationError;
  const code = isRefused ? SQLSTATE.invalidPassword : SQLSTATE.protocolViolation;
  return { code, message: error instanceof Error ? error.message : 'malformed message' };
}

/** How long a refused caller may take to read the error. */
const REFUSE_TIMEOUT_MS: Millis = 2_000;

/** Sends an error to a caller that is not let in, and closes. */
export function refuseSocket(socket: Socket, fields: Omit<ErrorFields, 'severity'>): void {
  socket.on('error', () => socket.destroy());
  socket.end(encodeErrorResponse({ severity: 'FATAL', ...fields }));
  // Not an idle time-out: a caller that goes on sending must not hold the socket.
  setTimeout(() => socket.destroy(), REFUSE_TIMEOUT_MS).unref();
  socket.resume();
}

/**
 * The startup of a caller's connection: TLS, time-out and authentication. The startup message is
 * then put back, so that the caller's connection reads it from the socket as in cleartext.
 */
export class CallerHandshake {
  private socket: Socket;

  private reader = new FrameReader(false, MAX_STARTUP_BYTES);

  private waiter: Waiter | undefined;

  private failure: Error | undefined;

  constructor(
    socket: Socket,
    private readonly options: HandshakeOptions,
  ) {
    this.socket = socket;
    this.listen();
  }

  /** Resolves with the socket to go on with, or with undefined when the caller was refused. */
  async run(): Promise<Socket | undefined> {
    const timer = setTimeout(() => {
      this.fail(new Error('no complete startup in time'));
    }, this.options.timeoutMs);
    try {
      const startup = await this.readStartup();
      await this.authenticate(startup);
      this.unlisten();
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
    this.settle();
  };

  private readonly handleEnd = (): void => this.fail(new Error('the caller closed'));

  private listen(): void {
    this.socket.on('data', this.handleData).on('error', this.handleEnd).on('close', this.handleEnd);
  }

  private unlisten(): void {
    this.socket.pause().off('data', this.handleData);
    this.socket.off('error', this.handleEnd).off('close', this.handleEnd);
  }

  private fail(error: Error): void {
    this.failure ??= error;
    this.settle();
  }

  private close(error: unknown): void {
    this.socket.off('data', this.handleData);
    refuseSocket(this.socket, toFields(error));
  }

  private settle(): void {
    const { waiter } = this;
    if (!waiter) return;
    try {
      if (this.failure) throw this.failure;
      const frame = this.reader.read();
      if (!frame) return;
      this.waiter = undefined;
      this.socket.pause();
      waiter.resolve(frame);
    } catch (error) {
      this.waiter = undefined;
      waiter.reject(error as Error);
    }
  }

  private async read(): Promise<Frame> {
    const frame = new Promise<Frame>((resolve, reject) => {
      this.waiter = { resolve, reject };
    });
    this.settle();
    if (this.waiter) this.socket.resume();
    return frame;
  }

  private async readStartup(): Promise<Frame> {
    const { files, isTlsRequired } = this.options;
    for (let asked = 0; asked < 3; asked++) {
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
    // Bytes sent ahead of the handshake could come from somebody in between.
    if (this.reader.drain().length > 0) throw new Error('unencrypted bytes after the TLS request');
    this.unlisten();
    this.socket.on('error', () => undefined);
    this.socket.write('S');
    this.reader = new FrameReader(false, MAX_STARTUP_BYTES);
    this.socket = new TLSSocket(this.socket, {
      isServer: true,
      secureContext: files.secureContext,
    });
    this.listen();
  }

  private async authenticate(startup: Frame): Promise<void> {
    const { users, method } = this.options;
    const parsed = parseStartup(startup.body);
    if (!users || parsed.kind !== 'start') return;
    const user = parsed.parameters.get('user') ?? '';
    const verifier = users.find(user) ?? createMockVerifier(user);
    const rest = this.reader.drain();
    this.reader = new FrameReader(true, MAX_AUTH_BYTES);
    this.reader.add(rest);
    if (method === 'scram') await this.runScram(new ScramExchange(verifier));
    else if (!this.isSecure()) throw new AuthenticationError('a password needs TLS');
    else {
      this.socket.write(encodeAuthenticationCleartext());
      const isRight = await checkPassword(parsePassword(await this.readPassword()), verifier);
      if (!isRight) throw new AuthenticationError(`password of user "${user}" is wrong`);
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
