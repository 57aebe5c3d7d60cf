/** Chunks from this length on are kept as they are. */
const MIN_KEPT_BYTES = 4 * 1024;
const MAX_BLOCK_BYTES = 64 * 1024;

const EMPTY: Uint8Array = new Uint8Array(0);

/**
 * Collects a stream of bytes until a part of it is complete. Its work and its memory are linear in
 * the number of bytes, however small the chunks: small ones are copied together into blocks, and
 * nothing is moved while bytes arrive.
 */
export class ByteCollector {
  /** Number of bytes that were added and not taken. */
  length = 0;

  /** Bytes that were copied so far; a measure of the work. */
  copiedBytes = 0;

  private parts: Uint8Array[] = [];

  /** Bytes of memory that the parts occupy. */
  private partBytes = 0;

  /** The block that small chunks are copied into, after the parts. */
  private block: Uint8Array = EMPTY;

  private blockLength = 0;

  /** Returns the bytes of memory that are held. */
  countHeld(): number {
    return this.partBytes + this.block.length;
  }

  /**
   * Adds a chunk, which must not change later. No memory is set aside for more than `expected`
   * bytes together.
   */
  add(chunk: Uint8Array, expected = Infinity): void {
    this.length += chunk.length;
    // A small piece of a large buffer would keep all of it in memory.
    const isWhole = 2 * chunk.length >= chunk.buffer.byteLength;
    if (isWhole && chunk.length >= MIN_KEPT_BYTES) {
      this.closeBlock();
      this.addPart(chunk);
    } else {
      this.append(chunk, expected);
    }
  }

  /** Returns the first `count` bytes, without taking them. */
  show(count: number): Uint8Array {
    const [first] = this.parts;
    if (first && first.length >= count) return first.subarray(0, count);
    this.closeBlock();
    if (this.parts.length > 1) this.merge();
    return this.parts[0]?.subarray(0, count) ?? EMPTY;
  }

  /** Removes and returns the first `count` bytes. */
  take(count: number): Uint8Array {
    const taken = this.show(count);
    const [first = EMPTY, ...others] = this.parts;
    const rest = first.subarray(count);
    this.parts = rest.length > 0 ? [rest, ...others] : others;
    this.partBytes = this.parts.reduce((sum, { buffer }) => sum + buffer.byteLength, 0);
    this.length -= taken.length;
    return taken;
  }

  /** Removes and returns all bytes, in pieces. */
  takeAll(): readonly Uint8Array[] {
    this.closeBlock();
    const { parts } = this;
    this.parts = [];
    this.partBytes = 0;
    this.length = 0;
    return parts;
  }

  /** Copies what is left of a larger buffer, so that the buffer can be released. */
  release(): void {
    const [first] = this.parts;
    if (this.parts.length !== 1 || !first || this.blockLength > 0) return;
    if (2 * first.length >= first.buffer.byteLength) return;
    this.parts = [];
    this.partBytes = 0;
    this.append(first, this.length);
  }

  private addPart(part: Uint8Array): void {
    this.parts.push(part);
    this.partBytes += part.buffer.byteLength;
  }

  private append(chunk: Uint8Array, expected: number): void {
    let rest = chunk;
    while (rest.length > 0) {
      if (this.blockLength === this.block.length) this.openBlock(rest.length, expected);
      const piece = rest.subarray(0, this.block.length - this.blockLength);
      this.block.set(piece, this.blockLength);
      this.blockLength += piece.length;
      this.copiedBytes += piece.length;
      rest = rest.subarray(piece.length);
    }
  }

  /** Opens a block that is about as large as what is held already. */
  private openBlock(neededBytes: number, expected: number): void {
    this.closeBlock();
    const heldBytes = this.length - neededBytes;
    const wanted = Math.max(neededBytes, Math.min(heldBytes, expected - heldBytes));
    this.block = new Uint8Array(Math.min(MAX_BLOCK_BYTES, wanted));
  }

  private closeBlock(): void {
    if (this.blockLength > 0) this.addPart(this.block.subarray(0, this.blockLength));
    this.block = EMPTY;
    this.blockLength = 0;
  }

  private merge(): void {
    const merged = new Uint8Array(this.length);
    let end = 0;
    this.parts.forEach((part) => {
      merged.set(part, end);
      end += part.length;
    });
    this.copiedBytes += end;
    this.parts = [merged];
    this.partBytes = end;
  }
}
