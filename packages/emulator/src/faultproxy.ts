import { createConnection, createServer, type Server, type Socket } from 'node:net';
import type { Millis } from '@shallotpick/core';

/** A direction of the byte stream through a proxy. */
type Direction = 'toServer' | 'toClient';

/** The two sockets of a proxied connection. */
interface ConnectionPair {
  readonly client: Socket;
  readonly server: Socket;
}

/** A TCP proxy on loopback that can delay, reset, refuse or silence connections, also one way. */
export class FaultProxy {
  port = 0;

  /** Delay of the bytes in each direction. */
  private delayMs: Millis = 0;

  /** True while new connections are reset at once. */
  private isRefusing = false;

  private readonly silenced = new Set<Direction>();

  private readonly pairs = new Set<ConnectionPair>();

  /** Connections that `silenceOpenConnections` has silenced until `stop`. */
  private readonly permanentlySilenced = new Set<ConnectionPair>();

  private readonly server: Server = createServer((socket) => this.accept(socket));

  constructor(
    private readonly findPort: () => number,
    /** Address to listen on and to connect to. */
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
    this.permanentlySilenced.forEach(({ client, server }) => {
      client.destroy();
      server.destroy();
    });
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  /** Stops forwarding in the given directions, also for new connections. */
  silence(...directions: readonly Direction[]): void {
    directions.forEach((direction) => this.silenced.add(direction));
    this.pairs.forEach((pair) => this.updateFlow(pair));
  }

  /** Delays all bytes by `durationMs`. */
  delay(durationMs: Millis): void {
    this.delayMs = durationMs;
  }

  /** Resets the open connections and, until `clearFaults`, every new one. */
  refuse(): void {
    this.isRefusing = true;
    this.resetConnections();
  }

  /** Ends all faults; silenced connections resume and deliver their buffered bytes. */
  clearFaults(): void {
    this.silenced.clear();
    this.isRefusing = false;
    this.delayMs = 0;
    this.pairs.forEach((pair) => this.updateFlow(pair));
  }

  /** Resets the open connections, or a random share of them. */
  resetConnections(share = 1, random: () => number = Math.random): void {
    this.pairs.forEach(({ client, server }) => {
      if (random() >= share) return;
      client.resetAndDestroy();
      server.destroy();
    });
  }

  /** Silences the open connections permanently; new ones are unaffected. */
  silenceOpenConnections(): void {
    this.pairs.forEach((pair) => {
      pair.client.pause();
      pair.server.pause();
      this.permanentlySilenced.add(pair);
    });
    this.pairs.clear();
  }

  private accept(client: Socket): void {
    if (this.isRefusing) {
      client.resetAndDestroy();
      return;
    }
    const server = createConnection({ host: this.host, port: this.findPort() });
    const pair: ConnectionPair = { client, server };
    this.pairs.add(pair);
    this.forward(client, server, pair);
    this.forward(server, client, pair);
    this.updateFlow(pair);
  }

  private forward(from: Socket, to: Socket, pair: ConnectionPair): void {
    from.setNoDelay(true);
    from.on('data', (chunk) => {
      if (this.delayMs === 0) to.write(chunk);
      else setTimeout(() => to.write(chunk), this.delayMs);
    });
    const closePair = (): void => {
      this.pairs.delete(pair);
      setTimeout(() => to.destroy(), this.delayMs);
    };
    from.on('end', () => setTimeout(() => to.end(), this.delayMs));
    from.on('error', closePair);
    from.on('close', closePair);
  }

  private updateFlow({ client, server }: ConnectionPair): void {
    if (this.silenced.has('toServer')) client.pause();
    else client.resume();
    if (this.silenced.has('toClient')) server.pause();
    else server.resume();
  }
}
