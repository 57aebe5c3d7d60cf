import { randomUUID } from 'node:crypto';
import { createServer, type Server, type Socket } from 'node:net';
import type { DatabaseInstance } from '@shallotpick/core';
import { Backend } from './backend.js';
import type { StandinGroup } from './group.js';
import { Slots } from './slots.js';
import { type LogEntry, type RowChange, InstanceStorage } from './instancestorage.js';

/** Identity, limits and timing of a stand-in instance. */
export interface StandinInstanceOptions {
  readonly id: string;
  readonly zone: string;
  readonly slots: number;
  readonly connectionLimit: number;
  /** Time to open a connection. */
  readonly connectCostMs: number;
  /** Time for which a statement without a cost hint holds a slot. */
  readonly statementCostMs: number;
  /** Delay of responses, to simulate the latency between zones. */
  readonly answerDelayMs: number;
}

/** The lock of a transaction on an idempotency key. */
interface IdempotencyKeyLock {
  readonly owner: object;
  readonly released: Promise<void>;
}

/** An in-memory database instance with a replicated log, served over the PostgreSQL protocol. */
export class StandinInstance {
  storage = new InstanceStorage();

  /** Id of the life of the data; another one after the data was lost. */
  incarnation: string = randomUUID();

  readonly slots: Slots;

  role: 'primary' | 'replica' = 'replica';

  fenceTerm = 0;

  following = '';

  isPaused = false;

  /** Zones whose proxies get no responses. */
  readonly blockedZones = new Set<string>();

  /** Time on a replica from durable to visible. */
  applyLagMs = 0;

  /** Number of executed statements on data connections, by kind. */
  readonly statementCounts = { reads: 0, writes: 0 };

  /** Highest number of data connections open at once. */
  peakConnections = 0;

  /** Called at each stage of a statement on a data connection; true drops the connection there. */
  hasFault: ((text: string, stage: 'before' | 'after' | 'rows') => boolean) | undefined;

  private server: Server | undefined;

  private port = 0;

  private readonly backends = new Set<Backend>();

  private readonly idempotencyKeyLocks = new Map<string, IdempotencyKeyLock>();

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

  /** Drops every connection and stops listening; the log is retained, as on a disk. */
  async stop(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    this.backends.forEach((backend) => backend.close());
    if (!server) return;
    await new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
  }

  /** Loses the data directory; the instance must be stopped. Its fences are forgotten as well. */
  loseData(): void {
    this.storage = new InstanceStorage();
    this.incarnation = randomUUID();
    this.fenceTerm = 0;
    this.role = 'replica';
    this.following = '';
  }

  /** Cancels the statement of the connection with this cancel key. */
  cancel(processId: number, secret: number): void {
    [...this.backends].find((backend) => backend.hasCancelKey(processId, secret))?.cancel();
  }

  isUp(): boolean {
    return this.server !== undefined && !this.isPaused;
  }

  setApplyLag(lagMs: number): void {
    this.applyLagMs = lagMs;
  }

  /** Suspends all work until `resume`, as SIGSTOP does for a process. */
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

  /** Tells whether the instance is a primary that has not been fenced by a higher term. */
  isWritable(): boolean {
    return this.role === 'primary' && this.storage.readDurable().term >= this.fenceTerm;
  }

  /** Appends a transaction and schedules its shipping; false when the instance may not commit. */
  commit(changes: readonly RowChange[]): boolean {
    if (!this.isWritable()) return false;
    this.append({ term: this.storage.readDurable().term, changes });
    return true;
  }

  /** Grants a term at most once and demotes a primary; lower and equal terms are refused. */
  fence(term: number): boolean {
    if (term <= this.fenceTerm) return false;
    this.fenceTerm = term;
    if (this.role === 'primary') this.role = 'replica';
    this.following = '';
    return true;
  }

  promote(term: number, incarnation = this.incarnation): boolean {
    if (this.fenceTerm !== term || incarnation !== this.incarnation) return false;
    if (this.role === 'primary') return true;
    this.role = 'primary';
    this.following = this.options.id;
    this.storage.applyUpTo(Number.MAX_SAFE_INTEGER);
    this.append({ term, changes: [] });
    return true;
  }

  follow(term: number, primaryId: string): boolean {
    if (term < this.fenceTerm || primaryId === this.options.id) return false;
    const primary = this.group.findInstance(primaryId);
    if (!primary || !this.group.isLinked(this, primary)) return false;
    // A primary of another term, or one that is not promoted yet, accepts no follower of this term.
    if (primary.role !== 'primary' || primary.fenceTerm !== term) return false;
    this.fenceTerm = term;
    this.role = 'replica';
    this.following = primaryId;
    this.storage.truncateDivergentEntries(primary.storage);
    this.group.ship(primary, this);
    return true;
  }

  /** Appends entries from the primary that the instance follows, and applies them after the lag. */
  receiveEntries(primary: StandinInstance, entries: readonly LogEntry[]): void {
    if (this.following !== primary.options.id || this.server === undefined) return;
    this.storage.add(entries);
    const target = this.storage.readDurable().offset;
    if (this.applyLagMs <= 0) this.storage.applyUpTo(target);
    else setTimeout(() => this.storage.applyUpTo(target), this.applyLagMs).unref();
  }

  /** Waits until no other owner holds the key, then locks it; returns the release function. */
  async lockIdempotencyKey(key: string, owner: object): Promise<() => void> {
    for (
      let lock = this.idempotencyKeyLocks.get(key);
      lock;
      lock = this.idempotencyKeyLocks.get(key)
    ) {
      if (lock.owner === owner) return () => {};
      await lock.released;
    }
    let release = (): void => {};
    const released = new Promise<void>((resolve) => {
      release = () => {
        this.idempotencyKeyLocks.delete(key);
        resolve();
      };
    });
    this.idempotencyKeyLocks.set(key, { owner, released });
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
