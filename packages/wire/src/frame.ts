import { ProtocolError } from './errors.js';

/** One PostgreSQL message: its type byte, its body and its raw bytes. */
export interface Frame {
  /** ASCII code of the type byte; 0 for the untyped messages of the startup phase. */
  readonly type: number;
  readonly body: Buffer;
  readonly raw: Buffer;
}

const TYPED_HEADER_BYTES = 5;
const UNTYPED_HEADER_BYTES = 4;
const LENGTH_BYTES = 4;

/** Largest startup message; PostgreSQL uses the same limit. */
export const MAX_STARTUP_BYTES = 10_000;
/** Largest message accepted from callers and instances by default. */
export const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** Splits a byte stream into PostgreSQL messages. */
export class FrameReader {
  private chunks: Buffer[] = [];

  private bufferedBytes = 0;

  private neededBytes = 0;

  constructor(
    private typed: boolean,
    private maxBytes: number = MAX_MESSAGE_BYTES,
  ) {}

  /** Switches from the untyped startup phase to typed messages. */
  startTyped(maxBytes: number = MAX_MESSAGE_BYTES): void {
    this.typed = true;
    this.maxBytes = maxBytes;
    this.neededBytes = 0;
  }

  /** Buffers received bytes; `read` returns the complete messages. */
  add(chunk: Buffer): void {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
  }

  /**
   * Removes and returns the next complete message; undefined until one is buffered.
   *
   * @throws ProtocolError when the length field is invalid or over the limit.
   */
  read(): Frame | undefined {
    const header = this.typed ? TYPED_HEADER_BYTES : UNTYPED_HEADER_BYTES;
    if (this.bufferedBytes < Math.max(header, this.neededBytes)) return undefined;
    const first = this.mergeChunks();
    const length = first.readInt32BE(header - LENGTH_BYTES);
    if (length < LENGTH_BYTES || length > this.maxBytes) {
      throw new ProtocolError(`message length ${length} is outside 4 to ${this.maxBytes} bytes`);
    }
    const total = header - LENGTH_BYTES + length;
    if (this.bufferedBytes < total) {
      this.neededBytes = total;
      return undefined;
    }
    const raw = first.subarray(0, total);
    this.chunks = first.length > total ? [first.subarray(total)] : [];
    this.bufferedBytes -= total;
    this.neededBytes = 0;
    return { type: this.typed ? (raw[0] ?? 0) : 0, body: raw.subarray(header), raw };
  }

  /** Removes and returns the buffered bytes, for a switch of protocol. */
  drain(): Buffer {
    const rest = this.mergeChunks();
    this.chunks = [];
    this.bufferedBytes = 0;
    return rest;
  }

  private mergeChunks(): Buffer {
    const [only] = this.chunks;
    if (this.chunks.length === 1 && only) return only;
    const merged = Buffer.concat(this.chunks);
    this.chunks = [merged];
    return merged;
  }
}
