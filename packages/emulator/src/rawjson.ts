import { randomUUID } from 'node:crypto';

/** JSON text that is stored and returned as it is, for content that JSON.stringify can't write. */
export class RawJson {
  constructor(readonly bytes: Buffer) {}
}

/** JSON text that a list returns in place of an object with its metadata. */
export class RawItem extends RawJson {}

/** Encodes a value as JSON that may hold raw text. */
export function encodeJson(value: unknown): Buffer {
  const raw: Buffer[] = [];
  const mark = randomUUID();
  const text = JSON.stringify(value, (_, part: unknown) => {
    if (!(part instanceof RawJson)) return part;
    raw.push(part.bytes);
    return mark;
  });
  const pieces = text.split(`"${mark}"`).map((piece) => Buffer.from(piece));
  return Buffer.concat(pieces.flatMap((piece, index) => [piece, raw[index] ?? Buffer.alloc(0)]));
}
