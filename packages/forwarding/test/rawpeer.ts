import { connect, type Socket } from 'node:net';
import { encodeFrame, type EntryMessage, FrameReader, LINK_VERSION } from '../src/index.js';
import type { ForwardedRequest } from '../src/message.js';

const REQUEST: ForwardedRequest = {
  ...{ requestId: 'r', kind: 'write', maxAgeMs: 0, caller: 'caller', remainingMs: 900 },
  ...{ priority: 0, database: 'fresh', excluded: [] },
};

/** A VM that sends only what the test tells it to send. */
export class RawPeer {
  readonly closed: Promise<void>;

  private readonly socket: Socket;

  private readonly reader = new FrameReader();

  private readonly waiting: (() => void)[] = [];

  constructor(vm: string, port: number) {
    this.socket = connect({ host: '127.0.0.1', port });
    this.socket.on('data', (chunk) => this.handleData(chunk)).on('error', () => undefined);
    this.closed = new Promise((resolve) => {
      this.socket.on('close', () => resolve());
    });
    this.send({ type: 'hello', version: LINK_VERSION, vm });
  }

  /** Begins a transaction on a connection of the home. */
  async begin(lease: number): Promise<void> {
    await this.exchange({ type: 'admit', lease, group: 'g', request: REQUEST });
    const operation = { kind: 'begin', isReadOnly: false } as const;
    await this.exchange({ type: 'run', lease, id: 'b', operation });
  }

  send(message: EntryMessage): void {
    this.socket.write(encodeFrame(message));
  }

  close(): void {
    this.socket.destroy();
  }

  /** Sends a message and waits for the next one that is no status. */
  private async exchange(message: EntryMessage): Promise<void> {
    const answered = new Promise<void>((resolve) => {
      this.waiting.push(resolve);
    });
    this.send(message);
    await answered;
  }

  private handleData(chunk: Buffer): void {
    this.reader.add(chunk);
    for (let next = this.reader.read(); next !== undefined; next = this.reader.read()) {
      const { type } = next as { readonly type: string };
      if (type !== 'status') this.waiting.shift()?.();
    }
  }
}
