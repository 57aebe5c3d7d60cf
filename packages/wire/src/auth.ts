import { Writer } from 'pg-protocol/dist/buffer-writer.js';
import { ProtocolError } from './errors.js';
import { BACKEND } from './postgres.js';

const SASL = 10;
const SASL_CONTINUE = 11;
const SASL_FINAL = 12;
const LENGTH_BYTES = 4;

const writer = new Writer();

/** Encodes AuthenticationSASL, which offers the mechanisms to the caller. */
export function encodeAuthenticationSasl(mechanisms: readonly string[]): Buffer {
  writer.addInt32(SASL);
  mechanisms.forEach((mechanism) => writer.addCString(mechanism));
  return writer.addString('\0').flush(BACKEND.authentication);
}

/** Encodes AuthenticationSASLContinue. */
export function encodeSaslContinue(data: string): Buffer {
  return writer.addInt32(SASL_CONTINUE).addString(data).flush(BACKEND.authentication);
}

/** Encodes AuthenticationSASLFinal. */
export function encodeSaslFinal(data: string): Buffer {
  return writer.addInt32(SASL_FINAL).addString(data).flush(BACKEND.authentication);
}

/**
 * Decodes SASLInitialResponse, the caller's choice of a mechanism.
 *
 * @throws ProtocolError when the message is incomplete.
 */
export function parseSaslInitialResponse(body: Buffer): {
  readonly mechanism: string;
  readonly data: string;
} {
  const end = body.indexOf(0);
  const from = end + 1 + LENGTH_BYTES;
  if (end < 0 || body.length < from) throw new ProtocolError('the SASL message is too short');
  const length = body.readInt32BE(end + 1);
  if (length < 0 || length !== body.length - from) {
    throw new ProtocolError('the SASL message has a wrong length');
  }
  return { mechanism: body.toString('utf8', 0, end), data: body.toString('utf8', from) };
}

/** Decodes the password of a PasswordMessage. */
export function parsePassword(body: Buffer): string {
  const end = body.indexOf(0);
  if (end < 0) throw new ProtocolError('the password has no end');
  return body.toString('utf8', 0, end);
}
