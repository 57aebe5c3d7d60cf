import {
  create,
  type DescMessage,
  type MessageInitShape,
  type MessageShape,
} from '@bufbuild/protobuf';
import {
  type ChannelCredentials,
  Client,
  type handleUnaryCall,
  type MethodDefinition,
  type ServiceError,
  type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import {
  DrainRequestSchema,
  type DrainResponse,
  DrainResponseSchema,
  ExplainRequestSchema,
  type ExplainResponse,
  ExplainResponseSchema,
  StatusRequestSchema,
  type StatusResponse,
  StatusResponseSchema,
} from './generated/operator/operator_pb.js';
import { createUnaryMethod } from './unarymethod.js';

const CALL_TIMEOUT_MS = 5_000;

const SERVICE = '/shallotpick.operator.v1.OperatorService';

/** The methods of the operator service; see proto/operator.proto. */
export const OPERATOR_SERVICE = {
  status: createUnaryMethod(`${SERVICE}/Status`, StatusRequestSchema, StatusResponseSchema),
  explain: createUnaryMethod(`${SERVICE}/Explain`, ExplainRequestSchema, ExplainResponseSchema),
  drain: createUnaryMethod(`${SERVICE}/Drain`, DrainRequestSchema, DrainResponseSchema),
};

/** A daemon's handlers of operator calls. A thrown error keeps its gRPC `code`. */
export interface OperatorHandlers {
  readStatus(): MessageInitShape<typeof StatusResponseSchema>;
  explain(
    request: MessageShape<typeof ExplainRequestSchema>,
  ): MessageInitShape<typeof ExplainResponseSchema>;
  drain(
    request: MessageShape<typeof DrainRequestSchema>,
  ): MessageInitShape<typeof DrainResponseSchema>;
}

function createUnaryHandler<I, D extends DescMessage>(
  output: D,
  answer: (request: I) => MessageInitShape<D>,
): handleUnaryCall<I, MessageShape<D>> {
  return (call, callback) => {
    try {
      callback(null, create(output, answer(call.request)));
    } catch (error) {
      callback(error as ServiceError);
    }
  };
}

/** Creates the gRPC service implementation for `OPERATOR_SERVICE` from handlers. */
export function createOperatorImplementation(
  handlers: OperatorHandlers,
): UntypedServiceImplementation {
  return {
    status: createUnaryHandler(StatusResponseSchema, () => handlers.readStatus()),
    explain: createUnaryHandler(
      ExplainResponseSchema,
      (request: MessageShape<typeof ExplainRequestSchema>) => handlers.explain(request),
    ),
    drain: createUnaryHandler(
      DrainResponseSchema,
      (request: MessageShape<typeof DrainRequestSchema>) => handlers.drain(request),
    ),
  };
}

/** A client of one daemon's operator service. Failed calls reject with the gRPC error. */
export class OperatorClient {
  private readonly client: Client;

  constructor(address: string, credentials: ChannelCredentials) {
    this.client = new Client(address, credentials);
  }

  async readStatus(): Promise<StatusResponse> {
    return this.request(OPERATOR_SERVICE.status, create(StatusRequestSchema));
  }

  async explain(request: MessageInitShape<typeof ExplainRequestSchema>): Promise<ExplainResponse> {
    return this.request(OPERATOR_SERVICE.explain, create(ExplainRequestSchema, request));
  }

  async drain(vm: string): Promise<DrainResponse> {
    return this.request(OPERATOR_SERVICE.drain, create(DrainRequestSchema, { vm }));
  }

  close(): void {
    this.client.close();
  }

  private async request<I, O>(method: MethodDefinition<I, O>, request: I): Promise<O> {
    const deadline = Date.now() + CALL_TIMEOUT_MS;
    return new Promise((resolve, reject) => {
      this.client.makeUnaryRequest(
        method.path,
        method.requestSerialize,
        method.responseDeserialize,
        request,
        { deadline },
        (error, response) => {
          if (response) resolve(response);
          else reject(error ?? new Error('the daemon sent no response'));
        },
      );
    });
  }
}
