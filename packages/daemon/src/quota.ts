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

/** Minimum interval between requests that are sent early because demand is not met. */
const EARLY_REQUEST_MS: Millis = 100;
/** Requests ask for the peak demand of this period, so that shares do not oscillate. */
const PEAK_WINDOW_MS: Millis = 3_000;
/** The connection peak is kept much longer, because opening a connection is slow. */
const CONNECTION_PEAK_WINDOW_MS: Millis = 60_000;

/** Current use of an instance, and the shares that would meet the current demand. */
export interface Demand {
  readonly used: Shares;
  readonly wanted: Shares;
}

/** Options of {@link QuotaDriver}. */
export interface QuotaDriverOptions {
  readonly group: DatabaseGroup;
  readonly clock: Clock;
  readonly log: Log;
  readonly membership: MembershipView;
  /** Finds the link to a live peer. */
  readonly findLink: (vm: string) => PeerLink | undefined;
  /** Called after a grant has changed the shares of an instance. */
  readonly onGrant: (instance: string) => void;
}

/** The quota of one instance: this VM as holder and, when it ranks first, also as lender. */
class InstanceQuota {
  sentAt: Millis = Number.NEGATIVE_INFINITY;

  /** Peak of the recent demand. */
  peak: Shares;

  private concurrencyPeakAt: Millis;

  private connectionPeakAt: Millis;

  constructor(
    readonly instance: DatabaseInstance,
    readonly holder: QuotaHolder,
    readonly lender: QuotaLender,
    guaranteed: Shares,
    now: Millis,
  ) {
    this.peak = guaranteed;
    this.concurrencyPeakAt = now;
    this.connectionPeakAt = now;
  }

  updatePeak(wanted: Shares, now: Millis): void {
    let { concurrency, connections } = this.peak;
    if (wanted.concurrency >= concurrency || now - this.concurrencyPeakAt > PEAK_WINDOW_MS) {
      concurrency = wanted.concurrency;
      this.concurrencyPeakAt = now;
    }
    const hasExpired = now - this.connectionPeakAt > CONNECTION_PEAK_WINDOW_MS;
    if (wanted.connections >= connections || hasExpired) {
      connections = wanted.connections;
      this.connectionPeakAt = now;
    }
    this.peak = { connections, concurrency, longPermits: wanted.longPermits };
  }

  createRequest(lender: string, used: Shares, now: Millis): BorrowRequest {
    this.sentAt = now;
    return this.holder.createRequest(lender, used, this.peak, now);
  }
}

/** Holds and lends the quotas of a group's instances. */
export class QuotaDriver {
  private readonly quotas: ReadonlyMap<string, InstanceQuota>;

  constructor(private readonly options: QuotaDriverOptions) {
    const now = options.clock.readNow();
    this.quotas = new Map(
      options.group.instances.map((instance) => [instance.id, this.createQuota(instance, now)]),
    );
    options.membership.addListener(() => this.updateLive());
    this.updateLive();
  }

  /** Shares available to new work; concurrency includes the guaranteed share of one statement. */
  readShares(instance: string): Shares | undefined {
    const shares = this.quotas.get(instance)?.holder.readShares(this.options.clock.readNow());
    return shares && { ...shares, concurrency: shares.concurrency + 1 };
  }

  /** Number of connections that recent demand has asked for. */
  findWantedConnections(instance: string): number {
    return this.quotas.get(instance)?.peak.connections ?? 0;
  }

  /** Handles a quota request of a peer or of this daemon. */
  handleRequest(request: BorrowRequest): BorrowGrant | undefined {
    const quota = this.quotas.get(request.instance);
    return quota?.lender.handleRequest(request, this.options.clock.readNow());
  }

  /** Updates limits and the observed connections from an instance's status. */
  handleStatus(instance: string, isPrimary: boolean, connections: number): void {
    const quota = this.quotas.get(instance);
    if (!quota) return;
    const { connectionLimit, slots } = quota.instance;
    quota.lender.updateLimits(computeLimits(connectionLimit, slots, isPrimary));
    quota.lender.updateOpenConnections(connections);
  }

  /** Renews each share in time, or early when the demand exceeds it. */
  handleTick(findDemand: (instance: string) => Demand): void {
    const now = this.options.clock.readNow();
    this.quotas.forEach((quota, instance) => {
      quota.lender.handleTick(now);
      const shares = quota.holder.readShares(now);
      const { used, wanted } = findDemand(instance);
      quota.updatePeak(wanted, now);
      const isInsufficient =
        quota.peak.connections > shares.connections ||
        quota.peak.concurrency > shares.concurrency ||
        quota.peak.longPermits > shares.longPermits;
      const delay = isInsufficient ? EARLY_REQUEST_MS : RENEW_WITHIN_MS;
      if (now - quota.sentAt >= delay && !quota.holder.isAsking(now)) this.send(quota, used, now);
    });
  }

  /** Requests shares immediately, for example when long work waits or a permit has become free. */
  requestShares(instance: string, { used, wanted }: Demand): void {
    const quota = this.quotas.get(instance);
    const now = this.options.clock.readNow();
    if (!quota || quota.holder.isAsking(now)) return;
    quota.updatePeak(wanted, now);
    this.send(quota, used, now);
  }

  private createQuota(instance: DatabaseInstance, now: Millis): InstanceQuota {
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
    // Grant numbers start at the wall clock, so they exceed those from before a restart.
    const lender = new QuotaLender(limits, Date.now() * 1_000, now);
    return new InstanceQuota(instance, holder, lender, limits.guaranteed, now);
  }

  private updateLive(): void {
    const live = this.options.membership.listLive().map(({ id }) => id);
    const now = this.options.clock.readNow();
    this.quotas.forEach(({ lender }) => lender.updateLive(live, now));
  }

  private send(quota: InstanceQuota, used: Shares, now: Millis): void {
    const { membership, group, log } = this.options;
    const { holder, instance } = quota;
    const live = membership.listLive();
    const rankingKey = `borrow|${group.name}|${instance.id}`;
    const [lenderId] = rankVms(
      rankingKey,
      live.map(({ id }) => id),
    );
    const lender = live.find(({ id }) => id === lenderId) ?? membership.self;
    const request = quota.createRequest(lender.id, used, now);
    this.sendRequest(lender, request).then(
      (grant) => {
        if (holder.handleGrant(request, grant, this.options.clock.readNow())) {
          this.options.onGrant(instance.id);
        }
      },
      (error: unknown) => {
        log.debug('quota request failed', { lender: lender.id, error: String(error) });
      },
    );
  }

  private async sendRequest(lender: Vm, request: BorrowRequest): Promise<BorrowGrant> {
    const { membership, findLink } = this.options;
    const isSelf = lender.id === membership.self.id;
    const grant = isSelf ? this.handleRequest(request) : await findLink(lender.id)?.borrow(request);
    if (!grant) throw new PeerError(`no quota for ${request.instance} at VM ${lender.id}`);
    return grant;
  }
}
