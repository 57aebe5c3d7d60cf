import { createServer, type Server } from 'node:net';
import { type Millis, type PermitAnswer, type PermitRequest, rankVms } from '@shallotpick/core';
import {
  type ClientGuard,
  createCounter,
  Forwarding,
  type ForwardingHost,
  GroupAccess,
  type HomeStatus,
  type Lease,
  NotRunError,
  type ReceivedConfiguration,
  type VmAddress,
  waitAtMost,
  type WorkRequest,
} from '@shallotpick/engine';
import { LinkAddressError } from './errors.js';
import { EntryLink, type EntryLinkObserver } from './home.js';
import { HomeLink } from './link.js';

/** Homes that are asked for one request, the first one included. */
const MAX_HOMES_TRIED = 3;
/** A link to a home of another zone is closed after it has had no work for this long. */
const UNUSED_LINK_MS: Millis = 10_000;
/** Delay before a link that failed is opened again. */
const RECONNECT_MS: Millis = 300;
const CONFIGURATION_TIMEOUT_MS: Millis = 1_000;

function rankHomes(
  homes: readonly VmAddress[],
  group: string,
  organisation: string,
): readonly VmAddress[] {
  const ids = homes.map(({ id }) => id);
  const ranked = rankVms(`${group}|${organisation}`, ids);
  return [...homes].sort((a, b) => ranked.indexOf(a.id) - ranked.indexOf(b.id));
}

/** Where the links of other VMs are accepted. */
export interface LinkAddress {
  readonly host: string;
  readonly port: number;
}

/** A group that other VMs serve. */
class ForwardedGroup extends GroupAccess {
  constructor(
    private readonly name: string,
    private readonly forwarder: LinkForwarding,
  ) {
    super();
  }

  override async admit(request: WorkRequest): Promise<Lease> {
    return this.forwarder.admit(this.name, request);
  }
}

/** Passes work on over one link for each pair of VMs. */
export class LinkForwarding extends Forwarding implements EntryLinkObserver {
  private readonly links = new Map<string, HomeLink>();

  private readonly entries = new Set<EntryLink>();

  private readonly failedAt = new Map<string, Millis>();

  private readonly groups = new Map<string, ForwardedGroup>();

  private readonly server: Server;

  private readonly forwarded;

  private readonly deadPeers;

  private turn = 0;

  private status: HomeStatus | undefined;

  constructor(
    private readonly host: ForwardingHost,
    private readonly address: LinkAddress,
    private readonly guard: ClientGuard,
  ) {
    super();
    const { registry } = host.metrics;
    this.forwarded = createCounter(registry, 'forwarded_total', 'Work passed on to homes', [
      'outcome',
    ]);
    this.deadPeers = createCounter(
      registry,
      'dead_link_peers_total',
      'Links ended because the peer (home or entry) was gone',
      ['peer'],
    );
    this.server = createServer((socket) => {
      this.entries.add(new EntryLink(host, socket, guard, this));
    });
    this.server.maxConnections = guard.limits.maxLinks;
    this.server.on('drop', () => guard.report('connections'));
  }

  /** A VM has one link to a home: an earlier one leads to a process that is gone. */
  handleVerified(link: EntryLink, vm: string): void {
    const links = [...this.entries];
    const earlier = links.slice(0, Math.max(0, links.indexOf(link)));
    earlier
      .filter((other) => other.isOf(vm))
      .forEach((other) => other.close('the VM has opened a new link'));
  }

  handleDeadPeer(): void {
    this.deadPeers.inc({ peer: 'entry' });
  }

  handleClose(link: EntryLink): void {
    this.entries.delete(link);
  }

  override async start(): Promise<void> {
    const { log } = this.host;
    await new Promise<void>((resolve) => {
      // Accepting a connection may fail later, too, for example for lack of file descriptors.
      this.server.on('error', (error) => {
        log.error('cannot accept links', { address: this.address, error: String(error) });
        resolve();
      });
      this.server.listen(this.address, resolve);
    });
  }

  override stop(): void {
    this.server.close();
    this.links.forEach((link) => link.close('this VM stops'));
    this.entries.forEach((link) => link.close('this VM stops'));
  }

  override findGroup(name: string): GroupAccess {
    const group = this.groups.get(name) ?? new ForwardedGroup(name, this);
    this.groups.set(name, group);
    return group;
  }

  override isReachable(group: string): boolean {
    const now = this.host.clock.readNow();
    const homes = this.host.findHomes(group);
    const near = homes.filter(({ zone }) => zone === this.host.zone);
    // Homes of a partitioned zone say so; those of other zones are out of reach for this VM too.
    const isPartitioned =
      near.length > 0 && near.every(({ id }) => this.links.get(id)?.isIsolated() === true);
    const isOpening = near.length > 0 && near.every(({ id }) => this.isOpening(id, now));
    return !isPartitioned && !isOpening && homes.some((home) => this.mayUse(home, now));
  }

  override countLeases(): number {
    return [...this.entries].reduce((sum, link) => sum + link.countLeases(), 0);
  }

  override async requestPermits(
    vm: VmAddress,
    request: PermitRequest,
  ): Promise<PermitAnswer | undefined> {
    return this.findLink(vm, this.host.clock.readNow())?.requestPermits(request);
  }

  override async requestConfiguration(known: number): Promise<ReceivedConfiguration | undefined> {
    const now = this.host.clock.readNow();
    const links = [...this.links.values()].filter((link) => link.isUsable(now));
    const link = links.find(({ provedVersion }) => provedVersion > known);
    return link && waitAtMost(link.requestConfiguration(), CONFIGURATION_TIMEOUT_MS);
  }

  override handleTick(): void {
    const now = this.host.clock.readNow();
    const nearHomes = this.host.listNearHomes();
    nearHomes.forEach((home) => this.findLink(home, now));
    this.closeUnused(nearHomes, now);
    this.links.forEach((link) => link.handleTick(now));
    this.entries.forEach((link) => link.handleTick(now));
    this.publishStatus();
  }

  /**
   * Asks the homes of the group, nearest first, for a connection.
   *
   * @throws NotRunError when none admits the work.
   */
  async admit(group: string, request: WorkRequest): Promise<Lease> {
    const { clock, log } = this.host;
    let reason = 'no home of the group is reachable';
    let tried = 0;
    for (const home of this.listCandidates(group, request.organisation)) {
      const now = clock.readNow();
      if (tried >= MAX_HOMES_TRIED || now >= request.deadline) break;
      const link = this.mayUse(home, now) ? this.findLink(home, now) : undefined;
      if (!link) continue;
      tried += 1;
      const admission = await link.admit(group, request);
      this.forwarded.inc({ outcome: admission.kind });
      if (admission.kind === 'granted') {
        const { instance } = admission.lease;
        log.info('forward', { request: request.requestId, group, home: home.id, instance });
        return admission.lease;
      }
      reason = `${home.id}: ${admission.reason}`;
      if (!admission.mayTryOther) break;
    }
    throw new NotRunError(reason);
  }

  /**
   * The homes in the order in which they are asked. Those of this zone take turns, but an
   * organisation prefers one of them, which has connections in its name.
   */
  private listCandidates(group: string, organisation: string | undefined): readonly VmAddress[] {
    const homes = this.host.findHomes(group);
    const near = homes.filter(({ zone }) => zone === this.host.zone);
    const far = homes.filter(({ zone }) => zone !== this.host.zone);
    if (organisation !== undefined) {
      return [...rankHomes(near, group, organisation), ...rankHomes(far, group, organisation)];
    }
    this.turn += 1;
    const first = near.length > 0 ? this.turn % near.length : 0;
    return [...near.slice(first), ...near.slice(0, first), ...far];
  }

  /** True until the first answer of a home, or the first failure of a link to it. */
  private isOpening(id: string, now: Millis): boolean {
    const link = this.links.get(id);
    return link ? link.isOpening(now) : !this.failedAt.has(id);
  }

  private mayUse({ id }: VmAddress, now: Millis): boolean {
    const link = this.links.get(id);
    if (link) return link.isUsable(now);
    return now - (this.failedAt.get(id) ?? Number.NEGATIVE_INFINITY) >= RECONNECT_MS;
  }

  private findLink(home: VmAddress, now: Millis): HomeLink | undefined {
    const known = this.links.get(home.id);
    if (known || !this.mayUse(home, now)) return known;
    try {
      const link = this.openLink(home);
      if (link.isClosed) return undefined;
      this.links.set(home.id, link);
      return link;
    } catch (error) {
      if (!(error instanceof LinkAddressError)) throw error;
      this.host.log.warn('link not opened', { home: home.id, error: error.message });
      this.failedAt.set(home.id, now);
      return undefined;
    }
  }

  private openLink(home: VmAddress): HomeLink {
    const { guard, host } = this;
    const { vm, clock, ageClock, log, handleProof: onProof } = host;
    return new HomeLink({
      ...{ vm, home, clock, ageClock, log, guard, onProof },
      onDeadPeer: () => this.deadPeers.inc({ peer: 'home' }),
      onClose: () => {
        this.links.delete(home.id);
        this.failedAt.set(home.id, clock.readNow());
      },
    });
  }

  /** Closes links to VMs that are no near home and have no work. */
  private closeUnused(nearHomes: readonly VmAddress[], now: Millis): void {
    const near = new Set(nearHomes.map(({ id }) => id));
    this.links.forEach((link, id) => {
      if (near.has(id) || now - link.usedAt < UNUSED_LINK_MS) return;
      link.close('unused');
      this.failedAt.delete(id);
    });
  }

  /** Tells the VMs that pass work on when this VM drains or loses its instances. */
  private publishStatus(): void {
    const next = this.host.readStatus();
    const { status } = this;
    if (status?.isDraining === next.isDraining && status.isIsolated === next.isIsolated) return;
    this.status = next;
    this.entries.forEach((link) => link.sendStatus(next));
  }
}
