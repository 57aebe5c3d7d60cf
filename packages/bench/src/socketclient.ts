import { connect, type Socket } from 'node:net';
import { BACKEND, FrameReader, parseErrorFields, serialize } from '@shallotpick/wire';

/** Result of a statement: the SQLSTATE of its error, if any, and its duration. */
export interface StatementResult {
  readonly code: string | undefined;
  readonly tookMs: number;
}

/** A session over a bare socket, which avoids the cost of a driver. */
export class SocketClient {
  private readonly reader = new FrameReader(true);

  private code: string | undefined;

  private finish: ((code: string | undefined) => void) | undefined;

  private constructor(private readonly socket: Socket) {
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => this.finish?.('closed'));
    socket.on('data', (chunk) => this.handleData(chunk));
  }

  static async open(port: number, user: string, database: string): Promise<SocketClient> {
    const client = new SocketClient(connect({ host: '127.0.0.1', port }));
    await client.send(serialize.startup({ user, database }));
    return client;
  }

  /** Runs a statement; the next may start only after this one has ended. */
  async run(text: string): Promise<StatementResult> {
    const startedAt = performance.now();
    const code = await this.send(serialize.query(text));
    return { code, tookMs: performance.now() - startedAt };
  }

  close(): void {
    this.socket.destroy();
  }

  private async send(bytes: Buffer): Promise<string | undefined> {
    this.code = undefined;
    return new Promise((resolve) => {
      this.finish = resolve;
      this.socket.write(bytes);
    });
  }

  private handleData(chunk: Buffer): void {
    this.reader.add(chunk);
    for (let frame = this.reader.read(); frame; frame = this.reader.read()) {
      if (frame.type === BACKEND.error) this.code ??= parseErrorFields(frame.body).get('C');
      if (frame.type !== BACKEND.readyForQuery) continue;
      const { finish } = this;
      this.finish = undefined;
      finish?.(this.code);
    }
  }
}
