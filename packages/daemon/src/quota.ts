import {
  type BorrowGrant,
  type BorrowRequest,
  type Clock,
  computeLimits,
  type DatabaseGroup,
  type DatabaseInstance,
  type MembershipView,
  type Millis,
  type PeerLink,
  QuotaHolder,
  QuotaLender,
  rankVms,
  RENEW_WITHIN_MS,
  type Shares,
  type Vm,
} from '@shallotpick/core';
import { PeerError } from './errors.js';
import type { Log } from './log.js';

/** Unmet demand is reported ahead of the renewal, but not more often than this. */
const EARLY_ASK_MS: Millis = 100;
/** Demand counts at its peak over this time, so that shares do not go back and forth. */
const PEAK_KEPT_MS: Millis = 3_000;
/** Connections are kept much longer than concurrency, since opening one is slow. */
const CONNECTION_PEAK_KEPT_MS: Millis = 60_000;

/** What one instance is used for and wanted for at the moment. */
export interface Demand {
  readonly used: Shares;
  readonly wanted: Shares;
}

export interface QuotaDriverOptions {
  readonly group: DatabaseGroup;
  readonly clock: Clock;
  readonly log: Log;
  readonly membership: MembershipView;
  /** The link to a live peer. */
  readonly findLink: (vm: string) => PeerLink | undefined;
  /** Called after a grant has changed what may be used. */
  readonly onGrant: (instance: string) => void;
}

/** The quota of one instance: this VM as holder and, when it ranks first, as lender. */
class Quota {
  askedAt: Millis = Number.NEGATIVE_INFINITY;

  /** Peak of the demand. */
  peak: Shares;

  private concurrencyPeakAt: Millis;

  private connectionPeakAt: Millis;

  constructor(
    readonly instance: DatabaseInstance,
    readonly holder: QuotaHolder,
    readonly lender: QuotaLender,
    floor: Shares,
    now: Millis,
  ) {
    this.peak = floor;
    this.concurrencyPeakAt = now;
    this.connectionPeakAt = now;
  }

  updatePeak(wanted: Shares, now: Millis): void {
    let { concurrency, connections } = this.peak;
    if (wanted.concurrency >= concurrency || now - this.concurrencyPeakAt > PEAK_KEPT_MS) {
      concurrency = wanted.concurrency;
      this.concurrencyPeakAt = now;
    }
    const isOld = now - this.connectionPeakAt > CONNECTION_PEAK_KEPT_MS;
    if (wanted.connections >= connections || isOld) {
      connections = wanted.connections;
      this.connectionPeakAt = now;
    }
    this.peak = { connections, concurrency, longPermits: wanted.longPermits };
  }

  createRequest(lender: string, used: Shares, now: Millis): BorrowRequest {
    this.askedAt = now;
    return this.holder.createRequest(lender, used, this.peak, now);
  }
}

/** Holds and lends the quotas of a group's instances. */
export class QuotaDriver {
  private readonly quotas: ReadonlyMap<string, Quota>;

  constructor(private readonly options: QuotaDriverOptions) {
    const now = options.clock.readNow();
    this.quotas = new Map(
      options.group.instances.map((instance) => [instance.id, this.createQuota(instance, now)]),
    );
    options.membership.addListener(() => this.updateLive());
    this.updateLive();
  }

  /** What new work may use; short concurrency includes the guaranteed floor of one statement. */
  readRights(instance: string): Shares | undefined {
    const rights = this.quotas.get(instance)?.holder.readShares(this.options.clock.readNow());
    return rights && { ...rights, concurrency: rights.concurrency + 1 };
  }

  /** Connections lent to this VM, as far as it has wanted them lately. */
  findWantedConnections(instance: string): number {
    return this.quotas.get(instance)?.peak.connections ?? 0;
  }

  /** Answers another daemon, or this one. */
  handleRequest(request: BorrowRequest): BorrowGrant | undefined {
    const quota = this.quotas.get(request.instance);
    return quota?.lender.handleRequest(request, this.options.clock.readNow());
  }

  /** Takes over what the instance says of itself. */
  handleStatus(instance: string, isPrimary: boolean, connections: number): void {
    const quota = this.quotas.get(instance);
    if (!quota) return;
    const { connectionLimit, slots } = quota.instance;
    quota.lender.updateLimits(computeLimits(connectionLimit, slots, isPrimary));
    quota.lender.updateOpenConnections(connections);
  }

  /** Renews each share in time, and early when the demand is above it. */
  handleTick(findDemand: (instance: string) => Demand): void {
    const now = this.options.clock.readNow();
    this.quotas.forEach((quota, instance) => {
      quota.lender.handleTick(now);
      const rights = quota.holder.readShares(now);
      const { used, wanted } = findDemand(instance);
      quota.updatePeak(wanted, now);
      const isShort =
        quota.peak.connections > rights.connections ||
        quota.peak.concurrency > rights.concurrency ||
        quota.peak.longPermits > rights.longPermits;
      const delay = isShort ? EARLY_ASK_MS : RENEW_WITHIN_MS;
      if (now - quota.askedAt >= delay && !quota.holder.isAsking(now)) this.ask(quota, used, now);
    });
  }

  /** Asks at once, as when long work waits or a permit has become free. */
  requestShares(instance: string, { used, wanted }: Demand): void {
    const quota = this.quotas.get(instance);
    const now = this.options.clock.readNow();
    if (!quota || quota.holder.isAsking(now)) return;
    quota.updatePeak(wanted, now);
    this.ask(quota, used, now);
  }

  private createQuota(instance: DatabaseInstance, now: Millis): Quota {
    const { group, membership } = this.options;
    const limits = computeLimits(instance.connectionLimit, instance.slots, false);
    const holder = new QuotaHolder(
      {
        vm: membership.self.id,
        group: group.name,
        instance: instance.id,
        guaranteed: limits.guaranteed,
      },
      now,
    );
    // The wall clock puts the numbers above those of an earlier life of this VM.
    const lender = new QuotaLender(limits, Date.now() * 1_000, now);
    return new Quota(instance, holder, lender, limits.guaranteed, now);
  }

  private updateLive(): void {
    const live = this.options.membership.listLive().map(({ id }) => id);
    const now = this.options.clock.readNow();
    this.quotas.forEach(({ lender }) => lender.updateLive(live, now));
  }

  private ask(quota: Quota, used: Shares, now: Millis): void {
    const { membership, group, log } = this.options;
    const { holder, instance } = quota;
    const live = membership.listLive();
    const duty = `borrow|${group.name}|${instance.id}`;
    const [first] = rankVms(
      duty,
      live.map(({ id }) => id),
    );
    const lender = live.find(({ id }) => id === first) ?? membership.self;
    const request = quota.createRequest(lender.id, used, now);
    this.sendRequest(lender, request).then(
      (grant) => {
        if (holder.handleGrant(request, grant, this.options.clock.readNow())) {
          this.options.onGrant(instance.id);
        }
      },
      (error: unknown) => {
        log.debug('no answer from the lender', { lender: lender.id, error: String(error) });
      },
    );
  }

  private async sendRequest(lender: Vm, request: BorrowRequest): Promise<BorrowGrant> {
    const { membership, findLink } = this.options;
    const isSelf = lender.id === membership.self.id;
    const grant = isSelf ? this.handleRequest(request) : await findLink(lender.id)?.borrow(request);
    if (!grant) throw new PeerError(`no lender for ${request.instance} at ${lender.id}`);
    return grant;
  }
}
