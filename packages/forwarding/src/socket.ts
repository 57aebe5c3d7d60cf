import type { Socket } from 'node:net';
import { encodeFrame, FrameReader } from './frame.js';

/** Receives the messages of a link. */
export interface MessageHandler {
  /** An exception closes the link. */
  handleMessage(message: unknown): void;
  handleClose(reason: string): void;
}

/** A socket that carries messages. A malformed one closes the link and nothing else. */
export class MessageSocket {
  private readonly reader = new FrameReader();

  private isClosed = false;

  constructor(
    private readonly socket: Socket,
    private readonly handler: MessageHandler,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (chunk) => this.handleData(chunk));
    socket.on('error', (error) => this.close(error.message));
    socket.on('close', () => this.close('closed by the peer'));
  }

  /** Sends a message; false when the peer reads too slowly and no more should be sent. */
  send(message: unknown): boolean {
    if (this.isClosed) return true;
    return this.socket.write(encodeFrame(message));
  }

  /** Stops reading until the peer has read what was sent to it. */
  pauseUntilDrained(): void {
    if (this.socket.isPaused()) return;
    this.socket.pause();
    this.socket.once('drain', () => this.socket.resume());
  }

  close(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.socket.destroy();
    this.handler.handleClose(reason);
  }

  private handleData(chunk: Buffer): void {
    this.reader.add(chunk);
    try {
      for (let message = this.reader.read(); message !== undefined; message = this.reader.read()) {
        if (this.isClosed) return;
        this.handler.handleMessage(message);
      }
    } catch (error) {
      this.close(String(error));
    }
  }
}
