import { type DescMessage, fromBinary, type MessageShape, toBinary } from '@bufbuild/protobuf';
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

function createMethod<I extends DescMessage, O extends DescMessage>(
  name: string,
  input: I,
  output: O,
): MethodDefinition<MessageShape<I>, MessageShape<O>> {
  return {
    path: `/shallotpick.peer.v1.Peer/${name}`,
    requestStream: false,
    responseStream: false,
    requestSerialize: (message) => Buffer.from(toBinary(input, message)),
    requestDeserialize: (bytes) => fromBinary(input, bytes),
    responseSerialize: (message) => Buffer.from(toBinary(output, message)),
    responseDeserialize: (bytes) => fromBinary(output, bytes),
  };
}

/** The calls between daemons as gRPC methods; see proto/peer.proto. */
export interface PeerService {
  readonly ping: MethodDefinition<PingMessage, PingMessage>;
  readonly exchange: MethodDefinition<ExchangeMessage, ExchangeMessage>;
  readonly borrow: MethodDefinition<BorrowMessage, GrantMessage>;
}

/** The typed service definition for servers and clients of `@grpc/grpc-js`. */
export const PEER_SERVICE: PeerService = {
  ping: createMethod('Ping', PingMessageSchema, PingMessageSchema),
  exchange: createMethod('Exchange', ExchangeMessageSchema, ExchangeMessageSchema),
  borrow: createMethod('Borrow', BorrowMessageSchema, GrantMessageSchema),
};
