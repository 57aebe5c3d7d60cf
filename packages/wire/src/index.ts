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
export {
  decodeBorrow,
  decodeExchange,
  decodeGrant,
  decodePing,
  encodeBorrow,
  encodeExchange,
  encodeGrant,
  encodePing,
  MAX_PEER_MESSAGE_BYTES,
} from './peer.js';
export { PEER_SERVICE } from './service.js';
export type { PeerService } from './service.js';
export type {
  BorrowMessage,
  ExchangeMessage,
  GrantMessage,
  PingMessage,
} from './generated/peer_pb.js';
export {
  encodeAuthenticationSasl,
  encodeSaslContinue,
  encodeSaslFinal,
  parsePassword,
  parseSaslInitial,
} from './auth.js';
export { createOperatorCalls, OPERATOR_SERVICE, OperatorClient } from './operator.js';
export type { OperatorHandlers } from './operator.js';
export type {
  ExplainResponse,
  GroupStatus,
  InstanceState,
  StatusResponse,
} from './generated/operator/operator_pb.js';
