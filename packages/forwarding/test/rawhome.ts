import { createServer, type Server, type Socket } from 'node:net';
import { wait } from '@shallotpick/engine';
import { encodeFrame, type EntryMessage, FrameReader, type HomeMessage } from '../src/index.js';

const POLL_MS = 5;
const MAX_POLLS = 600;

/** A home that sends only what the test tells it to send. */
export class RawHome {
  readonly received: EntryMessage[] = [];

  private readonly server: Server;

  private socket: Socket | undefined;

  constructor() {
    this.server = createServer((socket) => this.handleConnection(socket));
  }

  async listen(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const address = this.server.address();
    return address && typeof address === 'object' ? address.port : 0;
  }

  send(message: HomeMessage): void {
    this.socket?.write(encodeFrame(message));
  }

  /** Says that it serves, with the optional parts of the protocol that it knows. */
  sendStatus(features: readonly string[], isDraining = false): void {
    this.send({ type: 'status', isIsolated: false, isDraining, features: [...features] });
  }

  /** Waits until messages of the type have arrived and returns them. */
  async waitFor<T extends EntryMessage['type']>(
    type: T,
    count = 1,
  ): Promise<readonly (EntryMessage & { readonly type: T })[]> {
    for (let polls = 0; polls < MAX_POLLS; polls += 1) {
      const found = this.received.filter(
        (message): message is EntryMessage & { readonly type: T } => message.type === type,
      );
      if (found.length >= count) return found;
      await wait(POLL_MS);
    }
    throw new Error(`no ${type} has arrived`);
  }

  /** Breaks the link. */
  breakLink(): void {
    this.socket?.destroy();
  }

  close(): void {
    this.server.close();
    this.breakLink();
  }

  private handleConnection(socket: Socket): void {
    const reader = new FrameReader();
    this.socket = socket;
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      reader.add(chunk);
      for (let next = reader.read(); next !== undefined; next = reader.read()) {
        this.received.push(next as EntryMessage);
      }
    });
  }
}
