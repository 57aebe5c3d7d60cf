import type { Millis } from '../clock.js';
import { FailureDetector } from '../takeover/failuredetector.js';
import { VmListTracker } from './vmlist.js';
import { MemberTable } from './membertable.js';
import { PingTargets } from './pingtargets.js';
import { GossipQueue, TokenBucket } from '../configuration/gossipqueue.js';
import type { MemberUpdate } from './peer.js';
import type { ListedVm } from '../configuration/platform.js';
import { SuspicionTracker } from './suspicion.js';
import { PeerSync } from './peersync.js';
import { MembershipView, type Vm } from './vm.js';

/** Largest number of other VMs at which each VM pings all of them. */
const SMALL_FLEET = 8;
const SMALL_FLEET_INTERVAL_MS: Millis = 200;
const LARGE_FLEET_INTERVAL_MS: Millis = 500;
/** Interval between pings of a dead VM, by which the sides of a healed partition rejoin. */
const REPROBE_INTERVAL_MS: Millis = 2_000;
/** A dead VM is kept in the table for this long, so that old messages do not revive it. */
const DEAD_RETENTION_MS: Millis = 3_600_000;
/** Traffic limits; docs/membership.md derives them. */
const MAX_UPDATES = 32;
const UPDATE_BURST = 2_048;
const UPDATES_PER_SECOND = 6;
const PUSH_BURST = 10;
const PUSHES_PER_SECOND = 0.25;
/** Size limit of the table, dead VMs included; more than four times the largest fleet. */
const MAX_MEMBERS = 10_000;

/** What a ping and its answer carry. */
export interface MembershipMessage {
  readonly members: readonly MemberUpdate[];
  /** Digest of the sender's membership table. */
  readonly digest: number;
}

/** Options of a `Membership`. */
export interface MembershipOptions {
  readonly self: Vm;
  /** Greater than in every earlier process of this VM; a clock that steps back is tolerated. */
  readonly incarnation: number;
  readonly seeds: readonly Vm[];
  /** Returns an integer from 0 to `below` - 1. */
  readonly chooseNumber: (below: number) => number;
  readonly smallFleet?: number;
}

/**
 * A SWIM-like membership protocol. Each VM is pinged by a few others; one that misses a series of
 * pings is suspected, loses its duties, and is later declared dead. A VM refutes a suspicion with
 * a higher incarnation. Changes are piggybacked on pings, and a change in the platform's VM list
 * is treated like a message.
 *
 * Cost: each VM pings two others and is pinged by two every half second, and token buckets limit
 * the changes sent; docs/membership.md has the arithmetic for 2,400 nodes.
 */
export class Membership extends MembershipView {
  private own: MemberUpdate;

  private readonly table = new MemberTable();

  private readonly changedAt = new Map<string, Millis>();

  private readonly suspicions = new SuspicionTracker();

  private readonly sync = new PeerSync();

  private readonly vmList = new VmListTracker();

  private readonly detector = new FailureDetector();

  private readonly targets: PingTargets;

  private readonly gossip = new GossipQueue();

  private readonly updateBudget = new TokenBucket(UPDATE_BURST, UPDATES_PER_SECOND);

  private readonly pushBudget = new TokenBucket(PUSH_BURST, PUSHES_PER_SECOND);

  private readonly listeners = new Set<() => void>();

  private live: readonly Vm[] | undefined;

  private hasUnsentChange = false;

  private draining = false;

  private reprobeAt: Millis = REPROBE_INTERVAL_MS;

  constructor(private readonly options: MembershipOptions) {
    super();
    this.own = { vm: options.self, incarnation: options.incarnation, state: 'live' };
    this.targets = new PingTargets(options.self.id, options.smallFleet ?? SMALL_FLEET);
    this.updateOwn(this.own);
    options.seeds
      .filter(({ id }) => id !== options.self.id)
      .forEach((vm) => this.merge({ vm, incarnation: 0, state: 'live' }, 0));
  }

  get self(): Vm {
    return this.own.vm;
  }

  /** Sets the address once the port is known. */
  updateSelf(vm: Vm): void {
    this.updateOwn({ ...this.own, vm });
  }

  listLive(): readonly Vm[] {
    this.live ??= [this.own, ...this.table.list()]
      .filter(({ state }) => state === 'live')
      .map(({ vm }) => vm)
      .sort((a, b) => (a.id < b.id ? -1 : 1));
    return this.live;
  }

  addListener(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Returns the known state of a VM, for operators and tests. */
  find(id: string): MemberUpdate | undefined {
    return id === this.self.id ? this.own : this.table.find(id);
  }

  /** Lists the VMs that this one pings and therefore has connections to. */
  listPingTargets(): readonly Vm[] {
    return [...this.targets.list()].flatMap((id) => this.table.find(id)?.vm ?? []);
  }

  /** True while others have marked this VM as leaving although it is not draining. */
  isMarkedLeaving(): boolean {
    return this.own.state === 'leaving' && !this.draining;
  }

  /** Announces that this VM is leaving. */
  leave(): void {
    this.draining = true;
    if (this.own.state !== 'leaving') this.updateOwn({ ...this.own, state: 'leaving' });
  }

  /** Returns the VMs to ping now. */
  handleTick(now: Millis): readonly Vm[] {
    this.suspicions.listExpired(now).forEach((id) => this.declareDead(id, now));
    this.detector.updateTargets(this.targets.list(), now);
    const interval = this.targets.isSmall() ? SMALL_FLEET_INTERVAL_MS : LARGE_FLEET_INTERVAL_MS;
    const { pings, silent } = this.detector.handleTick(now, interval);
    silent.forEach((id) => this.raiseSuspicion(id, now));
    const pushes = this.requestPush(now) ? this.targets.list() : [];
    const ids = new Set([...pings, ...pushes, ...this.chooseReprobe(now)]);
    return [...ids].flatMap((id) => this.table.find(id)?.vm ?? []);
  }

  /** Composes a ping to `peer` or the answer to its ping. */
  createMessage(peer: string, now: Millis): MembershipMessage {
    const known = this.table.find(peer);
    const count = this.updateBudget.request(Math.min(MAX_UPDATES, this.gossip.size), now);
    const ids = new Set(this.gossip.send(count));
    if (!this.sync.isIntroducedTo(peer)) ids.add(this.self.id);
    // A VM that does not count as live must receive that update, so that it can refute it.
    if (known && known.state !== 'live') ids.add(peer);
    const members = [...ids].flatMap((id) => this.find(id) ?? []);
    const rest = this.sync.hasDiverged(peer) ? this.listWindow(peer, now) : [];
    return { members: [...members, ...rest], digest: this.computeDigest() };
  }

  handleMessage(from: string, message: MembershipMessage, now: Millis): void {
    message.members.forEach((update) => this.merge(update, now));
    this.sync.handleMessage(from, message.digest === this.computeDigest());
  }

  /** Handles the answer to a ping. */
  handleAnswer(from: string, message: MembershipMessage, now: Millis): void {
    this.detector.handleAnswer(from, now);
    this.handleMessage(from, message, now);
  }

  /** Handles changes that did not arrive with a ping. */
  handleMembers(members: readonly MemberUpdate[], now: Millis): void {
    members.forEach((update) => this.merge(update, now));
  }

  /**
   * Handles the platform's VM list, which lags. A suspect that is absent from it is declared dead,
   * but only if the list contains this VM: otherwise it may be too old to contain the suspect.
   */
  handleVmList(vms: readonly ListedVm[], now: Millis): void {
    this.vmList.handleVmList(vms).forEach((id) => {
      const known = this.find(id);
      if (known && known.state !== 'dead') this.merge({ ...known, state: 'leaving' }, now);
    });
    const isSelfListed = this.vmList.find(this.self.id) !== undefined;
    this.suspicions
      .listSuspects()
      .filter((id) => isSelfListed && this.vmList.find(id) === undefined)
      .forEach((id) => this.declareDead(id, now));
    if (this.isMarkedLeaving() && this.vmList.find(this.self.id) === 'live') {
      this.updateOwn({ ...this.own, incarnation: this.own.incarnation + 1, state: 'live' });
    }
  }

  private get fleetSize(): number {
    return this.table.size + 1;
  }

  private computeDigest(): number {
    const table = new MemberTable();
    table.merge(this.own);
    return (this.table.digest + table.digest) >>> 0;
  }

  private updateOwn(own: MemberUpdate): void {
    this.own = own;
    this.handleChange(own.vm.id);
  }

  private merge(update: MemberUpdate, now: Millis): void {
    const { id } = update.vm;
    if (id === this.self.id) {
      this.refute(update);
      return;
    }
    const before = this.table.find(id);
    if (!before && this.table.size >= MAX_MEMBERS) return;
    if (!this.table.merge(update)) return;
    this.changedAt.set(id, now);
    this.suspicions.handleChange(update, before, now);
    this.targets.handleChange(update);
    if (before?.incarnation !== update.incarnation) this.sync.remove(id);
    this.handleChange(id);
  }

  private handleChange(id: string): void {
    this.gossip.add(id, this.fleetSize);
    this.hasUnsentChange = true;
    this.live = undefined;
    this.listeners.forEach((listener) => listener());
  }

  /** Refutes wrong updates about this VM. */
  private refute(update: MemberUpdate): void {
    const { own } = this;
    if (update.incarnation < own.incarnation) return;
    if (update.incarnation === own.incarnation) {
      if (update.state === own.state || update.state === 'live') return;
      // The platform's list may show that this VM is leaving before the VM itself knows.
      if (update.state === 'leaving') {
        this.updateOwn({ ...own, state: 'leaving' });
        return;
      }
    }
    this.updateOwn({ ...own, incarnation: update.incarnation + 1 });
  }

  private raiseSuspicion(id: string, now: Millis): void {
    const known = this.table.find(id);
    if (!known || this.suspicions.isSuppressed(id, now)) return;
    if (known.state === 'leaving') this.suspicions.addUnresponsive(id, now);
    if (known.state !== 'live') return;
    this.suspicions.addOwnSuspicion(id);
    this.merge({ ...known, state: 'suspect' }, now);
  }

  private declareDead(id: string, now: Millis): void {
    const known = this.table.find(id);
    if (known) this.merge({ ...known, state: 'dead' }, now);
  }

  private requestPush(now: Millis): boolean {
    if (!this.hasUnsentChange || this.pushBudget.request(1, now) === 0) return false;
    this.hasUnsentChange = false;
    return true;
  }

  /** Chooses a dead VM to ping, and removes VMs other than seeds that have long been dead. */
  private chooseReprobe(now: Millis): readonly string[] {
    if (now < this.reprobeAt) return [];
    this.reprobeAt = now + REPROBE_INTERVAL_MS;
    const seeds = new Set(this.options.seeds.map(({ id }) => id));
    const dead = this.table.list().flatMap(({ vm, state }) => (state === 'dead' ? [vm.id] : []));
    dead
      .filter((id) => !seeds.has(id) && now - (this.changedAt.get(id) ?? 0) > DEAD_RETENTION_MS)
      .forEach((id) => this.remove(id));
    const id = dead[this.options.chooseNumber(Math.max(1, dead.length))];
    return id === undefined ? [] : [id];
  }

  private remove(id: string): void {
    this.table.remove(id);
    this.changedAt.delete(id);
    this.suspicions.remove(id);
    this.sync.remove(id);
  }

  /** Returns the next part of the table for a peer whose table differs. */
  private listWindow(peer: string, now: Millis): readonly MemberUpdate[] {
    const all = [this.own, ...this.table.list()];
    const count = this.updateBudget.request(Math.min(MAX_UPDATES, all.length), now);
    return this.sync.takeWindow(peer, all, count);
  }
}
