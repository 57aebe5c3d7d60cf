import { type DescMessage, fromBinary, type MessageShape, toBinary } from '@bufbuild/protobuf';
import type { MethodDefinition } from '@grpc/grpc-js';

/** Defines a unary gRPC method with protobuf messages; `path` is `/package.Service/Name`. */
export function createUnaryMethod<I extends DescMessage, O extends DescMessage>(
  path: string,
  input: I,
  output: O,
): MethodDefinition<MessageShape<I>, MessageShape<O>> {
  return {
    path,
    requestStream: false,
    responseStream: false,
    requestSerialize: (message) => Buffer.from(toBinary(input, message)),
    requestDeserialize: (bytes) => fromBinary(input, bytes),
    responseSerialize: (message) => Buffer.from(toBinary(output, message)),
    responseDeserialize: (bytes) => fromBinary(output, bytes),
  };
}
