import { createServer, type Server, type Socket } from 'node:net';
import { wait } from '@shallotpick/engine';
import { encodeFrame } from '../src/index.js';

const MESSAGE_BYTES = 1024 * 1024;
const PIECE_BYTES = 1024;

/** A home that answers no ping, since it is sending a message that takes long. */
export class SlowHome {
  /** Settles when the first link has been opened. */
  readonly opened: Promise<void>;

  /** Settles when a link has been closed. */
  readonly closed: Promise<void>;

  private readonly server: Server;

  private readonly sockets: Socket[] = [];

  private closedLinks = 0;

  constructor() {
    this.server = createServer();
    this.opened = new Promise((resolve) => {
      this.server.once('connection', () => resolve());
    });
    this.closed = new Promise((resolve) => {
      this.server.on('connection', (socket) => {
        this.sockets.push(socket);
        socket.on('error', () => undefined).resume();
        socket.on('close', () => {
          this.closedLinks += 1;
          resolve();
        });
      });
    });
  }

  async listen(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const address = this.server.address();
    return address && typeof address === 'object' ? address.port : 0;
  }

  /** Sends the first pieces of a large message, at intervals. */
  async sendPieces(count: number, intervalMs: number): Promise<void> {
    const frame = encodeFrame({ type: 'reply', row: 'x'.repeat(MESSAGE_BYTES) });
    for (let index = 0; index < count; index += 1) {
      const piece = frame.subarray(index * PIECE_BYTES, (index + 1) * PIECE_BYTES);
      this.sockets.forEach((socket) => socket.write(piece));
      await wait(intervalMs);
    }
  }

  countClosed(): number {
    return this.closedLinks;
  }

  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }
}
