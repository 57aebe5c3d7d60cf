import { isIPv4 } from 'node:net';

const MAX_PORT = 65_535;
const MAX_HOST_LENGTH = 253;
/** A host name, or an IPv4 address. */
const HOST_PATTERN = /^[A-Za-z0-9_]([A-Za-z0-9._-]*[A-Za-z0-9_])?$/;
const NUMERIC_PATTERN = /^[\d.]+$/;
/** Connections to 0.0.0.0 reach this host itself. */
const UNSPECIFIED_PREFIX = '0.';

/** True for a port that a connection can be opened to. */
export function isUsablePort(port: number): boolean {
  return Number.isInteger(port) && port > 0 && port <= MAX_PORT;
}

/** True for a host name or an IPv4 address that a connection can be opened to. */
export function isUsableHost(host: string): boolean {
  if (host.length > MAX_HOST_LENGTH || !HOST_PATTERN.test(host)) return false;
  if (!NUMERIC_PATTERN.test(host)) return true;
  return isIPv4(host) && !host.startsWith(UNSPECIFIED_PREFIX);
}
