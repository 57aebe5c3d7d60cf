import { createServer, type Server, type Socket } from 'node:net';
import type { DatabaseInstance } from '@shallotpick/core';
import { Backend } from './backend.js';
import type { StandinGroup } from './group.js';
import { Slots } from './slots.js';
import { type LogEntry, type RowChange, InstanceStorage } from './instancestorage.js';

/** Behaviour of one stand-in instance. */
export interface StandinInstanceOptions {
  readonly id: string;
  readonly zone: string;
  readonly slots: number;
  readonly connectionLimit: number;
  /** Time to open a connection. */
  readonly connectCostMs: number;
  /** Time for which a statement without a cost of its own holds a slot. */
  readonly statementCostMs: number;
  /** One-way delay of answers, for the distance between zones. */
  readonly answerDelayMs: number;
}

interface OnceLock {
  readonly owner: object;
  readonly released: Promise<void>;
}

/** A database server with a replicated log, served over the PostgreSQL protocol. */
export class StandinInstance {
  readonly storage = new InstanceStorage();

  readonly slots: Slots;

  role: 'primary' | 'replica' = 'replica';

  fenceTerm = 0;

  following = '';

  isPaused = false;

  /** Zones whose proxies get no answers, and instances that are out of reach. */
  readonly blockedZones = new Set<string>();

  /** Time between durable and visible on a replica. */
  applyLagMs = 0;

  /** Sum of statements that ran to completion, by kind. */
  readonly statementCounts = { reads: 0, writes: 0 };

  /** Most data connections open at once. */
  peakConnections = 0;

  /** Asked around each statement of a data connection; true drops the connection there. */
  hasFault: ((text: string, stage: 'before' | 'after' | 'rows') => boolean) | undefined;

  private server: Server | undefined;

  private port = 0;

  private readonly backends = new Set<Backend>();

  private readonly onceLocks = new Map<string, OnceLock>();

  constructor(
    readonly options: StandinInstanceOptions,
    readonly group: StandinGroup,
  ) {
    this.slots = new Slots(options.slots);
  }

  async start(): Promise<void> {
    const server = createServer((socket) => this.handleSocket(socket));
    this.server = server;
    await new Promise<void>((resolve) => {
      server.listen(this.port, '127.0.0.1', resolve);
    });
    const address = server.address();
    if (address && typeof address === 'object') this.port = address.port;
    this.group.shipAll();
  }

  /** Drops every connection and stops listening; the log stays, as on a disk. */
  async stop(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    this.backends.forEach((backend) => backend.close());
    if (!server) return;
    await new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
  }

  /** Interrupts the statement of the connection that was given this key. */
  cancel(processId: number, secret: number): void {
    [...this.backends].find((backend) => backend.hasCancelKey(processId, secret))?.cancel();
  }

  isUp(): boolean {
    return this.server !== undefined && !this.isPaused;
  }

  setApplyLag(lagMs: number): void {
    this.applyLagMs = lagMs;
  }

  /** Holds all work, as a stopped process would, until `resume`. */
  pause(): void {
    this.isPaused = true;
  }

  resume(): void {
    this.isPaused = false;
    this.backends.forEach((backend) => backend.processPending());
    this.group.shipAll();
  }

  blockZone(zone: string): void {
    this.blockedZones.add(zone);
  }

  unblockZones(): void {
    this.blockedZones.clear();
    this.backends.forEach((backend) => backend.processPending());
  }

  toDatabaseInstance(): DatabaseInstance {
    const { id, zone, slots, connectionLimit } = this.options;
    return { id, zone, slots, connectionLimit, host: '127.0.0.1', port: this.port };
  }

  countConnections(): number {
    return [...this.backends].filter(({ isControl, isStarted: started }) => started && !isControl)
      .length;
  }

  /** True when the instance may take writes in the term of its last entry. */
  isWritable(): boolean {
    return this.role === 'primary' && this.storage.readDurable().term >= this.fenceTerm;
  }

  /** Appends a transaction and ships it; false when the instance may not commit. */
  commit(changes: readonly RowChange[]): boolean {
    if (!this.isWritable()) return false;
    this.append({ term: this.storage.readDurable().term, changes });
    return true;
  }

  /** Grants a term at most once, durably; lower and equal terms are refused. */
  fence(term: number): boolean {
    if (term <= this.fenceTerm) return false;
    this.fenceTerm = term;
    if (this.role === 'primary') this.role = 'replica';
    this.following = '';
    return true;
  }

  promote(term: number): boolean {
    if (this.fenceTerm !== term) return false;
    if (this.role === 'primary') return true;
    this.role = 'primary';
    this.following = this.options.id;
    this.storage.applyUpTo(Number.MAX_SAFE_INTEGER);
    this.append({ term, changes: [] });
    return true;
  }

  follow(term: number, primary: string): boolean {
    if (term < this.fenceTerm || primary === this.options.id) return false;
    const leader = this.group.findInstance(primary);
    if (!leader || !this.group.isLinked(this, leader)) return false;
    // A former primary, or one not promoted yet, does not accept a follower of this term.
    if (leader.role !== 'primary' || leader.fenceTerm !== term) return false;
    this.fenceTerm = term;
    this.role = 'replica';
    this.following = primary;
    this.storage.truncateDivergentEntries(leader.storage);
    this.group.ship(leader, this);
    return true;
  }

  /** Takes entries of the stream of the primary that the instance follows. */
  receiveEntries(leader: StandinInstance, entries: readonly LogEntry[]): void {
    if (this.following !== leader.options.id || this.server === undefined) return;
    this.storage.add(entries);
    const target = this.storage.readDurable().offset;
    if (this.applyLagMs <= 0) this.storage.applyUpTo(target);
    else setTimeout(() => this.storage.applyUpTo(target), this.applyLagMs).unref();
  }

  /** Waits until no other transaction holds the key, then holds it for `owner` until `release`. */
  async lockIdempotencyKey(key: string, owner: object): Promise<() => void> {
    for (let lock = this.onceLocks.get(key); lock; lock = this.onceLocks.get(key)) {
      if (lock.owner === owner) return () => {};
      await lock.released;
    }
    let release = (): void => {};
    const released = new Promise<void>((resolve) => {
      release = () => {
        this.onceLocks.delete(key);
        resolve();
      };
    });
    this.onceLocks.set(key, { owner, released });
    return release;
  }

  private append(entry: LogEntry): void {
    this.storage.add([entry]);
    this.storage.applyUpTo(Number.MAX_SAFE_INTEGER);
    this.group.scheduleShipping(this);
  }

  private handleSocket(socket: Socket): void {
    const backend = new Backend(this, socket, () => this.backends.delete(backend));
    this.backends.add(backend);
  }
}
