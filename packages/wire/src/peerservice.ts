import type { MethodDefinition } from '@grpc/grpc-js';
import {
  type BorrowMessage,
  BorrowMessageSchema,
  type ExchangeMessage,
  ExchangeMessageSchema,
  type GrantMessage,
  GrantMessageSchema,
  type PingMessage,
  PingMessageSchema,
} from './generated/peer_pb.js';
import { createUnaryMethod } from './unarymethod.js';

const SERVICE = '/shallotpick.peer.v1.Peer';

/** The methods of the service between daemons; see proto/peer.proto. */
export interface PeerService {
  readonly ping: MethodDefinition<PingMessage, PingMessage>;
  readonly exchange: MethodDefinition<ExchangeMessage, ExchangeMessage>;
  readonly borrow: MethodDefinition<BorrowMessage, GrantMessage>;
}

/** The service definition for servers and clients of `@grpc/grpc-js`. */
export const PEER_SERVICE: PeerService = {
  ping: createUnaryMethod(`${SERVICE}/Ping`, PingMessageSchema, PingMessageSchema),
  exchange: createUnaryMethod(`${SERVICE}/Exchange`, ExchangeMessageSchema, ExchangeMessageSchema),
  borrow: createUnaryMethod(`${SERVICE}/Borrow`, BorrowMessageSchema, GrantMessageSchema),
};
