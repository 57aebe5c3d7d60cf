import { connect, type Socket } from 'node:net';
import type {
  Clock,
  ConfigurationProof,
  Millis,
  PermitAnswer,
  PermitRequest,
} from '@shallotpick/core';
import type {
  ClientGuard,
  HomeStatus,
  Log,
  ReceivedConfiguration,
  VmAddress,
  WorkRequest,
} from '@shallotpick/engine';
import { match } from 'ts-pattern';
import { type Admission, AdmissionExchange } from './admissionexchange.js';
import { AnswerExchange } from './answerexchange.js';
import { toServiceConfiguration } from './configurationschema.js';
import { LinkAddressError } from './errors.js';
import {
  decodeHomeMessage,
  type EntryMessage,
  type HomeMessage,
  type LINK_FEATURES,
  LINK_VERSION,
} from './message.js';
import { createRemoteLease, RemoteConnection } from './remote.js';
import { PeerActivity, SilenceMeter } from './silence.js';
import { type MessageHandler, MessageSocket } from './socket.js';

const PING_INTERVAL_MS: Millis = 500;
/** Interval while an answer is awaited, so that a dead home is noticed soon. */
const BUSY_PING_INTERVAL_MS: Millis = 100;
/** A home that has not answered a ping for this long gets no new work until it answers. */
const SILENCE_MS: Millis = 300;
/**
 * A link without an answer, and without any other sign of its peer, for this long is closed;
 * operations that run on it may have run.
 */
const DEAD_LINK_MS: Millis = 3_000;
const CONNECT_TIMEOUT_MS: Millis = 300;
/** Pings without an answer whose time is remembered. */
const MAX_OPEN_PINGS = 64;

/** The part of a status that proves the configuration in force. */
type ProofPart = Pick<HomeMessage & { readonly type: 'status' }, 'answers' | 'configuration'>;

type ConfiguredMessage = HomeMessage & { readonly type: 'configured' };

/** The home, and the services of a link to it. */
export interface HomeLinkOptions {
  readonly vm: string;
  readonly home: VmAddress;
  readonly clock: Clock;
  /** Clock that includes suspensions of the VM. */
  readonly ageClock: Clock;
  readonly log: Log;
  readonly guard: ClientGuard;
  /** Receives what the home proves of the configuration. */
  readonly onProof: (proof: ConfigurationProof) => void;
  readonly onDeadPeer: () => void;
  readonly onClose: () => void;
}

/** @throws LinkAddressError when no connection can be opened to the address. */
function openSocket({ id, host, port = 0 }: VmAddress): Socket {
  try {
    return connect({ host, port });
  } catch (cause) {
    throw new LinkAddressError(`${id} has registered an address out of range`, { cause });
  }
}

/** A link to a home, over which requests and transactions of many callers run. */
export class HomeLink implements MessageHandler {
  private readonly socket: MessageSocket;

  private readonly admissions: AdmissionExchange;

  private readonly connections = new Map<number, RemoteConnection>();

  private readonly permits = new AnswerExchange<PermitRequest, PermitAnswer>((number, request) =>
    this.send({ type: 'permits', number, request }),
  );

  private readonly configurations = new AnswerExchange<void, ConfiguredMessage>((number) =>
    this.send({ type: 'configuration', number }),
  );

  /** When the link last had work. */
  usedAt: Millis;

  private isOpen = false;

  /** True once the link has ended, which may happen while it is opened. */
  isClosed = false;

  private readonly openedAt: Millis;

  private pings = 0;

  /** When the pings without an answer were sent, on the clock that includes suspensions. */
  private readonly pingSentAt = new Map<number, Millis>();

  private lastPingAt: Millis = Number.NEGATIVE_INFINITY;

  /** When the oldest ping without an answer was sent. */
  private unansweredSince: Millis | undefined;

  /** Time for which a ping has been without an answer and the home without another sign of life. */
  private readonly silence: SilenceMeter;

  private readonly activity: PeerActivity;

  private roundTripMs: Millis = 1;

  /** Optional parts of the protocol that the home knows. */
  private features: ReadonlySet<string> = new Set();

  /** Version of the configuration that the home has proved last; 0 before its first proof. */
  provedVersion = 0;

  /** What the home has told last; undefined before its first status. */
  private status: HomeStatus | undefined;

  /** @throws LinkAddressError when no link can be opened to the home's address. */
  constructor(private readonly options: HomeLinkOptions) {
    const { home, vm, clock } = options;
    const socket = openSocket(home);
    socket.once('connect', () => {
      this.isOpen = true;
    });
    this.admissions = new AdmissionExchange(clock, (message) => this.send(message));
    this.openedAt = clock.readNow();
    this.usedAt = this.openedAt;
    this.silence = new SilenceMeter(this.openedAt);
    this.activity = new PeerActivity(socket);
    this.socket = new MessageSocket(socket, this, options.guard);
    this.send({ type: 'hello', version: LINK_VERSION, vm });
    this.ping(this.openedAt);
  }

  /** True when the home is expected to admit work. */
  isUsable(now: Millis): boolean {
    const isServing = !this.status?.isIsolated && !this.status?.isDraining;
    return !this.isClosed && isServing && !this.isSilent(now) && !this.socket.isCongested();
  }

  /** True while the home's first status is expected. */
  isOpening(now: Millis): boolean {
    return !this.status && !this.isClosed && !this.isSilent(now);
  }

  /** True when the home has said that it doesn't reach the instances. */
  isIsolated(): boolean {
    return this.status?.isIsolated === true;
  }

  /** True when the home knows an optional part of the protocol. */
  private supports(feature: (typeof LINK_FEATURES)[number]): boolean {
    return this.features.has(feature);
  }

  /** Asks the home for a connection. */
  async admit(group: string, request: WorkRequest): Promise<Admission> {
    this.usedAt = this.options.clock.readNow();
    return this.admissions.request(group, request);
  }

  /** Asks the VM for permits; undefined when it doesn't answer or issues none. */
  async requestPermits(request: PermitRequest): Promise<PermitAnswer | undefined> {
    this.usedAt = this.options.clock.readNow();
    if (this.isClosed || !this.supports('permits')) return undefined;
    return this.permits.request(request);
  }

  /** Asks the home for its configuration; undefined when it doesn't answer or passes none on. */
  async requestConfiguration(): Promise<ReceivedConfiguration | undefined> {
    this.usedAt = this.options.clock.readNow();
    if (this.isClosed || !this.supports('configurations')) return undefined;
    const sentAt = this.options.ageClock.readNow();
    const { configuration, provedMsAgo } = (await this.configurations.request()) ?? {};
    if (!configuration) return undefined;
    return {
      configuration: toServiceConfiguration(configuration),
      provedAt: provedMsAgo === undefined ? undefined : sentAt - provedMsAgo,
    };
  }

  handleTick(now: Millis): void {
    if (this.isClosed) return;
    if (this.admissions.count() + this.connections.size > 0) this.usedAt = now;
    if (!this.isOpen && now - this.openedAt >= CONNECT_TIMEOUT_MS) {
      this.socket.close('no connection in time');
      return;
    }
    this.silence.handleTick(now);
    // On a slow link a ping or its answer may wait behind large messages.
    const isActive = this.activity.checkProgress();
    if (isActive || this.unansweredSince === undefined) this.silence.reset();
    if (this.silence.measure() >= DEAD_LINK_MS) {
      this.closeDead(now);
      return;
    }
    const interval = this.admissions.count() > 0 ? BUSY_PING_INTERVAL_MS : PING_INTERVAL_MS;
    if (now - this.lastPingAt >= interval) this.ping(now);
    if (this.isSilent(now)) this.admissions.withdrawAll('the home is silent');
    this.admissions.withdrawOverdue(now);
  }

  handleMessage(message: unknown): void {
    match(decodeHomeMessage(message))
      .with({ type: 'granted' }, (granted) => this.handleGranted(granted))
      .with({ type: 'refused' }, ({ lease, reason, mayTryOther }) =>
        this.admissions.settle(lease, { kind: 'refused', reason, mayTryOther }),
      )
      .with({ type: 'reply' }, (reply) => this.connections.get(reply.lease)?.handleReply(reply))
      .with({ type: 'broken' }, ({ lease, reason }) => {
        this.connections.get(lease)?.fail(reason);
      })
      .with({ type: 'issued' }, ({ number, answer }) => this.permits.settle(number, answer))
      .with({ type: 'configured' }, (answer) => this.configurations.settle(answer.number, answer))
      .with({ type: 'status' }, ({ isIsolated, isDraining, features = [], ...proof }) => {
        this.features = new Set(features);
        this.handleStatus({ isIsolated, isDraining });
        this.handleProof(proof);
      })
      .exhaustive();
  }

  handleClose(reason: string): void {
    this.isClosed = true;
    this.options.log.info('link closed', { home: this.options.home.id, reason });
    this.admissions.close(reason);
    this.connections.forEach((connection) => connection.fail(`link to a home: ${reason}`));
    this.connections.clear();
    this.permits.close();
    this.configurations.close();
    this.options.onClose();
  }

  close(reason: string): void {
    this.socket.close(reason);
  }

  private closeDead(now: Millis): void {
    this.options.log.warn('peer of a link is gone', {
      vm: this.options.home.id,
      leases: this.connections.size,
      silentMs: this.silence.measure(),
      ageMs: now - this.openedAt,
    });
    this.options.onDeadPeer();
    this.socket.close('no answer');
  }

  private send(message: EntryMessage): void {
    this.socket.send(message);
  }

  private ping(now: Millis): void {
    this.lastPingAt = now;
    this.unansweredSince ??= now;
    this.pings += 1;
    this.pingSentAt.set(this.pings, this.options.ageClock.readNow());
    if (this.pingSentAt.size > MAX_OPEN_PINGS) this.pingSentAt.delete(this.pings - MAX_OPEN_PINGS);
    this.send({ type: 'ping', number: this.pings });
  }

  private isSilent(now: Millis): boolean {
    return this.unansweredSince !== undefined && now - this.unansweredSince >= SILENCE_MS;
  }

  private handleStatus(status: HomeStatus): void {
    const now = this.options.clock.readNow();
    if (this.unansweredSince !== undefined) this.roundTripMs = now - this.unansweredSince;
    this.unansweredSince = undefined;
    this.status = status;
    this.admissions.handleStatus(status, this.features);
  }

  /** Passes on the proof in the answer to a ping; it is at least as old as the ping. */
  private handleProof({ answers, configuration }: ProofPart): void {
    const sentAt = answers === undefined ? undefined : this.pingSentAt.get(answers);
    if (answers === undefined || sentAt === undefined) return;
    this.pingSentAt.delete(answers);
    if (!configuration) return;
    const { version, ageMs } = configuration;
    this.provedVersion = version;
    this.options.onProof({ version, provedAt: sentAt - ageMs });
  }

  private handleGranted(granted: HomeMessage & { readonly type: 'granted' }): void {
    const { lease } = granted;
    if (!this.admissions.has(lease)) {
      // The caller no longer waits; the home has been told so.
      return;
    }
    const send = (message: EntryMessage): void => this.send(message);
    const connection = new RemoteConnection(lease, send);
    this.connections.set(lease, connection);
    const onRelease = (): void => {
      this.connections.delete(lease);
    };
    const created = createRemoteLease(granted, connection, this.roundTripMs, send, onRelease);
    this.admissions.settle(lease, { kind: 'granted', lease: created });
  }
}
