import { ProtocolError } from './errors.js';

/** One message: its type byte, its body, and the bytes as they came. */
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

/** Cuts a byte stream into PostgreSQL messages. */
export class FrameReader {
  private chunks: Buffer[] = [];

  private held = 0;

  private needed = 0;

  constructor(
    private typed: boolean,
    private maxBytes: number = MAX_MESSAGE_BYTES,
  ) {}

  /** Switches from the untyped startup phase to typed messages. */
  startTyped(maxBytes: number = MAX_MESSAGE_BYTES): void {
    this.typed = true;
    this.maxBytes = maxBytes;
    this.needed = 0;
  }

  /** Adds bytes; `read` then gives the complete messages. */
  add(chunk: Buffer): void {
    this.chunks.push(chunk);
    this.held += chunk.length;
  }

  /**
   * Takes the next complete message.
   *
   * @throws ProtocolError when the length field is impossible or over the limit.
   */
  read(): Frame | undefined {
    const header = this.typed ? TYPED_HEADER_BYTES : UNTYPED_HEADER_BYTES;
    if (this.held < Math.max(header, this.needed)) return undefined;
    const first = this.mergeChunks();
    const length = first.readInt32BE(header - LENGTH_BYTES);
    if (length < LENGTH_BYTES || length > this.maxBytes) {
      throw new ProtocolError(`message length ${length} is outside 4 to ${this.maxBytes} bytes`);
    }
    const total = header - LENGTH_BYTES + length;
    if (this.held < total) {
      this.needed = total;
      return undefined;
    }
    const raw = first.subarray(0, total);
    this.chunks = first.length > total ? [first.subarray(total)] : [];
    this.held -= total;
    this.needed = 0;
    return { type: this.typed ? (raw[0] ?? 0) : 0, body: raw.subarray(header), raw };
  }

  /** Bytes after the last complete message, for a switch of protocol. */
  drain(): Buffer {
    const rest = this.mergeChunks();
    this.chunks = [];
    this.held = 0;
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
