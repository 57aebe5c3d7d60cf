import { connect, isIP, type Socket } from 'node:net';
import { connect as connectTls } from 'node:tls';
import type { DatabaseInstance, Millis } from '@shallotpick/core';
import { serialize } from '@shallotpick/wire';
import { InstanceError } from './errors.js';
import type { CaFile } from './tls.js';

export interface InstanceSocketOptions {
  readonly instance: DatabaseInstance;
  readonly timeoutMs: Millis;
  /** CA of the instance; cleartext without. */
  readonly caFile?: CaFile | undefined;
}

const ACCEPTED = 'S'.charCodeAt(0);

async function requestTls(socket: Socket): Promise<void> {
  socket.write(serialize.requestSsl());
  const answer = await new Promise<Buffer>((resolve, reject) => {
    socket.once('data', resolve).once('error', reject);
    socket.once('close', () => reject(new InstanceError('connection closed')));
  });
  // Bytes behind the answer could come from somebody in between.
  if (answer.length === 1 && answer[0] === ACCEPTED) return;
  throw new InstanceError('the instance refuses TLS');
}

async function startTls(socket: Socket, host: string, trust: CaFile): Promise<Socket> {
  await requestTls(socket);
  const { secureContext } = trust;
  const name = isIP(host) ? {} : { servername: host };
  const secure = connectTls({ socket, secureContext, host, ...name });
  await new Promise<void>((resolve, reject) => {
    secure.once('secureConnect', resolve).once('error', reject);
    secure.once('close', () => reject(new InstanceError('connection closed')));
  });
  return secure;
}

/**
 * Opens a socket to an instance. With a CA it uses TLS and checks the instance's certificate and
 * name; an instance that refuses TLS is refused.
 *
 * @throws InstanceError when TLS cannot be established in time.
 */
export async function openInstanceSocket({
  instance,
  caFile: trust,
  timeoutMs,
}: InstanceSocketOptions): Promise<Socket> {
  const { host, port } = instance;
  const socket = connect({ host, port });
  if (!trust) return socket;
  const timer = setTimeout(() => socket.destroy(), timeoutMs);
  try {
    return await startTls(socket, host, trust);
  } catch (cause) {
    socket.destroy();
    throw new InstanceError('no TLS connection to the instance', { cause });
  } finally {
    clearTimeout(timer);
  }
}
