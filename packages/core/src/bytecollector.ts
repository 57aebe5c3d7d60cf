const EMPTY: Uint8Array = new Uint8Array(0);

/**
 * Collects a stream of bytes until a part of it is complete. Its work and its memory are linear in
 * the number of bytes, however small the chunks.
 */
export class ByteCollector {
  /** Bytes that were copied so far; a measure of the work. */
  copiedBytes = 0;

  private buffer: Uint8Array = EMPTY;

  private start = 0;

  private end = 0;

  /** Number of bytes that were added and not taken. */
  get length(): number {
    return this.end - this.start;
  }

  /** Returns the bytes of memory that are held. */
  countHeld(): number {
    return this.buffer.length;
  }

  /**
   * Adds a chunk. The first one is kept without a copy, so that it must not change later. No memory
   * is set aside for more than `expected` bytes.
   */
  add(chunk: Uint8Array, expected = Infinity): void {
    if (this.length === 0) {
      this.buffer = chunk;
      this.start = 0;
      this.end = chunk.length;
      return;
    }
    if (this.end + chunk.length > this.buffer.length) {
      const needed = this.length + chunk.length;
      this.move(Math.max(needed, Math.min(2 * this.length, expected)));
    }
    this.buffer.set(chunk, this.end);
    this.copiedBytes += chunk.length;
    this.end += chunk.length;
  }

  /** Returns the index of a byte at or after `from`; -1 when there is none. */
  findByte(value: number, from: number): number {
    const index = this.buffer.subarray(0, this.end).indexOf(value, this.start + from);
    return index < 0 ? -1 : index - this.start;
  }

  /** Returns the first `count` bytes, without taking them. */
  show(count: number): Uint8Array {
    return this.buffer.subarray(this.start, this.start + count);
  }

  /** Removes the first `count` bytes. */
  drop(count: number): void {
    this.start += count;
  }

  /** Releases memory that is larger than what is left in it. */
  compact(): void {
    if (this.length > 0) {
      if (this.start > this.length) this.move(this.length);
      return;
    }
    this.buffer = EMPTY;
    this.start = 0;
    this.end = 0;
  }

  /** Moves the bytes to memory of their own. */
  private move(capacity: number): void {
    const next = new Uint8Array(capacity);
    next.set(this.buffer.subarray(this.start, this.end));
    this.copiedBytes += this.length;
    this.end = this.length;
    this.start = 0;
    this.buffer = next;
  }
}
