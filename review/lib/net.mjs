/** Helpers that all stand-ins share: ports, waits, lines. */
import { createServer } from 'node:net';

/** Resolves after `durationMs`. */
export async function wait(durationMs) {
  await new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/** Ports below those that outgoing connections get. */
const FIRST_PORT = 15_000;
const LAST_PORT = 31_000;

async function isFree(port) {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

const given = new Set();

/** Finds `count` free ports on the loopback address. */
export async function findPorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (!given.has(port) && (await isFree(port))) {
      given.add(port);
      ports.push(port);
    }
  }
  return ports;
}

/** Splits a stream into lines that end with CR LF; long lines cost no repeated copies. */
export class Lines {
  parts = [];

  read(chunk) {
    const text = chunk.toString('latin1');
    if (!text.includes('\n')) {
      this.parts.push(text);
      return [];
    }
    const lines = (this.parts.join('') + text).split('\n');
    this.parts = [lines.pop()];
    return lines.map((line) => line.replace(/\r$/, ''));
  }
}
