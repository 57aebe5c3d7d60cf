import type { Socket } from 'node:net';
import type { Millis } from '@shallotpick/core';
import {
  type ClientGuard,
  findAccess,
  type ForwardingHost,
  type HomeStatus,
  type Lease,
  NotRunError,
  NotSentError,
  type Reply,
  sendInSession,
  type SessionCommand,
  type SessionState,
  SHUTTING_DOWN,
} from '@shallotpick/engine';
import { match } from 'ts-pattern';
import { toPassedConfiguration } from './configurationschema.js';
import { LinkProtocolError } from './errors.js';
import {
  type AdmitMessage,
  createHeldLease,
  type HeldLease,
  isDataOperation,
  mustEndBeforeShutdown,
  readSessionState,
  type RunMessage,
} from './heldlease.js';
import {
  decodeEntryMessage,
  type EntryMessage,
  type HomeMessage,
  LINK_FEATURES,
  LINK_VERSION,
} from './message.js';
import { createRefusal, createReplyMessage } from './reply.js';
import { PeerActivity, SilenceMeter } from './silence.js';
import { type MessageHandler, MessageSocket } from './socket.js';
import { toWorkRequest } from './workrequest.js';

/** Longer than callers wait; the VM that passed the work on ends it before. */
const CONFIRMATION_TIMEOUT_MS: Millis = 5_000;
/** Bounds the work that one VM has at a home. */
const MAX_LEASES_PER_LINK = 256;
/**
 * A peer from which nothing has arrived for this long is gone: a live one pings several times a
 * second, and ends a link without answers sooner itself.
 */
const DEAD_PEER_MS: Millis = 4_000;

type PermitsMessage = EntryMessage & { readonly type: 'permits' };

/** What the owner of an entry's link is told. */
export interface EntryLinkObserver {
  /** The peer is known to be this VM. */
  handleVerified(link: EntryLink, vm: string): void;
  handleDeadPeer(link: EntryLink): void;
  handleClose(link: EntryLink): void;
}

/** The home's side of a link: runs the work of one VM on this VM's connections. */
export class EntryLink implements MessageHandler {
  private readonly socket: MessageSocket;

  private readonly held = new Map<number, HeldLease>();

  /** Settles once the peer is known to be a VM of the fleet. */
  private verified: Promise<boolean> | undefined;

  private peer = 'unknown';

  private readonly openedAt: Millis;

  private readonly silence: SilenceMeter;

  private readonly activity: PeerActivity;

  constructor(
    private readonly host: ForwardingHost,
    private readonly rawSocket: Socket,
    private readonly guard: ClientGuard,
    private readonly observer: EntryLinkObserver,
  ) {
    this.openedAt = host.clock.readNow();
    this.silence = new SilenceMeter(this.openedAt);
    this.activity = new PeerActivity(rawSocket);
    this.socket = new MessageSocket(rawSocket, this, guard);
    this.socket.requireMessage();
  }

  /** True when the peer has given this name. */
  isOf(vm: string): boolean {
    return this.peer === vm;
  }

  /** Ends the link when its peer is gone, so that the leases of the peer serve others. */
  handleTick(now: Millis): void {
    this.silence.handleTick(now);
    // While the peer reads too slowly, nothing is read from it (`pauseUntilDrained`).
    if (this.activity.checkProgress()) this.silence.reset();
    const silentMs = this.silence.measure();
    if (silentMs < DEAD_PEER_MS) return;
    this.host.log.warn('peer of a link is gone', {
      vm: this.peer,
      leases: this.held.size,
      silentMs,
      ageMs: now - this.openedAt,
    });
    this.observer.handleDeadPeer(this);
    this.socket.close('the peer is silent');
  }

  countLeases(): number {
    return this.held.size;
  }

  /** Tells the status; `answers` is the number of the ping that asked for it. */
  sendStatus({ isIsolated, isDraining }: HomeStatus, answers?: number): void {
    const configuration = this.host.readProof();
    this.send({
      ...{ type: 'status', isIsolated, isDraining, features: [...LINK_FEATURES] },
      ...(answers === undefined ? {} : { answers }),
      ...(configuration ? { configuration } : {}),
    });
  }

  close(reason: string): void {
    this.socket.close(reason);
  }

  handleMessage(message: unknown, bytes: number): void {
    const decoded = decodeEntryMessage(message);
    if (decoded.type !== 'hello' && !this.verified) {
      throw new LinkProtocolError('the first message is no hello');
    }
    match(decoded)
      .with({ type: 'hello' }, ({ version, vm }) => this.handleHello(version, vm))
      .with({ type: 'admit' }, (admit) => this.handleAdmit(admit, bytes))
      .with({ type: 'run' }, (run) => this.handleRun(run, bytes))
      .with({ type: 'busy' }, ({ lease, isBusy }) =>
        this.held.get(lease)?.lease?.updateBusy(isBusy),
      )
      .with({ type: 'release' }, ({ lease }) => this.end(lease, false))
      .with({ type: 'close' }, ({ lease }) => this.end(lease, true))
      .with({ type: 'permits' }, (permits) => this.answerPermits(permits))
      .with({ type: 'configuration' }, ({ number }) => this.answerConfiguration(number))
      .with({ type: 'ping' }, ({ number }) => this.sendStatus(this.host.readStatus(), number))
      .exhaustive();
  }

  handleClose(reason: string): void {
    if (this.held.size > 0) {
      this.host.log.info('link with work closed', {
        vm: this.peer,
        leases: this.held.size,
        reason,
      });
    }
    // Only the VM at the other end knows how its transactions were to end.
    [...this.held.keys()].forEach((lease) => this.end(lease, true));
    this.observer.handleClose(this);
  }

  private send(message: HomeMessage): void {
    if (!this.socket.send(message)) this.socket.pauseUntilDrained();
  }

  private answerPermits({ number, request }: PermitsMessage): void {
    this.verified
      ?.then((isVerified) => {
        const answer = isVerified && this.host.answerPermits(this.peer, request);
        if (answer) this.send({ type: 'issued', number, answer });
      })
      .catch((error: unknown) => this.socket.close(String(error)));
  }

  private answerConfiguration(number: number): void {
    this.verified
      ?.then((isVerified) => {
        if (isVerified) this.sendConfiguration(number);
      })
      .catch((error: unknown) => this.socket.close(String(error)));
  }

  /** Sends the configuration in force with the age of its proof; none that a link doesn't take. */
  private sendConfiguration(number: number): void {
    const inForce = this.host.readConfiguration();
    const configuration = inForce && toPassedConfiguration(inForce);
    const provedMsAgo = this.host.readProof()?.ageMs;
    const proof = provedMsAgo === undefined ? {} : { provedMsAgo };
    try {
      if (configuration) this.send({ type: 'configured', number, configuration, ...proof });
      else this.send({ type: 'configured', number });
    } catch (error) {
      this.host.log.warn('configuration not passed on', { vm: this.peer, error: String(error) });
      this.send({ type: 'configured', number });
    }
  }

  private handleHello(version: number, vm: string): void {
    if (version !== LINK_VERSION) {
      throw new LinkProtocolError(`version ${version} is not supported`);
    }
    this.peer = vm;
    this.verified = this.verify(vm);
    this.socket.pauseUntil(this.verified);
  }

  /** True when a VM of this name has registered the address that the link comes from. */
  private async verify(vm: string): Promise<boolean> {
    const { remoteAddress = '' } = this.rawSocket;
    try {
      const known = await this.host.findVm(vm, remoteAddress);
      if (known?.host === remoteAddress) {
        this.observer.handleVerified(this, vm);
        return true;
      }
    } catch (error) {
      this.host.log.info('peer not verified', { vm, error: String(error) });
    }
    this.host.log.warn('link of an unknown VM refused', { vm, from: remoteAddress });
    this.socket.close('unknown VM');
    return false;
  }

  private handleAdmit(admit: AdmitMessage, bytes: number): void {
    const { lease, group: name } = admit;
    const group = this.host.findLocalGroup(name);
    const { isDraining } = this.host.readStatus();
    const { memory } = this.socket.watch;
    const isFull = this.held.size >= MAX_LEASES_PER_LINK;
    if (!group || isDraining || isFull || !memory.startMessage(bytes)) {
      const reason = group ? 'this home takes no more work' : 'this VM is no home of the group';
      this.send({ type: 'refused', lease, reason, mayTryOther: true });
      return;
    }
    // Its own callers must not be handled by an older version than work that runs here.
    if (admit.request.version !== undefined) this.host.handleVersion(admit.request.version);
    const held = createHeldLease(group, admit);
    this.held.set(lease, held);
    this.admit(admit, held)
      .catch((error: unknown) => {
        this.host.log.error('admission failed', { vm: this.peer, error: String(error) });
        this.refuse(lease, held, 'an unexpected error', false);
      })
      .finally(() => memory.finishMessage(bytes));
  }

  /** Refuses work that has not run, unless the peer no longer waits for it. */
  private refuse(lease: number, held: HeldLease, reason: string, mayTryOther: boolean): void {
    if (this.held.get(lease) !== held) return;
    this.held.delete(lease);
    this.send({ type: 'refused', lease, reason, mayTryOther });
  }

  private async admit({ lease: id, request }: AdmitMessage, held: HeldLease): Promise<void> {
    if (!(await this.verified)) return;
    try {
      const work = toWorkRequest(request, this.host.clock.readNow());
      const lease = await held.group.admit(work);
      if (this.held.get(id) !== held) {
        lease.release();
        return;
      }
      this.held.set(id, { ...held, lease });
      const { instance, isLeader, after, latencyMs } = lease;
      this.send({
        ...{ type: 'granted', lease: id, instance, isLeader, latencyMs },
        ...(after ? { after } : {}),
      });
    } catch (error) {
      if (!(error instanceof NotRunError)) throw error;
      // A group that has moved to other homes stops with the work that waited here.
      const hasMoved = this.host.findLocalGroup(held.group.name) !== held.group;
      const { isIsolated, isDraining } = this.host.readStatus();
      const mayTryOther = hasMoved || isIsolated || isDraining;
      this.refuse(id, held, error.message, mayTryOther);
    }
  }

  private handleRun(message: RunMessage, bytes: number): void {
    const { lease: id } = message;
    const held = this.held.get(id);
    if (!held?.lease) {
      this.send({ type: 'broken', lease: id, reason: 'the lease has ended' });
      return;
    }
    // Behind another operation, whose outcome may be unknown, a reply would be taken for its own.
    if (held.running.size === 0 && !held.lease.connection.isUsable()) {
      this.end(id, true);
      this.sendReply(id, createRefusal('the connection broke before', 'idle'));
      return;
    }
    if (held.running.size === 0 && mustEndBeforeShutdown(held, message, this.host.shutdown)) {
      this.end(id, true);
      this.sendReply(id, createRefusal(SHUTTING_DOWN, 'idle'));
      return;
    }
    const { memory } = this.socket.watch;
    if (!memory.startMessage(bytes)) {
      this.guard.report('large request');
      const { state } = held.lease.connection;
      this.sendReply(id, createRefusal('too many large requests at this home', state));
      return;
    }
    held.running.add(message);
    const reply = this.run(message, held, held.lease);
    held.replies
      .add(
        reply,
        (one) => this.sendReply(id, one),
        (error) => this.endFailed(id, error),
      )
      .finally(() => {
        held.running.delete(message);
        memory.finishMessage(bytes);
      });
  }

  /** Ends a lease whose operation got no reply, and tells whether it may have run. */
  private endFailed(id: number, error: unknown): void {
    this.end(id, true);
    if (error instanceof NotSentError) this.sendReply(id, createRefusal(error.message, 'idle'));
    else this.send({ type: 'broken', lease: id, reason: String(error) });
  }

  private async run(message: RunMessage, held: HeldLease, lease: Lease): Promise<Reply> {
    const { lease: id, operation } = message;
    const state = readSessionState(message);
    const command = {
      ...(message.id === undefined ? {} : { id: message.id }),
      operation,
      ...(message.after ? { after: message.after } : {}),
    };
    const reply = await this.runOnInstance(id, lease, state, command);
    if (reply.failure?.verdict === 'readOnly') lease.handleDemotion();
    const isData = isDataOperation(operation);
    const isWrite = isData && state && findAccess(state, operation) === 'write';
    const isCommit = operation.kind === 'commit';
    if (isWrite ? held.writes.handleWrite(reply) : isCommit && held.writes.handleCommit(reply)) {
      // The work has ended; its connection serves others while the commit is proved.
      if (this.held.get(id) === held) this.held.set(id, { ...held, lease: undefined });
      lease.release();
      await lease.confirmCommit(reply.position, CONFIRMATION_TIMEOUT_MS);
    }
    return reply;
  }

  /** Runs a command and notes what became of it, unless it only ends or opens a transaction. */
  private async runOnInstance(
    id: number,
    lease: Lease,
    state: SessionState | undefined,
    command: SessionCommand,
  ): Promise<Reply> {
    const { clock } = this.host;
    const isData = isDataOperation(command.operation);
    const startedAt = clock.readNow();
    try {
      const reply = await sendInSession(lease.connection, state, command);
      const tookMs = clock.readNow() - startedAt;
      if (isData) {
        lease.recordLatency(tookMs);
        lease.handleReply(reply, tookMs);
      }
      return reply;
    } catch (error) {
      // The loss of a connection that this side has closed tells nothing of the instance.
      const isHeld = this.held.get(id)?.lease === lease;
      if (isData && isHeld) lease.handleLoss(clock.readNow() - startedAt);
      throw error;
    }
  }

  /** Sends a reply; one that is too large for a link ends its lease, and no other. */
  private sendReply(lease: number, reply: Reply): void {
    try {
      this.send(createReplyMessage(lease, reply));
    } catch (error) {
      this.end(lease, true);
      this.send({ type: 'broken', lease, reason: String(error) });
    }
  }

  private end(id: number, isClosed: boolean): void {
    const held = this.held.get(id);
    this.held.delete(id);
    if (!held?.lease) return;
    try {
      if (isClosed) held.lease.connection.close();
      held.lease.release();
    } catch (error) {
      // The other leases of the link are not affected.
      this.host.log.error('lease not ended', { vm: this.peer, error: String(error) });
    }
  }
}
