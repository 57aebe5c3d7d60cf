import * as fc from 'fast-check';
import { match } from 'ts-pattern';
import { encodeJson, RawItem, RawJson } from './rawjson.js';

/** Nesting that overflows the stack of a recursive walk. */
const MAX_LEVELS = 200_000;
/** As many nested objects as the store takes in one value. */
const MAX_OBJECT_LEVELS = 150_000;
/** Nesting beyond what any entry of an instance has. */
const MIN_LEVELS = 40;
const MAX_LENGTH = 200_000;
const MIN_LENGTH = 300;
const FIRST_INVALID_BYTE = 0x80;
const LAST_BYTE = 0xff;

/** A value that an odd entry holds, small enough to be printed and shrunk. */
export type OddValue =
  | { readonly kind: 'json'; readonly text: string }
  | { readonly kind: 'missing' }
  | { readonly kind: 'nested'; readonly levels: number; readonly isObject: boolean }
  | { readonly kind: 'long'; readonly length: number }
  | { readonly kind: 'bytes'; readonly bytes: readonly number[] };

/** An entry that names no instance or VM, and the part of it that is odd. */
export interface OddEntryShape {
  /** `item`, `meta`, `revision`, `spec`, or a field of the content. */
  readonly place: string;
  readonly value: OddValue;
}

/** Content of an entry as its usual writers write it. */
export type EntryContent = Readonly<Record<string, unknown>>;

const toJson = (...texts: string[]): OddValue[] => texts.map((text) => ({ kind: 'json', text }));
const toText = (...values: string[]): OddValue[] =>
  toJson(...values.map((value) => JSON.stringify(value)));

const MISSING: OddValue = { kind: 'missing' };
const NO_OBJECT = toJson('null', 'true', '7', '"text"', '[]', '{}');
const NO_TEXT = toJson('null', 'true', '7', '[]', '{}');
const NO_NUMBER = toJson('null', 'true', '"7"', '[]', '{}');
const NO_COUNT = [...NO_NUMBER, ...toJson('1e300', '1e999', '0.5', '9007199254740993')];
const NO_WORD = toText('', 'a b', 'a\r\nQUERY', '\u0000');
const NO_CHOICE = [...NO_TEXT, ...toText('', 'sleeping', 'READY')];
const NO_PORT = toText(
  '10.0.0.1',
  ...['0', '65536', '99999', '-1', ''].map((p) => `10.0.0.1:${p}`),
);
const NO_HOST = toText(':80', '256.0.0.1:80', '0.0.0.0:80', 'a b:80', `${'x'.repeat(254)}:80`);

/** Values by the part of an entry that they make odd. */
type OddValues = Readonly<Record<string, readonly OddValue[]>>;

const ANY_ENTRY: OddValues = {
  item: NO_OBJECT,
  meta: NO_OBJECT,
  revision: [MISSING, ...NO_COUNT],
  spec: [MISSING, ...NO_OBJECT],
};

const ODD_INSTANCE: OddValues = {
  ...ANY_ENTRY,
  service: [MISSING, ...NO_TEXT, ...NO_WORD],
  addr: [MISSING, ...NO_TEXT, ...NO_PORT, ...NO_HOST],
  zone: [MISSING, ...NO_TEXT],
  slots: [MISSING, ...NO_COUNT, ...toJson('-1', '0', '1001')],
  state: [MISSING, ...NO_CHOICE],
  db_role: [MISSING, ...NO_CHOICE],
  born: [...NO_COUNT, ...toJson('-1', '9007199254740991')],
  version: [MISSING, ...NO_TEXT],
  cold_left_ms: [MISSING, ...NO_NUMBER],
  sequence: [MISSING, ...NO_COUNT, ...toJson('-1')],
};

const ODD_HEARTBEAT: OddValues = {
  ...ANY_ENTRY,
  beat: [MISSING, ...NO_COUNT, ...toJson('-1', '9007199254740991')],
  startedAt: [MISSING, ...NO_COUNT, ...toJson('-1', '9007199254740991')],
  zone: [MISSING, ...NO_TEXT],
  host: [MISSING, ...NO_TEXT, ...toText('', 'a b', '256.0.0.1', '::x')],
  port: [MISSING, ...NO_COUNT, ...toJson('-1', '0', '65536', '99999')],
};

const nested = fc.record(
  {
    kind: fc.constant('nested' as const),
    levels: fc.integer({ min: MIN_LEVELS, max: MAX_LEVELS }),
    isObject: fc.boolean(),
  },
  { noNullPrototype: true },
);
const long = fc.record(
  { kind: fc.constant('long' as const), length: fc.integer({ min: MIN_LENGTH, max: MAX_LENGTH }) },
  { noNullPrototype: true },
);
const bytes = fc.record(
  {
    kind: fc.constant('bytes' as const),
    bytes: fc.array(fc.integer({ min: FIRST_INVALID_BYTE, max: LAST_BYTE }), {
      minLength: 1,
      maxLength: 1,
    }),
  },
  { noNullPrototype: true },
);

/** Draws listed values, and for any part values that are nested, long or no UTF-8. */
function createArbitrary(values: OddValues): fc.Arbitrary<OddEntryShape> {
  const listed = Object.entries(values).flatMap(([place, all]) =>
    all.map((value): OddEntryShape => ({ place, value })),
  );
  const drawn = fc.record(
    {
      place: fc.constantFrom(...Object.keys(values)),
      value: fc.oneof(nested, long, bytes),
    },
    { noNullPrototype: true },
  );
  return fc.oneof(fc.constantFrom(...listed), drawn);
}

/** Draws entries that name no instance. */
export const oddInstanceArbitrary = createArbitrary(ODD_INSTANCE);

/** Draws heartbeats that name no VM. */
export const oddHeartbeatArbitrary = createArbitrary(ODD_HEARTBEAT);

function encodeNested(levels: number, isObject: boolean): Buffer {
  if (!isObject) return Buffer.from('['.repeat(levels) + ']'.repeat(levels));
  const count = Math.min(levels, MAX_OBJECT_LEVELS);
  return Buffer.from(`${'{"a":'.repeat(count)}1${'}'.repeat(count)}`);
}

function encodeValue(value: OddValue): Buffer | undefined {
  const quote = Buffer.from('"');
  return match(value)
    .with({ kind: 'json' }, ({ text }) => Buffer.from(text))
    .with({ kind: 'missing' }, () => undefined)
    .with({ kind: 'nested' }, ({ levels, isObject }) => encodeNested(levels, isObject))
    .with({ kind: 'long' }, ({ length }) => Buffer.from(`"${'x'.repeat(length)}"`))
    .with({ kind: 'bytes' }, ({ bytes: invalid }) =>
      Buffer.concat([quote, Buffer.from(invalid), quote]),
    )
    .exhaustive();
}

/**
 * Encodes an odd entry: as content that the store gives metadata, or as a whole item of its lists.
 *
 * @param content the entry without what makes it odd
 */
export function encodeOddEntry(
  { place, value }: OddEntryShape,
  name: string,
  content: EntryContent,
): unknown {
  const encoded = encodeValue(value);
  const raw = encoded && new RawJson(encoded);
  if (place === 'item') return new RawItem(encoded ?? Buffer.from('null'));
  if (place === 'meta') return new RawItem(encodeJson({ meta: raw, spec: content }));
  if (place === 'revision') {
    return new RawItem(encodeJson({ meta: { name, revision: raw }, spec: content }));
  }
  return place === 'spec' ? raw : { ...content, [place]: raw };
}
