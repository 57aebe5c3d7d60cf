import {
  type FenceAnswer,
  type InstanceStatus,
  LOG_START,
  type LogPosition,
} from '@shallotpick/core';
import type { Endpoint, SimulatedNetwork } from './network.js';

const MAX_TRANSACTION = 5;

/** One committed transaction in the log of a fake instance. */
export interface LogEntry {
  readonly id: number;
  readonly term: number;
  /** Place in the log, counted from 1. */
  readonly offset: number;
  readonly committedAt: number;
}

/** What the checks are told about promotions. */
export type PromotionListener = (instance: FakeInstance, term: number) => void;

/** An instance as docs/instance-contract.md describes it, without sockets or rows. */
export class FakeInstance implements Endpoint {
  isDown = false;

  pausedUntil = 0;

  epoch = 0;

  role: 'primary' | 'replica' = 'replica';

  fenceTerm = 0;

  following = '';

  /** Time between durable and visible on a replica. */
  applyLagMs = 0;

  entries: LogEntry[] = [];

  private appliedCount = 0;

  private peers: readonly FakeInstance[] = [];

  constructor(
    readonly id: string,
    readonly zone: string,
    private readonly world: SimulatedNetwork,
    private readonly onPromotion: PromotionListener,
  ) {}

  updatePeers(peers: readonly FakeInstance[]): void {
    this.peers = peers.filter((peer) => peer !== this);
  }

  readDurable(): LogPosition {
    return this.readPosition(this.entries.length);
  }

  readStatus(requestedAt: number): InstanceStatus {
    const { id, role, fenceTerm, following } = this;
    return {
      instance: id,
      role,
      fenceTerm,
      following,
      durable: this.readDurable(),
      applied: this.readPosition(this.appliedCount),
      connections: 0,
      running: 0,
      requestedAt,
    };
  }

  /** True when reads see the entry. */
  hasApplied({ id, offset }: LogEntry): boolean {
    return offset <= this.appliedCount && this.entries[offset - 1]?.id === id;
  }

  commit(id: number): LogEntry | undefined {
    if (this.role !== 'primary' || this.readDurable().term < this.fenceTerm) return undefined;
    // Transactions differ in length, so that a branch with fewer of them may be the longer one.
    const length = Math.floor(this.world.random() * MAX_TRANSACTION);
    for (let part = 0; part < length; part++) this.append(0);
    return this.append(id);
  }

  fence(term: number): FenceAnswer {
    const granted = term > this.fenceTerm;
    if (granted) {
      this.fenceTerm = term;
      this.role = 'replica';
      this.stopReplication();
    }
    return { instance: this.id, term, granted, durable: this.readDurable() };
  }

  promote(term: number): boolean {
    if (this.fenceTerm !== term) return false;
    if (this.role === 'primary') return true;
    this.role = 'primary';
    this.following = this.id;
    this.onPromotion(this, term);
    this.append(-term);
    return true;
  }

  follow(term: number, primary: string): boolean {
    const leader = this.peers.find(({ id }) => id === primary);
    if (term < this.fenceTerm || !leader || !this.isLinked(leader)) return false;
    if (leader.role !== 'primary' || leader.fenceTerm !== term) return false;
    this.fenceTerm = term;
    this.role = 'replica';
    this.following = primary;
    this.removeDeadBranch(leader);
    leader.ship(this);
    return true;
  }

  /** Sends what the followers lack; called at intervals and after each commit. */
  replicateToPeers(): void {
    if (this.role === 'primary') this.peers.forEach((peer) => this.ship(peer));
  }

  protected stopReplication(): void {
    this.following = '';
  }

  private ship(replica: FakeInstance): void {
    const { fenceTerm: term, id } = this;
    const { length } = replica.entries;
    if (replica.following !== id || replica.readDurable().term !== this.readPosition(length).term) {
      return;
    }
    const entries = this.entries.slice(length);
    if (entries.length > 0) {
      this.world.send(this, replica, () => replica.receive(id, term, entries));
    }
  }

  /** A message of a stream of another term belongs to a connection that is closed. */
  protected isCurrentStream(leader: string, term: number): boolean {
    return this.following === leader && this.fenceTerm === term;
  }

  private receive(leader: string, term: number, entries: readonly LogEntry[]): void {
    const first = entries[0]?.offset ?? 0;
    if (!this.isCurrentStream(leader, term) || first !== this.entries.length + 1) return;
    this.entries.push(...entries);
    const target = this.entries.length;
    this.world.schedule(this.applyLagMs, () => {
      this.appliedCount = Math.min(Math.max(this.appliedCount, target), this.entries.length);
    });
  }

  private append(id: number): LogEntry {
    const { now: committedAt } = this.world;
    const offset = this.entries.length + 1;
    const entry: LogEntry = { id, term: this.fenceTerm, offset, committedAt };
    this.entries.push(entry);
    this.appliedCount = offset;
    this.replicateToPeers();
    return entry;
  }

  private isLinked(other: FakeInstance): boolean {
    const isUp = !other.isDown && other.pausedUntil <= this.world.now;
    return isUp && !this.world.isCut(this, other);
  }

  private removeDeadBranch(leader: FakeInstance): void {
    let common = Math.min(this.entries.length, leader.entries.length);
    while (common > 0 && this.entries[common - 1]?.term !== leader.entries[common - 1]?.term) {
      common -= 1;
    }
    this.entries = this.entries.slice(0, common);
    this.appliedCount = Math.min(this.appliedCount, common);
  }

  private readPosition(offset: number): LogPosition {
    const term = this.entries[offset - 1]?.term;
    return term === undefined ? LOG_START : { term, offset };
  }
}
