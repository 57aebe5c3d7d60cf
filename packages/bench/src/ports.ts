import { once } from 'node:events';
import { type AddressInfo, createServer } from 'node:net';

/**
 * Returns loopback ports that were free at the time of the call, for servers whose address must be
 * known before they start.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, '127.0.0.1'));
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => once(server.close(), 'close')));
  return ports;
}
