import { ByteCollector } from '@shallotpick/core';
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

function toBuffer({ buffer, byteOffset, length }: Uint8Array): Buffer {
  return Buffer.from(buffer, byteOffset, length);
}

/** Splits a byte stream into PostgreSQL messages; its work is linear in the bytes. */
export class FrameReader {
  private readonly bytes = new ByteCollector();

  /** Length of the message that has begun; 0 when it is not known. */
  private neededBytes = 0;

  constructor(
    private typed: boolean,
    private maxBytes: number = MAX_MESSAGE_BYTES,
  ) {}

  /** Bytes that were copied so far; a measure of the work. */
  get copiedBytes(): number {
    return this.bytes.copiedBytes;
  }

  /** True when a message has begun that is not complete. */
  isInMessage(): boolean {
    return this.bytes.length > 0;
  }

  /** Returns the bytes of memory that an incomplete message holds. */
  countHeld(): number {
    return this.bytes.countHeld();
  }

  /** Switches from the untyped startup phase to typed messages. */
  startTyped(maxBytes: number = MAX_MESSAGE_BYTES): void {
    this.typed = true;
    this.maxBytes = maxBytes;
    this.neededBytes = 0;
  }

  /** Buffers received bytes; `read` returns the complete messages. */
  add(chunk: Buffer): void {
    this.bytes.add(chunk, this.neededBytes || undefined);
  }

  /**
   * Removes and returns the next complete message; undefined until one is buffered.
   *
   * @throws ProtocolError when the length field is invalid or over the limit.
   */
  read(): Frame | undefined {
    const { bytes } = this;
    const header = this.typed ? TYPED_HEADER_BYTES : UNTYPED_HEADER_BYTES;
    if (bytes.length < Math.max(header, this.neededBytes)) return this.waitForMore();
    const length = toBuffer(bytes.show(header)).readInt32BE(header - LENGTH_BYTES);
    if (length < LENGTH_BYTES || length > this.maxBytes) {
      throw new ProtocolError(`message length ${length} is outside 4 to ${this.maxBytes} bytes`);
    }
    const total = header - LENGTH_BYTES + length;
    if (bytes.length < total) {
      this.neededBytes = total;
      return this.waitForMore();
    }
    const raw = toBuffer(bytes.take(total));
    this.neededBytes = 0;
    return { type: this.typed ? (raw[0] ?? 0) : 0, body: raw.subarray(header), raw };
  }

  /** Removes and returns the buffered bytes, for a switch of protocol. */
  drain(): Buffer {
    return toBuffer(this.bytes.take(this.bytes.length));
  }

  /** Keeps only the beginning of the next message. */
  private waitForMore(): undefined {
    this.bytes.release();
    return undefined;
  }
}
