export { serialize } from 'pg-protocol';
export { ProtocolError } from './errors.js';
export { FrameReader, MAX_MESSAGE_BYTES, MAX_STARTUP_BYTES } from './frame.js';
export type { Frame } from './frame.js';
export {
  BACKEND,
  CONTROL_USER,
  encodeAuthenticationCleartext,
  encodeAuthenticationOk,
  encodeBackendKeyData,
  encodeBare,
  encodeColumns,
  encodeCommandComplete,
  encodeError,
  encodeParameters,
  encodeParameterStatus,
  encodeReady,
  encodeRow,
  FRONTEND,
  parseBind,
  parseColumns,
  parseFields,
  parsePair,
  parseParse,
  parseQuery,
  parseReady,
  parseRow,
  parseStartup,
  parseTarget,
} from './message.js';
export type { ErrorFields, Startup, TransactionState } from './message.js';
export { createOperatorCalls, OPERATOR_SERVICE, OperatorClient } from './operator.js';
export type { OperatorHandlers } from './operator.js';
export type {
  ExplainResponse,
  GroupStatus,
  InstanceState,
  StatusResponse,
} from './generated/operator/operator_pb.js';
