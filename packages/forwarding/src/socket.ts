import type { Socket } from 'node:net';
import type { ClientGuard, ClientWatch } from '@shallotpick/engine';
import { encodeFrame, FrameReader, MAX_FRAME_BYTES } from './frame.js';

/** Bytes that may wait for a peer; more than a message of the largest size. */
const MAX_UNSENT_BYTES = 2 * MAX_FRAME_BYTES;

/** Bytes that wait for a peer which should get no new work. */
const CONGESTED_BYTES = 2 * 1024 * 1024;

/** Receives the messages of a link. */
export interface MessageHandler {
  /** `bytes` is the length of the message. An exception closes the link. */
  handleMessage(message: unknown, bytes: number): void;
  handleClose(reason: string): void;
}

/** A socket that carries messages. A malformed one closes the link and nothing else. */
export class MessageSocket {
  private readonly reader = new FrameReader();

  readonly watch: ClientWatch;

  private isClosed = false;

  constructor(
    private readonly socket: Socket,
    private readonly handler: MessageHandler,
    private readonly guard: ClientGuard,
  ) {
    this.watch = guard.watch(() => this.close('a limit for connections was reached'), true);
    socket.setNoDelay(true);
    socket.on('data', (chunk) => this.handleData(chunk));
    socket.on('error', (error) => this.close(error.message));
    socket.on('close', () => this.close('closed by the peer'));
  }

  /** Closes the link when no first message arrives in time. */
  requireMessage(): void {
    this.watch.startWait('first message');
  }

  /**
   * Sends a message; false when the peer reads too slowly and no more should be sent.
   *
   * @throws LinkProtocolError when the message is larger than a peer accepts.
   */
  send(message: unknown): boolean {
    if (this.isClosed) return true;
    const { socket } = this;
    const frame = encodeFrame(message);
    if (socket.writableLength > 0 && socket.writableLength + frame.length > MAX_UNSENT_BYTES) {
      this.guard.report('slow link');
      this.close('the peer reads too slowly');
      return true;
    }
    const isTaken = socket.write(frame, () => this.handleTaken());
    this.update();
    return isTaken;
  }

  /** True when the peer reads so slowly that it should get no new work. */
  isCongested(): boolean {
    return this.socket.writableLength > CONGESTED_BYTES;
  }

  /** Stops reading until the peer is known; what it sends meanwhile stays with it. */
  pauseUntil(settled: Promise<unknown>): void {
    this.socket.pause();
    settled
      .finally(() => {
        this.socket.resume();
        this.update();
      })
      .catch(() => undefined);
  }

  /** Stops reading until the peer has read what was sent to it. */
  pauseUntilDrained(): void {
    if (this.socket.isPaused()) return;
    this.watch.endWait('end of message');
    this.socket.pause();
    this.socket.once('drain', () => {
      this.socket.resume();
      this.update();
    });
  }

  close(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.watch.close();
    this.socket.destroy();
    this.handler.handleClose(reason);
  }

  private handleData(chunk: Buffer): void {
    this.reader.add(chunk);
    try {
      for (let message = this.reader.read(); message !== undefined; message = this.reader.read()) {
        if (this.isClosed) return;
        this.watch.endWait('first message');
        this.watch.endWait('end of message');
        this.handler.handleMessage(message, this.reader.lastLength);
      }
    } catch (error) {
      this.close(String(error));
    }
    this.update();
  }

  /** The peer has taken a message; the time for the next one starts. */
  private handleTaken(): void {
    this.watch.endWait('taking of answer');
    this.update();
  }

  /** Counts what the link holds, and what it waits for. */
  private update(): void {
    if (this.isClosed) return;
    const { socket, reader, watch } = this;
    if (reader.isInFrame() && !socket.isPaused()) watch.startWait('end of message');
    if (socket.writableLength > 0) watch.startWait('taking of answer');
    else watch.endWait('taking of answer');
    watch.memory.updateBuffered(reader.countHeld() + socket.writableLength);
  }
}
