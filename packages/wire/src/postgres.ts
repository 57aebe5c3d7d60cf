import { BufferReader } from 'pg-protocol/dist/buffer-reader.js';
import { Writer } from 'pg-protocol/dist/buffer-writer.js';
import { ProtocolError } from './errors.js';

const toCode = (letter: string): number => letter.charCodeAt(0);

/** User of control connections, which don't count against an instance's connection limit. */
export const CONTROL_USER = 'shallotpick_control';

/** Type bytes of messages from callers. */
export const FRONTEND = {
  bind: toCode('B'),
  close: toCode('C'),
  copyData: toCode('d'),
  copyDone: toCode('c'),
  copyFail: toCode('f'),
  describe: toCode('D'),
  execute: toCode('E'),
  flush: toCode('H'),
  functionCall: toCode('F'),
  parse: toCode('P'),
  password: toCode('p'),
  query: toCode('Q'),
  sync: toCode('S'),
  terminate: toCode('X'),
} as const;

/** Type bytes of messages from instances. */
export const BACKEND = {
  authentication: toCode('R'),
  backendKeyData: toCode('K'),
  bindComplete: toCode('2'),
  closeComplete: toCode('3'),
  commandComplete: toCode('C'),
  copyBoth: toCode('W'),
  copyIn: toCode('G'),
  copyOut: toCode('H'),
  dataRow: toCode('D'),
  emptyQuery: toCode('I'),
  error: toCode('E'),
  noData: toCode('n'),
  notice: toCode('N'),
  parameterDescription: toCode('t'),
  parameterStatus: toCode('S'),
  parseComplete: toCode('1'),
  portalSuspended: toCode('s'),
  readyForQuery: toCode('Z'),
  rowDescription: toCode('T'),
} as const;

/** Transaction state that ReadyForQuery carries. */
export type TransactionState = 'I' | 'T' | 'E';

const PROTOCOL_3 = 196_608;
const SSL_REQUEST = 80_877_103;
const GSSENC_REQUEST = 80_877_104;
const CANCEL_REQUEST = 80_877_102;
const TEXT_OID = 25;
const COUNT_BYTES = 2;
const LENGTH_BYTES = 4;
/** Bytes of a column's attributes after its name in a RowDescription. */
const COLUMN_ATTRIBUTES_BYTES = 18;
const WRITER_INITIAL_BYTES = 1024;

/** The first message of a connection. */
export type StartupMessage =
  | { readonly kind: 'ssl' }
  | { readonly kind: 'gss' }
  | { readonly kind: 'cancel'; readonly processId: number; readonly secret: number }
  | { readonly kind: 'start'; readonly parameters: ReadonlyMap<string, string> };

function createReader(body: Buffer): BufferReader {
  const reader = new BufferReader();
  reader.setBuffer(0, body);
  return reader;
}

function readCString(body: Buffer, from: number): { readonly text: string; readonly end: number } {
  const end = body.indexOf(0, from);
  if (end < 0) throw new ProtocolError('a string in the message has no end');
  return { text: body.toString('utf8', from, end), end: end + 1 };
}

function readParameters(body: Buffer): ReadonlyMap<string, string> {
  const parameters = new Map<string, string>();
  let at = 4;
  while (at < body.length && body[at] !== 0) {
    const name = readCString(body, at);
    const value = readCString(body, name.end);
    parameters.set(name.text, value.text);
    at = value.end;
  }
  return parameters;
}

/** Decodes the first message of a connection. */
export function parseStartup(body: Buffer): StartupMessage {
  if (body.length < 4) throw new ProtocolError('the startup message is too short');
  const reader = createReader(body);
  const code = reader.int32();
  if (code === SSL_REQUEST) return { kind: 'ssl' };
  if (code === GSSENC_REQUEST) return { kind: 'gss' };
  if (code === CANCEL_REQUEST) {
    if (body.length < 12) throw new ProtocolError('the cancel request is too short');
    return { kind: 'cancel', processId: reader.int32(), secret: reader.int32() };
  }
  if (code >>> 16 !== PROTOCOL_3 >>> 16) {
    throw new ProtocolError(`protocol version ${code >>> 16} is not supported`);
  }
  return { kind: 'start', parameters: readParameters(body) };
}

/** Decodes the SQL text of a Query message. */
export function parseQuery(body: Buffer): string {
  return readCString(body, 0).text;
}

/** Decodes the statement name and SQL text of a Parse message. */
export function parseParse(body: Buffer): { readonly name: string; readonly text: string } {
  const name = readCString(body, 0);
  return { name: name.text, text: readCString(body, name.end).text };
}

/** Decodes the portal and statement names of a Bind message. */
export function parseBind(body: Buffer): { readonly portal: string; readonly statement: string } {
  const portal = readCString(body, 0);
  return { portal: portal.text, statement: readCString(body, portal.end).text };
}

/** Decodes the target of a Describe or Close message. */
export function parseDescribeTarget(body: Buffer): {
  readonly kind: 'portal' | 'statement';
  readonly name: string;
} {
  const kind = body[0] === toCode('S') ? 'statement' : 'portal';
  return { kind, name: readCString(body, 1).text };
}

/** Decodes the transaction state of a ReadyForQuery. */
export function parseReadyForQuery(body: Buffer): TransactionState {
  return String.fromCharCode(body[0] ?? 0) as TransactionState;
}

/** Decodes the fields of an ErrorResponse, by their one-letter codes. */
export function parseErrorFields(body: Buffer): ReadonlyMap<string, string> {
  const fields = new Map<string, string>();
  let at = 0;
  while (at < body.length && body[at] !== 0) {
    const value = readCString(body, at + 1);
    fields.set(String.fromCharCode(body[at] ?? 0), value.text);
    at = value.end;
  }
  return fields;
}

/** Reads the number of entries of a message, each at least `entryBytes` long. */
function readCount(body: Buffer, entryBytes: number): number {
  const count = body.length < COUNT_BYTES ? -1 : body.readInt16BE(0);
  if (count < 0 || COUNT_BYTES + count * entryBytes > body.length) {
    throw new ProtocolError('the message is too short for its count');
  }
  return count;
}

/** Decodes a DataRow in text format. */
export function parseDataRow(body: Buffer): readonly (string | null)[] {
  const count = readCount(body, LENGTH_BYTES);
  let at = COUNT_BYTES;
  return Array.from({ length: count }, () => {
    if (at + LENGTH_BYTES > body.length) throw new ProtocolError('a value is cut short');
    const length = body.readInt32BE(at);
    const from = at + LENGTH_BYTES;
    if (length < 0) {
      at = from;
      return null;
    }
    at = from + length;
    if (at > body.length) throw new ProtocolError('a value is cut short');
    return body.toString('utf8', from, at);
  });
}

/** Decodes the column names of a RowDescription. */
export function parseColumnNames(body: Buffer): readonly string[] {
  const count = readCount(body, 1 + COLUMN_ATTRIBUTES_BYTES);
  let at = COUNT_BYTES;
  return Array.from({ length: count }, () => {
    const { text, end } = readCString(body, at);
    at = end + COLUMN_ATTRIBUTES_BYTES;
    return text;
  });
}

/** Decodes a ParameterStatus or another message of two strings. */
export function parseStringPair(body: Buffer): readonly [string, string] {
  const name = readCString(body, 0);
  return [name.text, readCString(body, name.end).text];
}

const writer = new Writer(WRITER_INITIAL_BYTES);

/** Encodes AuthenticationOk. */
export function encodeAuthenticationOk(): Buffer {
  return writer.addInt32(0).flush(BACKEND.authentication);
}

/** Encodes AuthenticationCleartextPassword. */
export function encodeAuthenticationCleartext(): Buffer {
  return writer.addInt32(3).flush(BACKEND.authentication);
}

/** Reported by an instance on each new connection: the incarnation of its data. */
export const INCARNATION_PARAMETER = 'shallotpick.incarnation';

/** Encodes a ParameterStatus. */
export function encodeParameterStatus(name: string, value: string): Buffer {
  return writer.addCString(name).addCString(value).flush(BACKEND.parameterStatus);
}

/** Encodes BackendKeyData, which a cancel request has to repeat. */
export function encodeBackendKeyData(processId: number, secret: number): Buffer {
  return writer.addInt32(processId).addInt32(secret).flush(BACKEND.backendKeyData);
}

/** Encodes a ReadyForQuery. */
export function encodeReadyForQuery(state: TransactionState): Buffer {
  return writer.addString(state).flush(BACKEND.readyForQuery);
}

/** Encodes a CommandComplete. */
export function encodeCommandComplete(tag: string): Buffer {
  return writer.addCString(tag).flush(BACKEND.commandComplete);
}

/** The fields of an ErrorResponse that the proxy itself creates. */
export interface ErrorFields {
  readonly severity: 'ERROR' | 'FATAL';
  readonly code: string;
  readonly message: string;
  readonly detail?: string;
  readonly hint?: string;
}

/** Encodes an ErrorResponse. */
export function encodeErrorResponse(fields: ErrorFields): Buffer {
  writer.addString('S').addCString(fields.severity).addString('V').addCString(fields.severity);
  writer.addString('C').addCString(fields.code).addString('M').addCString(fields.message);
  if (fields.detail) writer.addString('D').addCString(fields.detail);
  if (fields.hint) writer.addString('H').addCString(fields.hint);
  return writer.addString('\0').flush(BACKEND.error);
}

/** Encodes a RowDescription whose columns are all text. */
export function encodeRowDescription(names: readonly string[]): Buffer {
  writer.addInt16(names.length);
  names.forEach((name) => {
    writer.addCString(name).addInt32(0).addInt16(0).addInt32(TEXT_OID);
    writer.addInt16(-1).addInt32(-1).addInt16(0);
  });
  return writer.flush(BACKEND.rowDescription);
}

/** Encodes a DataRow in text format. */
export function encodeDataRow(values: readonly (string | null)[]): Buffer {
  writer.addInt16(values.length);
  values.forEach((value) => {
    if (value === null) writer.addInt32(-1);
    else writer.addInt32PrefixedString(value);
  });
  return writer.flush(BACKEND.dataRow);
}

/** Encodes a message without a body. */
export function encodeEmptyMessage(type: number): Buffer {
  return Buffer.from([type, 0, 0, 0, 4]);
}

/** Encodes a ParameterDescription for parameters of type text. */
export function encodeParameterDescription(count: number): Buffer {
  writer.addInt16(count);
  for (let index = 0; index < count; index++) writer.addInt32(TEXT_OID);
  return writer.flush(BACKEND.parameterDescription);
}
