import { ByteCollector } from '@shallotpick/core';
import { LinkProtocolError } from './errors.js';

const LENGTH_BYTES = 4;
/** Larger than the largest message of a caller or an instance, which is 1 MiB, once quoted. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;

/**
 * Encodes a message: its length in 4 bytes, big-endian, then its JSON text in UTF-8.
 *
 * @throws LinkProtocolError when the message is larger than a reader accepts.
 */
export function encodeFrame(message: unknown): Buffer {
  const body = Buffer.from(JSON.stringify(message));
  if (body.length > MAX_FRAME_BYTES) {
    throw new LinkProtocolError(`a message of ${body.length} bytes is too large`);
  }
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

function toBuffer({ buffer, byteOffset, length }: Uint8Array): Buffer {
  return Buffer.from(buffer, byteOffset, length);
}

/** Splits the bytes of a link into frames and parses their JSON; its work is linear in them. */
export class FrameReader {
  private readonly bytes = new ByteCollector();

  /** Length of the message that was read last. */
  lastLength = 0;

  /** Bytes that were copied so far; a measure of the work. */
  get copiedBytes(): number {
    return this.bytes.copiedBytes;
  }

  /** True when a frame has begun that is not complete. */
  isInFrame(): boolean {
    return this.bytes.length > 0;
  }

  /** Returns the bytes of memory that an incomplete frame holds. */
  countHeld(): number {
    return this.bytes.countHeld();
  }

  add(chunk: Buffer): void {
    this.bytes.add(chunk);
  }

  /**
   * Returns the next complete message; undefined when none is complete.
   *
   * @throws LinkProtocolError when the frame is too large or holds no JSON.
   */
  read(): unknown {
    const { bytes } = this;
    if (bytes.length < LENGTH_BYTES) return this.waitForMore();
    const size = toBuffer(bytes.show(LENGTH_BYTES)).readUInt32BE();
    if (size > MAX_FRAME_BYTES) {
      throw new LinkProtocolError(`a frame of ${size} bytes is too large`);
    }
    const end = LENGTH_BYTES + size;
    if (bytes.length < end) return this.waitForMore();
    const text = toBuffer(bytes.take(end)).toString('utf8', LENGTH_BYTES);
    this.lastLength = size;
    try {
      return JSON.parse(text) as unknown;
    } catch (cause) {
      throw new LinkProtocolError('a frame holds no JSON', { cause });
    }
  }

  /** Keeps only the beginning of the next frame. */
  private waitForMore(): undefined {
    this.bytes.release();
    return undefined;
  }
}
