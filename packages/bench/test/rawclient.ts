import { connect, type Socket } from 'node:net';
import {
  BACKEND,
  FrameReader,
  parseErrorFields,
  parseQuery,
  parseDataRow,
  serialize,
} from '@shallotpick/wire';

/** A client that sends and receives single protocol messages; answers are short texts. */
export class RawClient {
  key: readonly [number, number] = [0, 0];

  closed = false;

  private readonly reader = new FrameReader(true);

  private readonly answers: string[] = [];

  private wake = (): void => {};

  private constructor(
    readonly socket: Socket,
    readonly port: number,
  ) {
    socket.on('data', (chunk) => this.handleData(chunk));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.closed = true;
      this.wake();
    });
  }

  static async open(port: number, database: string): Promise<RawClient> {
    const client = new RawClient(connect({ host: '127.0.0.1', port }), port);
    client.send(serialize.startup({ user: 'guest', database }));
    await client.readUntil('Z');
    return client;
  }

  send(...messages: readonly Buffer[]): void {
    this.socket.write(Buffer.concat(messages));
  }

  /** Sends a Query message and returns the answers up to ReadyForQuery. */
  async query(text: string): Promise<readonly string[]> {
    this.send(serialize.query(text));
    return this.readUntil('Z');
  }

  /** Returns the answers up to and including the first that starts with `end`. */
  async readUntil(end: string): Promise<readonly string[]> {
    for (;;) {
      const index = this.answers.findIndex((answer) => answer.startsWith(end));
      if (index >= 0) return this.answers.splice(0, index + 1);
      if (this.closed) return [...this.answers.splice(0), 'closed'];
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
  }

  /** Sends a cancel request over a separate connection. */
  async cancel(): Promise<void> {
    const socket = connect({ host: '127.0.0.1', port: this.port });
    socket.end(serialize.cancel(...this.key));
    socket.resume();
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
  }

  private handleData(chunk: Buffer): void {
    this.reader.add(chunk);
    for (let frame = this.reader.read(); frame; frame = this.reader.read()) {
      const { type, body } = frame;
      const letter = String.fromCharCode(type);
      if (type === BACKEND.backendKeyData) this.key = [body.readInt32BE(0), body.readInt32BE(4)];
      if (type === BACKEND.error) this.answers.push(`E ${parseErrorFields(body).get('C')}`);
      else if (type === BACKEND.commandComplete) this.answers.push(`C ${parseQuery(body)}`);
      else if (type === BACKEND.dataRow) this.answers.push(`D ${parseDataRow(body).join()}`);
      else if (type === BACKEND.readyForQuery) this.answers.push(`Z ${body.toString()}`);
      else if (type !== BACKEND.parameterStatus) this.answers.push(letter);
    }
    this.wake();
  }
}
