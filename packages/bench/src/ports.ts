import { once } from 'node:events';
import { type AddressInfo, createServer } from 'node:net';

/** Loopback ports that were free a moment ago, for addresses that must be known before a start. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, '127.0.0.1'));
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => once(server.close(), 'close')));
  return ports;
}
