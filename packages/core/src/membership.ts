import type { Millis } from './clock.js';
import { FailureDetector } from './failuredetector.js';
import { VmListTracker } from './vmlist.js';
import { MemberTable } from './membertable.js';
import { PingTargets } from './pingtargets.js';
import { GossipQueue, TokenBucket } from './gossipqueue.js';
import type { MemberUpdate } from './peer.js';
import type { ListedVm } from './platform.js';
import { SuspicionTracker } from './suspicion.js';
import { PeerSync } from './peersync.js';
import { MembershipView, type Vm } from './vm.js';

/** Up to this many other VMs, each VM pings all others. */
const SMALL_FLEET = 8;
const SMALL_INTERVAL_MS: Millis = 200;
const LARGE_INTERVAL_MS: Millis = 500;
/** A dead VM is pinged this often, so that the two sides of a healed partition meet again. */
const REPROBE_INTERVAL_MS: Millis = 2_000;
/** A dead VM is remembered for this long, so that old messages do not bring it back. */
const DEAD_RETENTION_MS: Millis = 3_600_000;
/** Bounds of the traffic; docs/membership.md has the arithmetic. */
const MAX_NEWS = 32;
const NEWS_BURST = 2_048;
const NEWS_PER_SECOND = 6;
const PUSH_BURST = 10;
const PUSHES_PER_SECOND = 0.25;
/** Entries of the table, dead ones included; more than four times the largest fleet. */
const MAX_MEMBERS = 10_000;

/** What a ping and its answer carry. */
export interface MembershipMessage {
  readonly members: readonly MemberUpdate[];
  /** Digest of what the sender believes. */
  readonly digest: number;
}

export interface MembershipOptions {
  readonly self: Vm;
  /** Greater than in every earlier life of this VM; a clock that steps back is tolerated. */
  readonly incarnation: number;
  readonly seeds: readonly Vm[];
  /** Returns an integer from 0 to `below` - 1. */
  readonly chooseNumber: (below: number) => number;
  readonly smallFleet?: number;
}

/**
 * The live VMs as this one believes them. Each VM is pinged by a few others; one that misses a
 * series of pings is suspect and loses its duties, and later dead. A VM contradicts with a higher
 * incarnation. Changes ride on pings, and a changed VM list of the platform counts as a message.
 *
 * Cost: each VM pings two others and is pinged by two every half second; token buckets limit changes;
 * docs/membership.md has the arithmetic for 2,400 nodes.
 */
export class Membership extends MembershipView {
  private own: MemberUpdate;

  private readonly table = new MemberTable();

  private readonly since = new Map<string, Millis>();

  private readonly suspicions = new SuspicionTracker();

  private readonly sync = new PeerSync();

  private readonly listing = new VmListTracker();

  private readonly detector = new FailureDetector();

  private readonly targets: PingTargets;

  private readonly news = new GossipQueue();

  private readonly newsBudget = new TokenBucket(NEWS_BURST, NEWS_PER_SECOND);

  private readonly pushBudget = new TokenBucket(PUSH_BURST, PUSHES_PER_SECOND);

  private readonly listeners = new Set<() => void>();

  private live: readonly Vm[] | undefined;

  private hasUrgentNews = false;

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

  /** What is believed of a VM, for operators and tests. */
  find(id: string): MemberUpdate | undefined {
    return id === this.self.id ? this.own : this.table.find(id);
  }

  /** The VMs that this one pings, hence has connections to. */
  listPingTargets(): readonly Vm[] {
    return [...this.targets.list()].flatMap((id) => this.table.find(id)?.vm ?? []);
  }

  /** True while this VM is told to be leaving although it does not drain. */
  isMarkedLeaving(): boolean {
    return this.own.state === 'leaving' && !this.draining;
  }

  /** Announces that this VM goes away. */
  leave(): void {
    this.draining = true;
    if (this.own.state !== 'leaving') this.updateOwn({ ...this.own, state: 'leaving' });
  }

  /** Returns the VMs to ping now. */
  handleTick(now: Millis): readonly Vm[] {
    this.suspicions.listExpired(now).forEach((id) => this.bury(id, now));
    this.detector.updateTargets(this.targets.list(), now);
    const interval = this.targets.isSmall() ? SMALL_INTERVAL_MS : LARGE_INTERVAL_MS;
    const { pings, silent } = this.detector.handleTick(now, interval);
    silent.forEach((id) => this.accuse(id, now));
    const pushes = this.requestPush(now) ? this.targets.list() : [];
    const ids = new Set([...pings, ...pushes, ...this.chooseReprobe(now)]);
    return [...ids].flatMap((id) => this.table.find(id)?.vm ?? []);
  }

  /** Composes a ping to `peer` or the answer to its ping. */
  createMessage(peer: string, now: Millis): MembershipMessage {
    const known = this.table.find(peer);
    const count = this.newsBudget.request(Math.min(MAX_NEWS, this.news.size), now);
    const ids = new Set(this.news.send(count));
    if (!this.sync.isIntroducedTo(peer)) ids.add(this.self.id);
    // A VM that is not believed live has to hear so in order to contradict.
    if (known && known.state !== 'live') ids.add(peer);
    const members = [...ids].flatMap((id) => this.find(id) ?? []);
    const rest = this.sync.hasDiverged(peer) ? this.listWindow(peer, now) : [];
    return { members: [...members, ...rest], digest: this.computeDigest() };
  }

  handleMessage(from: string, message: MembershipMessage, now: Millis): void {
    message.members.forEach((update) => this.merge(update, now));
    this.sync.handleMessage(from, message.digest === this.computeDigest());
  }

  /** Takes in the answer to a ping. */
  handleAnswer(from: string, message: MembershipMessage, now: Millis): void {
    this.detector.handleAnswer(from, now);
    this.handleMessage(from, message, now);
  }

  /** Takes in changes that came by another way than pings. */
  handleMembers(members: readonly MemberUpdate[], now: Millis): void {
    members.forEach((update) => this.merge(update, now));
  }

  /**
   * Takes in the platform's list, which lags. Absence from it turns a suspect into a dead VM, but
   * only once the list knows this VM, which may be as young.
   */
  handleVmList(listing: readonly ListedVm[], now: Millis): void {
    this.listing.handleVmList(listing).forEach((id) => {
      const known = this.find(id);
      if (known && known.state !== 'dead') this.merge({ ...known, state: 'leaving' }, now);
    });
    const knowsSelf = this.listing.find(this.self.id) !== undefined;
    this.suspicions
      .listSuspects()
      .filter((id) => knowsSelf && this.listing.find(id) === undefined)
      .forEach((id) => this.bury(id, now));
    if (this.isMarkedLeaving() && this.listing.find(this.self.id) === 'live') {
      this.updateOwn({ ...this.own, incarnation: this.own.incarnation + 1, state: 'live' });
    }
  }

  private get fleet(): number {
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
      this.contradict(update);
      return;
    }
    const before = this.table.find(id);
    if (!before && this.table.size >= MAX_MEMBERS) return;
    if (!this.table.merge(update)) return;
    this.since.set(id, now);
    this.suspicions.handleChange(update, before, now);
    this.targets.handleChange(update);
    if (before?.incarnation !== update.incarnation) this.sync.remove(id);
    this.handleChange(id);
  }

  private handleChange(id: string): void {
    this.news.add(id, this.fleet);
    this.hasUrgentNews = true;
    this.live = undefined;
    this.listeners.forEach((listener) => listener());
  }

  /** Answers what others say of this VM. */
  private contradict(update: MemberUpdate): void {
    const { own } = this;
    if (update.incarnation < own.incarnation) return;
    if (update.incarnation === own.incarnation) {
      if (update.state === own.state || update.state === 'live') return;
      // The platform's list may know of the end of this VM before the VM does.
      if (update.state === 'leaving') {
        this.updateOwn({ ...own, state: 'leaving' });
        return;
      }
    }
    this.updateOwn({ ...own, incarnation: update.incarnation + 1 });
  }

  private accuse(id: string, now: Millis): void {
    const known = this.table.find(id);
    if (!known || this.suspicions.isSuppressed(id, now)) return;
    if (known.state === 'leaving') this.suspicions.addUnresponsive(id, now);
    if (known.state !== 'live') return;
    this.suspicions.addOwnSuspicion(id);
    this.merge({ ...known, state: 'suspect' }, now);
  }

  private bury(id: string, now: Millis): void {
    const known = this.table.find(id);
    if (known) this.merge({ ...known, state: 'dead' }, now);
  }

  private requestPush(now: Millis): boolean {
    if (!this.hasUrgentNews || this.pushBudget.request(1, now) === 0) return false;
    this.hasUrgentNews = false;
    return true;
  }

  /** Chooses one dead VM or seed to ping, and forgets those that have been dead for long. */
  private chooseReprobe(now: Millis): readonly string[] {
    if (now < this.reprobeAt) return [];
    this.reprobeAt = now + REPROBE_INTERVAL_MS;
    const seeds = new Set(this.options.seeds.map(({ id }) => id));
    const dead = this.table.list().flatMap(({ vm, state }) => (state === 'dead' ? [vm.id] : []));
    dead
      .filter((id) => !seeds.has(id) && now - (this.since.get(id) ?? 0) > DEAD_RETENTION_MS)
      .forEach((id) => this.remove(id));
    const id = dead[this.options.chooseNumber(Math.max(1, dead.length))];
    return id === undefined ? [] : [id];
  }

  private remove(id: string): void {
    this.table.remove(id);
    this.since.delete(id);
    this.suspicions.remove(id);
    this.sync.remove(id);
  }

  /** The next part of the table for a peer that believes something else. */
  private listWindow(peer: string, now: Millis): readonly MemberUpdate[] {
    const all = [this.own, ...this.table.list()];
    const count = this.newsBudget.request(Math.min(MAX_NEWS, all.length), now);
    return this.sync.takeWindow(peer, all, count);
  }
}
