import type {
  BorrowGrant,
  BorrowRequest,
  Clock,
  ExchangeFeature,
  Millis,
  PeerExchange,
  PeerLink,
  Vm,
} from '@shallotpick/core';
import { RefusedError } from './errors.js';
import type { Log } from './log.js';
import type { GrpcPeerLink } from './peerlink.js';
import type { PeerHandler } from './peerserver.js';

const TICK_INTERVAL_MS: Millis = 25;
/** Observations count for one second, so a small fleet hears several within that time. */
const SMALL_INTERVAL_MS: Millis = 250;
/** Keeps the exchange within the budget of 6 KB a second; see docs/membership.md. */
const LARGE_INTERVAL_MS: Millis = 2_000;
const SMALL_FLEET = 8;
/** A link that has not been used for this long is closed. */
const LINK_IDLE_MS: Millis = 60_000;

type Collected = Partial<PeerExchange>;

export interface PeerExchangeServiceOptions {
  readonly self: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly features: readonly ExchangeFeature[];
  readonly createLink: (vm: Vm) => GrpcPeerLink;
  /** The peers of the regular exchange, without this VM. */
  readonly listPartners: () => readonly Vm[];
  /** Finds a live peer by id. */
  readonly findVm: (id: string) => Vm | undefined;
  readonly readNoteNumber: () => number;
  /** True when something must not wait for the next round. */
  readonly hasUpdates: (now: Millis) => boolean;
}

interface OpenLink {
  readonly vm: Vm;
  readonly link: GrpcPeerLink;
  usedAt: Millis;
}

/** Joins what the features have to tell into one message. */
export function mergeExchanges(
  from: string,
  noteNumber: number,
  parts: readonly Collected[],
): PeerExchange {
  return {
    from,
    noteNumber: Math.max(noteNumber, ...parts.map((part) => part.noteNumber ?? 0)),
    members: parts.flatMap(({ members }) => members ?? []),
    observations: parts.flatMap(({ observations }) => observations ?? []),
    records: parts.flatMap(({ records }) => records ?? []),
    notes: parts.flatMap(({ notes }) => notes ?? []),
    leaving: parts.flatMap(({ leaving }) => leaving ?? []),
  };
}

/** The traffic with the other daemons: links, the regular exchange, and answers to calls. */
export class PeerExchangeService implements Omit<PeerHandler, 'handlePing'> {
  /** Answers requests for quotas; set by the part that lends them. */
  borrowHandler: ((request: BorrowRequest) => Promise<BorrowGrant>) | undefined;

  private readonly links = new Map<string, OpenLink>();

  private readonly heard = new Map<string, PeerExchange>();

  /** Peers with an exchange in progress; true when another one is due right after it. */
  private readonly running = new Map<string, boolean>();

  private nextRoundAt: Millis = 0;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: PeerExchangeServiceOptions) {}

  start(): void {
    this.timer = setInterval(() => this.handleTick(), TICK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.links.forEach(({ link }) => link.close());
    this.links.clear();
  }

  /** Starts an exchange with `peers`, or with all partners, without waiting for the round. */
  startExchanges(peers: readonly Vm[] = this.options.listPartners()): void {
    peers.forEach((vm) => {
      if (this.running.has(vm.id)) this.running.set(vm.id, true);
      else this.runExchange(vm);
    });
  }

  /** The link to a peer, opened if needed. */
  connect(vm: Vm): GrpcPeerLink {
    const now = this.options.clock.readNow();
    const open = this.links.get(vm.id);
    if (open && open.vm.host === vm.host && open.vm.peerPort === vm.peerPort) {
      open.usedAt = now;
      return open.link;
    }
    open?.link.close();
    const link = this.options.createLink(vm);
    this.links.set(vm.id, { vm, link, usedAt: now });
    return link;
  }

  /** The link to a live peer by its id, for requests to lenders. */
  findLink(id: string): PeerLink | undefined {
    const vm = this.options.findVm(id);
    return vm && this.connect(vm);
  }

  handleExchange(message: PeerExchange): PeerExchange {
    this.handleMessage(message);
    return this.collect(message.from);
  }

  async handleBorrow(request: BorrowRequest): Promise<BorrowGrant> {
    if (!this.borrowHandler) throw new RefusedError('this daemon lends nothing');
    return this.borrowHandler(request);
  }

  private handleTick(): void {
    const now = this.options.clock.readNow();
    if (now >= this.nextRoundAt) {
      const partners = this.options.listPartners();
      const small = partners.length <= SMALL_FLEET;
      this.nextRoundAt = now + (small ? SMALL_INTERVAL_MS : LARGE_INTERVAL_MS);
      this.closeIdleLinks(now);
      this.startExchanges(partners);
    } else if (this.options.hasUpdates(now)) this.startExchanges();
  }

  private runExchange(vm: Vm): void {
    const { log } = this.options;
    this.running.set(vm.id, false);
    this.connect(vm)
      .exchange(this.collect(vm.id))
      .then((answer) => this.handleMessage({ ...answer, from: vm.id }))
      .catch((error: unknown) =>
        log.debug('exchange failed', { peer: vm.id, error: String(error) }),
      )
      .finally(() => {
        const again = this.running.get(vm.id);
        this.running.delete(vm.id);
        if (again && this.timer) this.runExchange(vm);
      });
  }

  private collect(peer: string): PeerExchange {
    const { self, clock, features, readNoteNumber } = this.options;
    const now = clock.readNow();
    const heard = this.heard.get(peer);
    const parts = features.flatMap((feature) => {
      const part = this.runFeature(feature, () => feature.collect(peer, heard, now));
      return part ? [part] : [];
    });
    return mergeExchanges(self, readNoteNumber(), parts);
  }

  private handleMessage(message: PeerExchange): void {
    // The texts of notes are for the features; keeping them would hold 1 MB for each peer.
    this.heard.set(message.from, { ...message, notes: [] });
    const now = this.options.clock.readNow();
    this.options.features.forEach((feature) => {
      this.runFeature(feature, () => feature.handle(message, now));
    });
  }

  /** A fault in one feature must not stop the others. */
  private runFeature<T>(feature: ExchangeFeature, run: () => T): T | undefined {
    try {
      return run();
    } catch (error) {
      const { name } = feature.constructor;
      this.options.log.error('exchange feature failed', { feature: name, error: String(error) });
      return undefined;
    }
  }

  private closeIdleLinks(now: Millis): void {
    this.links.forEach(({ link, usedAt }, id) => {
      if (now - usedAt < LINK_IDLE_MS) return;
      link.close();
      this.links.delete(id);
      this.heard.delete(id);
    });
  }
}
