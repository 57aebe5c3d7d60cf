import { LinkProtocolError } from './errors.js';

const LENGTH_BYTES = 4;
/** Larger than the largest message of a caller or an instance, which is 1 MiB, once quoted. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;

/** Encodes a message: its length in 4 bytes, big-endian, then its JSON text in UTF-8. */
export function encodeFrame(message: unknown): Buffer {
  const body = Buffer.from(JSON.stringify(message));
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Splits the bytes of a link into frames and parses their JSON. */
export class FrameReader {
  private chunks: Buffer[] = [];

  private length = 0;

  add(chunk: Buffer): void {
    this.chunks.push(chunk);
    this.length += chunk.length;
  }

  /**
   * Returns the next complete message; undefined when none is complete.
   *
   * @throws LinkProtocolError when the frame is too large or holds no JSON.
   */
  read(): unknown {
    if (this.length < LENGTH_BYTES) return undefined;
    const bytes = this.merge();
    const size = bytes.readUInt32BE();
    if (size > MAX_FRAME_BYTES) {
      throw new LinkProtocolError(`a frame of ${size} bytes is too large`);
    }
    const end = LENGTH_BYTES + size;
    if (bytes.length < end) return undefined;
    this.chunks = [bytes.subarray(end)];
    this.length = bytes.length - end;
    try {
      return JSON.parse(bytes.toString('utf8', LENGTH_BYTES, end)) as unknown;
    } catch (cause) {
      throw new LinkProtocolError('a frame holds no JSON', { cause });
    }
  }

  private merge(): Buffer {
    const [first] = this.chunks;
    if (this.chunks.length === 1 && first) return first;
    const merged = Buffer.concat(this.chunks);
    this.chunks = [merged];
    return merged;
  }
}
