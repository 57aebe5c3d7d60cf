import { createConnection, createServer, type Server, type Socket } from 'node:net';
import type { Millis } from '@shallotpick/core';

/** What a proxy does with bytes of one direction: pass them, or hold them back. */
type Direction = 'toServer' | 'toClient';

interface Pair {
  readonly client: Socket;
  readonly server: Socket;
}

/** A TCP proxy on loopback that delays, resets, cuts one way, silences or refuses connections. */
export class FaultProxy {
  port = 0;

  /** Time that bytes are held back in each direction. */
  private delayMs: Millis = 0;

  /** New connections are closed at once. */
  private isRefusing = false;

  private readonly silenced = new Set<Direction>();

  private readonly pairs = new Set<Pair>();

  /** Connections that were silenced for good. */
  private readonly abandoned = new Set<Pair>();

  private readonly server: Server = createServer((socket) => this.accept(socket));

  constructor(
    private readonly findPort: () => number,
    /** Address of both sides. */
    readonly host = '127.0.0.1',
  ) {}

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, this.host, resolve);
    });
    const address = this.server.address();
    if (address && typeof address === 'object') this.port = address.port;
  }

  async stop(): Promise<void> {
    this.resetConnections();
    this.abandoned.forEach(({ client, server }) => {
      client.destroy();
      server.destroy();
    });
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  /** Holds back the bytes of the given directions, also of new connections. */
  silence(...directions: readonly Direction[]): void {
    directions.forEach((direction) => this.silenced.add(direction));
    this.pairs.forEach((pair) => this.updateFlow(pair));
  }

  /** Holds back all bytes for a time. */
  delay(durationMs: Millis): void {
    this.delayMs = durationMs;
  }

  /** Resets the open connections and every new one. */
  refuse(): void {
    this.isRefusing = true;
    this.resetConnections();
  }

  /** Ends all faults; bytes that were held back arrive. */
  clearFaults(): void {
    this.silenced.clear();
    this.isRefusing = false;
    this.delayMs = 0;
    this.pairs.forEach((pair) => this.updateFlow(pair));
  }

  /** Resets the open connections, or a part of them. */
  resetConnections(part = 1, random: () => number = Math.random): void {
    this.pairs.forEach(({ client, server }) => {
      if (random() >= part) return;
      client.resetAndDestroy();
      server.destroy();
    });
  }

  /** Silences the open connections for good; new ones work. */
  silenceOpenConnections(): void {
    this.pairs.forEach((pair) => {
      pair.client.pause();
      pair.server.pause();
      this.abandoned.add(pair);
    });
    this.pairs.clear();
  }

  private accept(client: Socket): void {
    if (this.isRefusing) {
      client.resetAndDestroy();
      return;
    }
    const server = createConnection({ host: this.host, port: this.findPort() });
    const pair: Pair = { client, server };
    this.pairs.add(pair);
    this.forward(client, server, pair);
    this.forward(server, client, pair);
    this.updateFlow(pair);
  }

  private forward(from: Socket, to: Socket, pair: Pair): void {
    from.setNoDelay(true);
    from.on('data', (chunk) => {
      if (this.delayMs === 0) to.write(chunk);
      else setTimeout(() => to.write(chunk), this.delayMs);
    });
    const end = (): void => {
      this.pairs.delete(pair);
      setTimeout(() => to.destroy(), this.delayMs);
    };
    from.on('end', () => setTimeout(() => to.end(), this.delayMs));
    from.on('error', end);
    from.on('close', end);
  }

  private updateFlow({ client, server }: Pair): void {
    if (this.silenced.has('toServer')) client.pause();
    else client.resume();
    if (this.silenced.has('toClient')) server.pause();
    else server.resume();
  }
}
