import { expect } from 'earl';
import * as fc from 'fast-check';
import {
  decodeEntryMessage,
  decodeHomeMessage,
  encodeFrame,
  FrameReader,
  LINK_VERSION,
  LinkProtocolError,
  MAX_FRAME_BYTES,
} from '../src/index.js';

const SEED = 24;
const MIB = 1024 * 1024;
const PIECE_BYTES = 100;
/** Each byte is copied into a block and, once complete, into one piece. */
const MAX_COPIES = 4;
const DEEP_LEVELS = 200_000;

/** Runs `decode` and returns its result; any error but LinkProtocolError is rethrown. */
function tryDecode(decode: () => unknown): unknown {
  try {
    return decode();
  } catch (error) {
    if (error instanceof LinkProtocolError) return 'refused';
    throw error;
  }
}

function readAll(reader: FrameReader): readonly unknown[] {
  const messages: unknown[] = [];
  for (let next = reader.read(); next !== undefined; next = reader.read()) messages.push(next);
  return messages;
}

describe('the frames of a link', () => {
  it('arrive whole, however the bytes are cut', () => {
    const message = fc.record(
      { type: fc.string(), rows: fc.array(fc.string()) },
      { noNullPrototype: true },
    );
    const property = fc.property(
      fc.array(message),
      fc.integer({ min: 1, max: 40 }),
      (all, size) => {
        const bytes = Buffer.concat(all.map((one) => encodeFrame(one)));
        const reader = new FrameReader();
        const read: unknown[] = [];
        for (let at = 0; at < bytes.length; at += size) {
          reader.add(bytes.subarray(at, at + size));
          read.push(...readAll(reader));
        }
        expect(read).toEqual(all);
      },
    );
    fc.assert(property, { seed: SEED });
  });

  // One malformed frame must end its link with a known error and not the process.
  // All chunks were merged again with each one, which took a time of the length squared.
  it('are read with work in proportion to their length, in small pieces', () => {
    const reader = new FrameReader();
    const frame = encodeFrame('x'.repeat(MIB));
    for (let start = 0; start < frame.length; start += PIECE_BYTES) {
      expect(reader.read()).toEqual(undefined);
      reader.add(Buffer.from(frame.subarray(start, start + PIECE_BYTES)));
    }
    expect(reader.read()).toEqual('x'.repeat(MIB));
    expect(reader.copiedBytes).toBeLessThanOrEqual(MAX_COPIES * frame.length);
  });

  it('refuse malformed bytes with a protocol error only', () => {
    const property = fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      const reader = new FrameReader();
      reader.add(Buffer.from(bytes));
      tryDecode(() => readAll(reader));
    });
    fc.assert(property, { seed: SEED, numRuns: 500 });
  });

  it('refuse a length beyond the limit before its bytes arrive', () => {
    const reader = new FrameReader();
    const header = Buffer.alloc(4);
    header.writeUInt32BE(MAX_FRAME_BYTES + 1);
    reader.add(header);
    expect(() => reader.read()).toThrow(LinkProtocolError);
  });
});

describe('the messages of a link', () => {
  it('are decoded or refused, whatever a peer sends', () => {
    const types = fc.constantFrom(
      'hello',
      'admit',
      'run',
      'busy',
      'granted',
      'reply',
      'status',
      'permits',
      'issued',
    );
    const almost = fc.dictionary(fc.constantFrom('lease', 'group', 'reply', 'vm'), fc.jsonValue());
    const property = fc.property(fc.jsonValue(), types, almost, (any, type, fields) => {
      [any, { ...fields, type }].forEach((message) => {
        tryDecode(() => decodeEntryMessage(message));
        tryDecode(() => decodeHomeMessage(message));
      });
    });
    fc.assert(property, { seed: SEED, numRuns: 500 });
  });

  // A name of 1 MB went into log lines and into a path of the store; a position of 1e300 was passed
  // on to instances as a text that is none.
  it('are refused when they are too deep, too long or have numbers out of range', () => {
    const deep: unknown = JSON.parse('['.repeat(DEEP_LEVELS) + ']'.repeat(DEEP_LEVELS));
    const hello = { type: 'hello', version: LINK_VERSION, vm: 'vm-1' };
    const run = { type: 'run', lease: 1, operation: { kind: 'commit' } };
    const odd = [
      ...[deep, { ...hello, vm: deep }, { ...hello, version: deep }, { ...run, session: deep }],
      { ...hello, vm: 'x'.repeat(1_000_000) },
      ...[1e300, -1, 0.5].map((offset) => ({ ...run, after: { term: 1, offset } })),
    ];
    const results = odd.map((message) => tryDecode(() => decodeEntryMessage(message)));
    expect(results).toEqual(odd.map(() => 'refused'));
    expect<unknown>(decodeEntryMessage({ ...hello, extra: deep })).toEqual(hello);
  });

  it('keep their content when they ask for permits and answer', () => {
    const copy = {
      ...{ term: 2.5, sequence: 3, ageMs: 20 },
      accounts: { o: [4, 0, 2] },
    };
    const permits = {
      ...{ type: 'permits', number: 1 },
      request: {
        ...{ part: 1, uptimeMs: 9, confirmed: { term: 2.5, sequence: 3 }, copy },
        echo: { run: 'r', sentAt: 5.5 },
        wanted: [{ organisation: 'o', count: 2 }],
        returned: [{ organisation: 'o', count: 1, interval: 7 }],
      },
    };
    const issued = {
      ...{ type: 'issued', number: 1 },
      answer: {
        ...{ run: 'r', sentAt: 6.5, isLending: true, isReleased: false, copy },
        granted: [{ organisation: 'o', count: 2, interval: 8, isLimited: false }],
      },
    };
    expect<unknown>(decodeEntryMessage(permits)).toEqual(permits);
    expect<unknown>(decodeHomeMessage(issued)).toEqual(issued);
  });

  it('keep their content', () => {
    const run = {
      ...{ type: 'run', lease: 7, id: 'r1', operation: { kind: 'execute', name: 's', rest: 'a' } },
      after: { term: 2, offset: 9 },
      session: {
        variables: [['x', 'y']],
        prepared: { name: 's', access: 'read', shape: 'q' },
      },
    };
    expect<unknown>(decodeEntryMessage(run)).toEqual(run);
  });
});
