import { connect, isIP, type Socket } from 'node:net';
import { connect as connectTls } from 'node:tls';
import type { DatabaseInstance, Millis } from '@shallotpick/core';
import { serialize } from '@shallotpick/wire';
import { InstanceError } from './errors.js';
import type { CaFile } from './tls.js';

/** Options of {@link openInstanceSocket}. */
export interface InstanceSocketOptions {
  readonly instance: DatabaseInstance;
  readonly timeoutMs: Millis;
  /** CA that signs the instance's certificate; without it the connection is cleartext. */
  readonly caFile?: CaFile | undefined;
}

const TLS_ACCEPTED = 'S'.charCodeAt(0);

async function requestTls(socket: Socket): Promise<void> {
  socket.write(serialize.requestSsl());
  const response = await new Promise<Buffer>((resolve, reject) => {
    socket.once('data', resolve).once('error', reject);
    socket.once('close', () => reject(new InstanceError('connection closed')));
  });
  // Cleartext bytes after the response could be injected by an attacker.
  if (response.length === 1 && response[0] === TLS_ACCEPTED) return;
  throw new InstanceError('the instance does not support TLS');
}

async function startTls(socket: Socket, host: string, caFile: CaFile): Promise<Socket> {
  await requestTls(socket);
  const { secureContext } = caFile;
  const name = isIP(host) ? {} : { servername: host };
  const tlsSocket = connectTls({ socket, secureContext, host, ...name });
  await new Promise<void>((resolve, reject) => {
    tlsSocket.once('secureConnect', resolve).once('error', reject);
    tlsSocket.once('close', () => reject(new InstanceError('connection closed')));
  });
  return tlsSocket;
}

/**
 * Opens a socket to an instance. With a CA file it uses TLS and verifies the instance's
 * certificate and name, without fallback to cleartext.
 *
 * @throws InstanceError when TLS cannot be established in time.
 */
export async function openInstanceSocket({
  instance,
  caFile,
  timeoutMs,
}: InstanceSocketOptions): Promise<Socket> {
  const { host, port } = instance;
  const socket = connect({ host, port });
  if (!caFile) return socket;
  const timer = setTimeout(() => socket.destroy(), timeoutMs);
  try {
    return await startTls(socket, host, caFile);
  } catch (cause) {
    socket.destroy();
    throw new InstanceError('the TLS connection to the instance failed', { cause });
  } finally {
    clearTimeout(timer);
  }
}
