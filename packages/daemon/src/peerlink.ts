import { type ChannelCredentials, Client, type MethodDefinition } from '@grpc/grpc-js';
import {
  type BorrowGrant,
  type BorrowRequest,
  type Clock,
  type MembershipMessage,
  type Millis,
  type PeerExchange,
  PeerLink,
  type Vm,
} from '@shallotpick/core';
import {
  decodeExchange,
  decodeGrant,
  decodePing,
  encodeBorrow,
  encodeExchange,
  encodePing,
  MAX_PEER_MESSAGE_BYTES,
  PEER_SERVICE,
} from '@shallotpick/wire';
import { PeerError } from './errors.js';
import type { Metrics } from './metrics.js';
import type { SkipListener } from './skippedentries.js';

/** Long enough to transfer a release note of 1 MB between regions. */
const EXCHANGE_TIMEOUT_MS: Millis = 2_000;
const BORROW_TIMEOUT_MS: Millis = 1_000;
const PING_TIMEOUT_MS: Millis = 1_000;

/** gRPC's default backoff (1 s to 2 min) would hide a restarted peer for minutes. */
const RECONNECT_MIN_MS: Millis = 100;
const RECONNECT_MAX_MS: Millis = 1_000;

/** Options of {@link GrpcPeerLink}. */
export interface PeerLinkOptions {
  readonly self: string;
  readonly vm: Vm;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly credentials: ChannelCredentials;
  /** Called for each invalid entry of an answer. */
  readonly onSkipped?: SkipListener;
  /** DNS name in the certificates of peers; undefined without TLS. */
  readonly peerName?: string | undefined;
}

/** The gRPC client of one peer. */
export class GrpcPeerLink extends PeerLink {
  private readonly client: Client;

  constructor(private readonly options: PeerLinkOptions) {
    super();
    const { vm, credentials, peerName } = options;
    this.client = new Client(`${vm.host}:${vm.peerPort}`, credentials, {
      'grpc.initial_reconnect_backoff_ms': RECONNECT_MIN_MS,
      'grpc.min_reconnect_backoff_ms': RECONNECT_MIN_MS,
      'grpc.max_reconnect_backoff_ms': RECONNECT_MAX_MS,
      'grpc.max_receive_message_length': MAX_PEER_MESSAGE_BYTES,
      'grpc.use_local_subchannel_pool': 1,
      'grpc.enable_http_proxy': 0,
      ...(peerName === undefined ? {} : { 'grpc.ssl_target_name_override': peerName }),
    });
  }

  /** Checks that the peer is alive; both sides exchange membership updates. */
  async ping(sent: MembershipMessage): Promise<MembershipMessage> {
    const { self, vm } = this.options;
    const message = encodePing(self, sent);
    const answer = await this.call(PEER_SERVICE.ping, message, PING_TIMEOUT_MS);
    const response = decodePing(answer, this.handleSkipped);
    if (response.from !== vm.id) {
      throw new PeerError(`${vm.host}:${vm.peerPort} is peer ${response.from}`);
    }
    return response;
  }

  async exchange(message: PeerExchange): Promise<PeerExchange> {
    const { clock } = this.options;
    const sent = encodeExchange(message, clock.readNow());
    const response = await this.call(PEER_SERVICE.exchange, sent, EXCHANGE_TIMEOUT_MS);
    return decodeExchange(response, clock.readNow(), this.handleSkipped);
  }

  async borrow(request: BorrowRequest): Promise<BorrowGrant> {
    const sent = encodeBorrow(request);
    return decodeGrant(await this.call(PEER_SERVICE.borrow, sent, BORROW_TIMEOUT_MS));
  }

  close(): void {
    this.client.close();
  }

  private readonly handleSkipped = (entry: string): void => {
    this.options.onSkipped?.('peer', entry, 0);
  };

  private async call<I, O>(
    method: MethodDefinition<I, O>,
    message: I,
    timeoutMs: Millis,
  ): Promise<O> {
    const call = method.path.slice(method.path.lastIndexOf('/') + 1).toLowerCase();
    const { path, requestSerialize, responseDeserialize } = method;
    return new Promise((resolve, reject) => {
      const options = { deadline: Date.now() + timeoutMs };
      this.client.makeUnaryRequest(
        path,
        requestSerialize,
        responseDeserialize,
        message,
        options,
        (cause, response) => {
          this.options.metrics.peerCalls.inc({ call, outcome: cause ? 'failed' : 'answered' });
          if (cause || response === undefined) {
            reject(new PeerError(`${this.options.vm.id} did not answer a ${call}`, { cause }));
          } else resolve(response);
        },
      );
    });
  }
}
