import { parseBind } from '@shallotpick/wire';

/** A decoded Bind message with its parameters in text format. */
export interface BindMessage {
  readonly portal: string;
  readonly statement: string;
  readonly values: readonly (string | null)[];
}

/** Decodes a Bind message with its parameter values. */
export function parseBindValues(body: Buffer): BindMessage {
  const { portal, statement } = parseBind(body);
  let at = Buffer.byteLength(portal) + Buffer.byteLength(statement) + 2;
  const formats = body.readInt16BE(at);
  at += 2 + 2 * formats;
  const count = body.readInt16BE(at);
  at += 2;
  const values = Array.from({ length: count }, () => {
    const length = body.readInt32BE(at);
    at += 4;
    if (length < 0) return null;
    const value = body.toString('utf8', at, at + length);
    at += length;
    return value;
  });
  return { portal, statement, values };
}
