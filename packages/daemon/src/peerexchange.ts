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
/** Observations expire after one second; a small fleet receives several within that time. */
const SMALL_INTERVAL_MS: Millis = 250;
/** Keeps the exchange within its budget of 6 KB a second; see docs/membership.md. */
const LARGE_INTERVAL_MS: Millis = 2_000;
const MAX_SMALL_FLEET = 8;
/** Links that have been idle for this long are closed. */
const LINK_IDLE_MS: Millis = 60_000;
const MAX_ERROR_LENGTH = 500;

/** The part of an exchange message that one feature provides. */
type PartialExchange = Partial<PeerExchange>;

/** Options of {@link PeerExchangeService}. */
export interface PeerExchangeServiceOptions {
  readonly self: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly features: readonly ExchangeFeature[];
  readonly createLink: (vm: Vm) => GrpcPeerLink;
  /** Lists the peers of the periodic exchange, without this VM. */
  readonly listExchangePeers: () => readonly Vm[];
  /** Finds a live peer by id. */
  readonly findVm: (id: string) => Vm | undefined;
  readonly readNoteNumber: () => number;
  /** True when a feature has an update to send before the next round. */
  readonly hasUpdates: (now: Millis) => boolean;
}

/** An open link and the time of its last use. */
interface OpenLink {
  readonly vm: Vm;
  readonly link: GrpcPeerLink;
  usedAt: Millis;
}

/** Merges the parts of the exchange features into one message. */
export function mergeExchanges(
  from: string,
  noteNumber: number,
  parts: readonly PartialExchange[],
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

/** Runs the periodic exchange with peers, manages the links and handles incoming calls. */
export class PeerExchangeService implements Omit<PeerHandler, 'handlePing'> {
  /** Handles quota requests of peers. */
  borrowHandler: ((request: BorrowRequest) => Promise<BorrowGrant>) | undefined;

  private readonly links = new Map<string, OpenLink>();

  private readonly lastMessages = new Map<string, PeerExchange>();

  /** Peers with an exchange in progress; true when another one must follow it. */
  private readonly running = new Map<string, boolean>();

  /** Last error of each feature, so that a repeated one is logged once. */
  private readonly featureErrors = new Map<ExchangeFeature, string>();

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

  /** Starts an exchange with `peers`, by default with all exchange peers, before the next round. */
  startExchanges(peers: readonly Vm[] = this.options.listExchangePeers()): void {
    peers.forEach((vm) => {
      if (this.running.has(vm.id)) this.running.set(vm.id, true);
      else this.runExchange(vm);
    });
  }

  /** Returns the link to a peer, opening it if needed. */
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

  /** Finds the link to a live peer by id, for quota requests. */
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
      const exchangePeers = this.options.listExchangePeers();
      const isSmall = exchangePeers.length <= MAX_SMALL_FLEET;
      this.nextRoundAt = now + (isSmall ? SMALL_INTERVAL_MS : LARGE_INTERVAL_MS);
      this.closeIdleLinks(now);
      this.startExchanges(exchangePeers);
    } else if (this.options.hasUpdates(now)) this.startExchanges();
  }

  private runExchange(vm: Vm): void {
    const { log } = this.options;
    this.running.set(vm.id, false);
    this.exchange(vm)
      .catch((error: unknown) =>
        log.debug('exchange failed', { peer: vm.id, error: String(error) }),
      )
      .finally(() => {
        const isRepeatDue = this.running.get(vm.id);
        this.running.delete(vm.id);
        if (isRepeatDue && this.timer) this.runExchange(vm);
      });
  }

  /** Rejects also when no link can be opened to the address that others have told. */
  private async exchange(vm: Vm): Promise<void> {
    const response = await this.connect(vm).exchange(this.collect(vm.id));
    this.handleMessage({ ...response, from: vm.id });
  }

  private collect(peer: string): PeerExchange {
    const { self, clock, features, readNoteNumber } = this.options;
    const now = clock.readNow();
    const lastMessage = this.lastMessages.get(peer);
    const parts = features.flatMap((feature) => {
      const part = this.runFeature(feature, () => feature.collect(peer, lastMessage, now));
      return part ? [part] : [];
    });
    return mergeExchanges(self, readNoteNumber(), parts);
  }

  private handleMessage(message: PeerExchange): void {
    // Drops the texts of the notes, which would hold up to 1 MB per peer.
    this.lastMessages.set(message.from, { ...message, notes: [] });
    const now = this.options.clock.readNow();
    this.options.features.forEach((feature) => {
      this.runFeature(feature, () => feature.handle(message, now));
    });
  }

  /** Isolates the features: an error in one does not stop the others. */
  private runFeature<T>(feature: ExchangeFeature, run: () => T): T | undefined {
    try {
      return run();
    } catch (error) {
      const { name } = feature.constructor;
      const text = String(error).slice(0, MAX_ERROR_LENGTH);
      if (this.featureErrors.get(feature) === text) return undefined;
      this.featureErrors.set(feature, text);
      this.options.log.error('exchange feature failed', { feature: name, error: text });
      return undefined;
    }
  }

  private closeIdleLinks(now: Millis): void {
    this.links.forEach(({ link, usedAt }, id) => {
      if (now - usedAt < LINK_IDLE_MS) return;
      link.close();
      this.links.delete(id);
      this.lastMessages.delete(id);
    });
  }
}
