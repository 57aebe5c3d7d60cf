import { expect } from 'earl';
import { FrameReader, serialize } from '../src/index.js';

const LENGTH = 64 * 1_024;
const HEADER_BYTES = 5;
/** Each byte is copied into a block and, once complete, into one piece. */
const MAX_COPIES = 4;

describe('FrameReader', () => {
  // Each piece was kept as a buffer of its own, which took many times the memory of its bytes.
  [1, 1_400].forEach((size) => {
    it(`takes work and memory in proportion to a message in pieces of ${size} bytes`, () => {
      const reader = new FrameReader(true);
      const message = serialize.query('x'.repeat(LENGTH));
      let frame: ReturnType<FrameReader['read']>;
      for (let start = 0; start < message.length; start += size) {
        expect(frame).toEqual(undefined);
        reader.add(Buffer.from(message.subarray(start, start + size)));
        expect(reader.countHeld() <= message.length).toEqual(true);
        frame = reader.read();
      }
      expect(frame?.body.equals(message.subarray(HEADER_BYTES))).toEqual(true);
      expect(reader.copiedBytes).toBeLessThanOrEqual(MAX_COPIES * message.length);
      expect(reader.isInMessage()).toEqual(false);
    });
  });

  // Guards against a message that changes when later bytes arrive, and against lost bytes.
  it('keeps the messages that it has returned, and the beginning of the next', () => {
    const reader = new FrameReader(true);
    const messages = ['a', 'b'.repeat(100), 'c'].map((text) => serialize.query(text));
    const bytes = Buffer.concat(messages);
    const frames: Buffer[] = [];
    for (let start = 0; start < bytes.length; start += 9) {
      reader.add(Buffer.from(bytes.subarray(start, start + 9)));
      for (let frame = reader.read(); frame; frame = reader.read()) frames.push(frame.raw);
    }
    expect(Buffer.concat(frames).equals(bytes)).toEqual(true);
    reader.add(bytes.subarray(0, 3));
    expect(reader.drain().equals(bytes.subarray(0, 3))).toEqual(true);
    expect(reader.countHeld()).toEqual(0);
  });
});
