import {
  type handleUnaryCall,
  Server,
  type ServerCredentials,
  type ServerUnaryCall,
  status,
} from '@grpc/grpc-js';
import type {
  BorrowGrant,
  BorrowRequest,
  Clock,
  MembershipMessage,
  PeerExchange,
} from '@shallotpick/core';
import {
  decodeBorrow,
  decodeExchange,
  decodePing,
  encodeExchange,
  encodeGrant,
  encodePing,
  MAX_PEER_MESSAGE_BYTES,
  PEER_SERVICE,
  ProtocolError,
} from '@shallotpick/wire';
import { PeerError, RefusedError } from './errors.js';
import type { Log } from './log.js';
import type { SkipListener } from './skippedentries.js';

const MAX_STREAMS_PER_PEER = 100;

/** Handles the calls of peers. */
export interface PeerHandler {
  handlePing(from: string, message: MembershipMessage): MembershipMessage;
  handleExchange(message: PeerExchange): PeerExchange;
  handleBorrow(request: BorrowRequest): Promise<BorrowGrant>;
}

/** Options of {@link PeerServer}. */
export interface PeerServerOptions {
  readonly self: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly credentials: ServerCredentials;
  /** DNS name that a peer's certificate must carry; undefined without TLS. */
  readonly peerName?: string | undefined;
  readonly handler: PeerHandler;
  /** Called for each invalid entry of a message. */
  readonly onSkipped?: SkipListener;
}

/** True when the client certificate carries the DNS name that only peers have. */
function hasPeerName(call: ServerUnaryCall<unknown, unknown>, peerName: string): boolean {
  const names = call.getAuthContext().sslPeerCertificate?.subjectaltname ?? '';
  return names.split(', ').includes(`DNS:${peerName}`);
}

function toStatus(error: unknown): { readonly code: status; readonly details: string } {
  const details = error instanceof Error ? error.message : 'internal error';
  if (error instanceof ProtocolError) return { code: status.INVALID_ARGUMENT, details };
  if (error instanceof RefusedError) return { code: status.UNAVAILABLE, details };
  return { code: status.INTERNAL, details };
}

/** The gRPC server that peers call. */
export class PeerServer {
  private readonly server = new Server({
    'grpc.max_receive_message_length': MAX_PEER_MESSAGE_BYTES,
    'grpc.max_concurrent_streams': MAX_STREAMS_PER_PEER,
  });

  constructor(private readonly options: PeerServerOptions) {
    const { self, clock, handler, onSkipped } = options;
    const handleSkipped = (entry: string): void => onSkipped?.('peer', entry, 0);
    this.server.addService(PEER_SERVICE as unknown as Parameters<Server['addService']>[0], {
      ping: this.createCall(async (message: Parameters<typeof decodePing>[0]) => {
        const { from, ...received } = decodePing(message, handleSkipped);
        return encodePing(self, handler.handlePing(from, received));
      }),
      exchange: this.createCall(async (message: Parameters<typeof decodeExchange>[0]) => {
        const received = decodeExchange(message, clock.readNow(), handleSkipped);
        return encodeExchange(handler.handleExchange(received), clock.readNow());
      }),
      borrow: this.createCall(async (message: Parameters<typeof decodeBorrow>[0]) =>
        encodeGrant(await handler.handleBorrow(decodeBorrow(message))),
      ),
    });
  }

  /**
   * Opens the port and returns it.
   *
   * @throws PeerError when the port cannot be opened.
   */
  async start(host: string, port: number): Promise<number> {
    const { credentials } = this.options;
    return new Promise((resolve, reject) => {
      this.server.bindAsync(`${host}:${port}`, credentials, (cause, boundPort) => {
        if (cause) reject(new PeerError(`peer port ${port} cannot be opened`, { cause }));
        else resolve(boundPort);
      });
    });
  }

  stop(): void {
    this.server.forceShutdown();
  }

  private createCall<I, O>(handle: (message: I) => Promise<O>): handleUnaryCall<I, O> {
    return (call, callback) => {
      const { peerName, log } = this.options;
      if (peerName !== undefined && !hasPeerName(call, peerName)) {
        log.warn('peer call refused', { peer: call.getPeer(), reason: 'certificate name' });
        callback({ code: status.PERMISSION_DENIED, details: 'the certificate is not a peer’s' });
        return;
      }
      handle(call.request).then(
        (response) => callback(null, response),
        (error: unknown) => {
          log.warn('peer call failed', { peer: call.getPeer(), error: String(error) });
          callback(toStatus(error));
        },
      );
    };
  }
}
