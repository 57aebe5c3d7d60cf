import {
  type Clock,
  type Membership,
  type MembershipMessage,
  type Millis,
  type Platform,
  type Vm,
  type ListedVm,
} from '@shallotpick/core';
import type { Log } from './log.js';
import type { GrpcPeerLink } from './peerlink.js';
import { hasZoneDuty } from './zoneduty.js';

const TICK_INTERVAL_MS: Millis = 25;
/** With two readers per zone, 18 zones read the list 18 times a second. */
const LIST_INTERVAL_MS: Millis = 2_000;
const READERS_PER_ZONE = 2;
/** Limit of the wait for peers that do not respond to the announcement of a drain. */
const LEAVE_TIMEOUT_MS: Millis = 500;

/** Options of {@link MembershipDriver}. */
export interface MembershipDriverOptions {
  readonly membership: Membership;
  readonly platform: Platform;
  readonly clock: Clock;
  readonly log: Log;
  readonly connect: (vm: Vm) => GrpcPeerLink;
  /** Called each time the platform's VM list has been read. */
  readonly onVmList: (vms: readonly ListedVm[], now: Millis) => void;
}

/** Sends the pings of the membership protocol and reads the platform's VM list. */
export class MembershipDriver {
  private tickTimer: NodeJS.Timeout | undefined;

  private listTimer: NodeJS.Timeout | undefined;

  private isTickDue = false;

  constructor(private readonly options: MembershipDriverOptions) {
    let lastLive = '';
    options.membership.addListener(() => {
      const live = options.membership.listLive().map(({ id }) => id);
      if (live.join() !== lastLive) options.log.info('live VMs changed', { live });
      lastLive = live.join();
    });
  }

  start(): void {
    this.tickTimer = setInterval(() => this.handleTick(), TICK_INTERVAL_MS);
    this.listTimer = setInterval(() => this.readVmList(), LIST_INTERVAL_MS);
    this.readVmList();
  }

  stop(): void {
    clearInterval(this.tickTimer);
    clearInterval(this.listTimer);
    this.tickTimer = undefined;
  }

  /** Responds to a ping, and forwards new membership updates immediately. */
  handlePing(from: string, message: MembershipMessage): MembershipMessage {
    const { membership, clock } = this.options;
    const now = clock.readNow();
    membership.handleMessage(from, message, now);
    this.scheduleTick();
    return membership.createMessage(from, now);
  }

  /** Announces to the peers that this VM is leaving; waits for responses or a timeout. */
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
      if (this.tickTimer) this.handleTick();
    });
  }

  private async sendPing(vm: Vm): Promise<void> {
    const { membership, clock, connect } = this.options;
    const response = await connect(vm).ping(membership.createMessage(vm.id, clock.readNow()));
    membership.handleAnswer(vm.id, response, clock.readNow());
    this.scheduleTick();
  }

  /** Only a few VMs read the list, so that the request rate does not grow with the fleet. */
  private isReader(): boolean {
    const { membership } = this.options;
    return membership.isMarkedLeaving() || hasZoneDuty(membership, 'vms', READERS_PER_ZONE);
  }

  private readVmList(): void {
    if (!this.isReader()) return;
    const { platform, membership, clock, log, onVmList } = this.options;
    platform
      .listVms()
      .then((vms) => {
        const now = clock.readNow();
        membership.handleVmList(vms, now);
        onVmList(vms, now);
        this.scheduleTick();
      })
      .catch((error: unknown) => log.debug('reading the VM list failed', { error: String(error) }));
  }
}
