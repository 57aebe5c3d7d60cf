import { createServer, type Server, type Socket } from 'node:net';
import type { InstanceRole, LogPosition, Millis } from '@shallotpick/core';
import { type Operation, wait } from '@shallotpick/engine';
import type { EmulatedGroup } from './group.js';
import { InstanceLog } from './instancelog.js';
import { InstanceSession } from './instancesession.js';
import { Slots } from './slots.js';

/** Term of an instance that has not heard of any leader. */
const INITIAL_TERM = 1;

/** Limits and costs of an instance. */
export interface EmulatedInstanceOptions {
  readonly id: string;
  readonly zone: string;
  readonly slots: number;
  readonly connectionLimit: number;
  /** Time for which a statement occupies a slot. */
  readonly statementCostMs: Millis;
  /** Time for which a new connection occupies a slot. */
  readonly connectCostMs: Millis;
}

/** A database instance with its log, its server and its connections. */
export class EmulatedInstance {
  log = new InstanceLog();

  /** Name under which the instance registers; a restart may change it. */
  id: string;

  /** True while the instance accepts connections and receives entries. */
  isAlive = false;

  isLeader = false;

  isLeaving = false;

  /** True while the instance receives no entries because of a fault, not of a takeover. */
  isReplicationStopped = false;

  /** Term of the takeover that paused replication at this instance; 0 when it is not paused. */
  heldTerm = 0;

  /** True while the instance reaches VMs and the other instances, but not the store. */
  isCutFromStore = false;

  /** Highest term that the instance has learned of. */
  term = INITIAL_TERM;

  /** Start time of the process in Unix milliseconds. */
  startedAt = 0;

  /** Number of starts of the process. */
  starts = 0;

  /** Number of status reports since the start. */
  sequence = 0;

  port = 0;

  private slots: Slots;

  private server: Server | undefined;

  private readonly sessions = new Set<InstanceSession>();

  constructor(
    readonly options: EmulatedInstanceOptions,
    readonly group: EmulatedGroup,
  ) {
    this.id = options.id;
    this.slots = new Slots(options.slots);
  }

  get role(): InstanceRole {
    return this.isLeader ? 'primary' : 'replica';
  }

  readPosition(): LogPosition {
    return this.log.readPosition();
  }

  /** Drops the log and what else the instance knows, so that its next start is empty. */
  dropLog(): void {
    this.group.handleDroppedLog(this.log);
    this.log = new InstanceLog();
    this.isLeader = false;
    this.term = INITIAL_TERM;
  }

  /** Starts the server on `port`; 0 picks a free one. */
  async start(port = this.port): Promise<void> {
    this.isAlive = true;
    this.startedAt = Date.now();
    this.starts += 1;
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

  /** Stops the server and closes its connections; the log is retained. */
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

  /** Applies a takeover operation; pause and stepDown are ignored unless their term is newer. */
  applyTakeoverOperation(order: Operation): void {
    if (order.kind === 'resume') this.heldTerm = 0;
    if (order.kind !== 'pause' && order.kind !== 'stepDown') return;
    if (order.term <= this.term) return;
    if (order.kind === 'stepDown') this.isLeader = false;
    else if (!this.isLeader) this.heldTerm = order.term;
  }

  /** Notes the term of the leader from which the instance receives. */
  updateTerm(term: number): void {
    this.term = Math.max(this.term, term);
  }

  /** Assigns the id under which the instance registers from its next start on. */
  updateId(id: string): void {
    this.id = id;
  }

  /** Sets the role and term of the instance after a promotion. */
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

  /** Occupies a slot for the duration of a statement. */
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
