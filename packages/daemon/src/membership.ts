import {
  type Clock,
  type Membership,
  type MembershipMessage,
  type Millis,
  type Platform,
  rankVms,
  type Vm,
  type ListedVm,
} from '@shallotpick/core';
import type { Log } from './log.js';
import type { GrpcPeerLink } from './peerlink.js';

const TICK_INTERVAL_MS: Millis = 25;
/** With two readers a zone, 18 zones make 18 reads of the list a second. */
const LIST_INTERVAL_MS: Millis = 2_000;
const READERS_PER_ZONE = 2;
/** The announcement of a drain waits this long for the peers that do not answer. */
const LEAVE_TIMEOUT_MS: Millis = 500;

export interface MembershipDriverOptions {
  readonly membership: Membership;
  readonly platform: Platform;
  readonly clock: Clock;
  readonly log: Log;
  readonly connect: (vm: Vm) => GrpcPeerLink;
  /** Called with each version of the platform's VM list. */
  readonly onListing: (listing: readonly ListedVm[], now: Millis) => void;
}

/** Sends the pings of the membership and reads the platform's VM list. */
export class MembershipDriver {
  private ticks: NodeJS.Timeout | undefined;

  private lists: NodeJS.Timeout | undefined;

  private isTickDue = false;

  constructor(private readonly options: MembershipDriverOptions) {
    let before = '';
    options.membership.addListener(() => {
      const live = options.membership.listLive().map(({ id }) => id);
      if (live.join() !== before) options.log.info('live VMs', { live });
      before = live.join();
    });
  }

  start(): void {
    this.ticks = setInterval(() => this.handleTick(), TICK_INTERVAL_MS);
    this.lists = setInterval(() => this.readListing(), LIST_INTERVAL_MS);
    this.readListing();
  }

  stop(): void {
    clearInterval(this.ticks);
    clearInterval(this.lists);
    this.ticks = undefined;
  }

  /** Answers a ping, and passes on at once what is new in it. */
  handlePing(from: string, message: MembershipMessage): MembershipMessage {
    const { membership, clock } = this.options;
    const now = clock.readNow();
    membership.handleMessage(from, message, now);
    this.scheduleTick();
    return membership.createMessage(from, now);
  }

  /** Tells the peers that this VM goes away, and waits until they know or are silent. */
  async leave(): Promise<void> {
    const { membership } = this.options;
    membership.leave();
    const timeout = new Promise((resolve) => {
      setTimeout(resolve, LEAVE_TIMEOUT_MS).unref();
    });
    const sent = membership.listPingTargets().map((vm) => this.sendPing(vm).catch(() => undefined));
    await Promise.race([Promise.all(sent), timeout]);
  }

  private handleTick(): void {
    const { membership, clock } = this.options;
    membership.handleTick(clock.readNow()).forEach((vm) => {
      this.sendPing(vm).catch((error: unknown) => {
        this.options.log.debug('ping failed', { peer: vm.id, error: String(error) });
      });
    });
  }

  private scheduleTick(): void {
    if (this.isTickDue) return;
    this.isTickDue = true;
    setImmediate(() => {
      this.isTickDue = false;
      if (this.ticks) this.handleTick();
    });
  }

  private async sendPing(vm: Vm): Promise<void> {
    const { membership, clock, connect } = this.options;
    const answer = await connect(vm).ping(membership.createMessage(vm.id, clock.readNow()));
    membership.handleAnswer(vm.id, answer, clock.readNow());
    this.scheduleTick();
  }

  /** Only a few VMs read the list, so that its rate does not grow with the fleet. */
  private isReader(): boolean {
    const { membership } = this.options;
    const { self } = membership;
    if (membership.isMarkedLeaving()) return true;
    const zone = membership.listLive().filter((vm) => vm.zone === self.zone);
    const ranking = rankVms(
      `vms/${self.zone}`,
      zone.map(({ id }) => id),
    );
    return ranking.slice(0, READERS_PER_ZONE).includes(self.id);
  }

  private readListing(): void {
    if (!this.isReader()) return;
    const { platform, membership, clock, log, onListing } = this.options;
    platform
      .listVms()
      .then((listing) => {
        const now = clock.readNow();
        membership.handleVmList(listing, now);
        onListing(listing, now);
        this.scheduleTick();
      })
      .catch((error: unknown) => log.debug('VM list not read', { error: String(error) }));
  }
}
