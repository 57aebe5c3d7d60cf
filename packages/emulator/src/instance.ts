import { createServer, type Server, type Socket } from 'node:net';
import type { InstanceRole, LogPosition, Millis } from '@shallotpick/core';
import { type Operation, wait } from '@shallotpick/engine';
import type { EmulatedGroup } from './group.js';
import { InstanceLog } from './instancelog.js';
import { InstanceSession } from './instancesession.js';
import { Slots } from './slots.js';

export interface EmulatedInstanceOptions {
  readonly id: string;
  readonly zone: string;
  readonly slots: number;
  readonly connectionLimit: number;
  /** Time that a statement keeps a slot. */
  readonly statementCostMs: Millis;
  /** Time that a new connection keeps a slot. */
  readonly connectCostMs: Millis;
}

/** One database instance: its log, its connections and its server. */
export class EmulatedInstance {
  readonly log = new InstanceLog();

  /** Accepts connections and receives entries. */
  isAlive = false;

  isLeader = false;

  isLeaving = false;

  /** Receives nothing, without an order. */
  isReplicationStopped = false;

  /** Term of the order that keeps the instance from receiving; 0 when it receives. */
  heldTerm = 0;

  /** Newest term that the instance has seen. */
  term = 1;

  /** When the process started, Unix milliseconds. */
  startedAt = 0;

  /** Status report number since the start. */
  sequence = 0;

  port = 0;

  private slots: Slots;

  private server: Server | undefined;

  private readonly sessions = new Set<InstanceSession>();

  constructor(
    readonly options: EmulatedInstanceOptions,
    readonly group: EmulatedGroup,
  ) {
    this.slots = new Slots(options.slots);
  }

  get id(): string {
    return this.options.id;
  }

  get role(): InstanceRole {
    return this.isLeader ? 'primary' : 'replica';
  }

  readPosition(): LogPosition {
    return this.log.readPosition();
  }

  /** Starts the process on `port`; 0 picks one. */
  async start(port = this.port): Promise<void> {
    this.isAlive = true;
    this.startedAt = Date.now();
    this.sequence = 0;
    this.heldTerm = 0;
    this.slots = new Slots(this.options.slots);
    const server = createServer((socket) => this.accept(socket));
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, '127.0.0.1', resolve);
    });
    const address = server.address();
    if (address && typeof address === 'object') this.port = address.port;
  }

  /** Ends the process: its connections break, its log stays. */
  async stop(): Promise<void> {
    this.isAlive = false;
    const { server } = this;
    this.server = undefined;
    this.sessions.forEach((session) => session.close());
    this.sessions.clear();
    if (!server) return;
    await new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
  }

  /** Carries out an order of a takeover; one of a term that is not newer does nothing. */
  applyTakeoverOperation(order: Operation): void {
    if (order.kind === 'resume') this.heldTerm = 0;
    if (order.kind !== 'pause' && order.kind !== 'stepDown') return;
    if (order.term <= this.term) return;
    if (order.kind === 'stepDown') this.isLeader = false;
    else if (!this.isLeader) this.heldTerm = order.term;
  }

  /** The instance learns who leads from now on. */
  updateLeadership(leads: boolean, term: number): void {
    this.isLeader = leads;
    this.term = term;
    if (leads) this.heldTerm = 0;
  }

  countConnections(): number {
    return this.sessions.size;
  }

  isWithinConnectionLimit(): boolean {
    return this.sessions.size <= this.options.connectionLimit;
  }

  /** Keeps a slot for the time of a statement. */
  async occupySlot(durationMs: Millis = this.options.statementCostMs): Promise<void> {
    await this.slots.run(() => wait(durationMs));
  }

  removeSession(session: InstanceSession): void {
    this.sessions.delete(session);
  }

  private accept(socket: Socket): void {
    if (!this.isAlive) {
      socket.destroy();
      return;
    }
    this.sessions.add(new InstanceSession(socket, this));
  }
}
