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
  encodeEmptyMessage,
  encodeRowDescription,
  encodeCommandComplete,
  encodeErrorResponse,
  encodeParameterDescription,
  encodeParameterStatus,
  INCARNATION_PARAMETER,
  encodeReadyForQuery,
  encodeDataRow,
  FRONTEND,
  parseBind,
  parseColumnNames,
  parseErrorFields,
  parseStringPair,
  parseParse,
  parseQuery,
  parseReadyForQuery,
  parseDataRow,
  parseStartup,
  parseDescribeTarget,
} from './postgres.js';
export type { ErrorFields, StartupMessage, TransactionState } from './postgres.js';
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
} from './peermessage.js';
export { PEER_SERVICE } from './peerservice.js';
export type { PeerService } from './peerservice.js';
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
  parseSaslInitialResponse,
} from './auth.js';
export {
  createOperatorImplementation,
  OPERATOR_SERVICE,
  OperatorClient,
} from './operatorservice.js';
export type { OperatorHandlers } from './operatorservice.js';
export type {
  ExplainResponse,
  GroupStatus,
  InstanceState,
  StatusResponse,
} from './generated/operator/operator_pb.js';
