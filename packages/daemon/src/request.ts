import {
  BACKEND,
  encodeEmptyMessage,
  encodeCommandComplete,
  encodeParameterDescription,
  encodeReadyForQuery,
  type Frame,
  FRONTEND,
  parseDescribeTarget,
} from '@shallotpick/wire';

/** One request of a caller. */
export interface CallerRequest {
  /** A Query, a pipeline of extended-protocol messages, a FunctionCall, or Terminate. */
  readonly kind: 'simple' | 'extended' | 'function' | 'terminate';
  readonly frames: readonly Frame[];
  /** True for a part of a pipeline that ends in Flush; the pipeline continues up to Sync. */
  readonly isPartial: boolean;
}

const HEADER_BYTES = 5;

/** Encodes a protocol message from the parts of its body. */
export function encodeFrame(type: number, ...parts: readonly (Buffer | string)[]): Buffer {
  const body = parts.map((part) => (typeof part === 'string' ? Buffer.from(part) : part));
  const header = Buffer.alloc(HEADER_BYTES);
  header[0] = type;
  header.writeInt32BE(
    body.reduce((sum, { length }) => sum + length, HEADER_BYTES - 1),
    1,
  );
  return Buffer.concat([header, ...body]);
}

/** Encodes the response to a request that needs no instance, such as ROLLBACK after a loss. */
export function encodeLocalResponse({ frames }: CallerRequest, tag: string): Buffer {
  const responses = frames.flatMap(({ type, body }) => {
    if (type === FRONTEND.parse) return [encodeEmptyMessage(BACKEND.parseComplete)];
    if (type === FRONTEND.bind) return [encodeEmptyMessage(BACKEND.bindComplete)];
    if (type === FRONTEND.close) return [encodeEmptyMessage(BACKEND.closeComplete)];
    if (type === FRONTEND.execute || type === FRONTEND.query) return [encodeCommandComplete(tag)];
    if (type !== FRONTEND.describe) return [];
    const noData = encodeEmptyMessage(BACKEND.noData);
    return parseDescribeTarget(body).kind === 'statement'
      ? [encodeParameterDescription(0), noData]
      : [noData];
  });
  return Buffer.concat([...responses, encodeReadyForQuery('I')]);
}
