import type { Millis } from '../clock.js';
import type { BorrowGrant, BorrowRequest } from '../membership/peer.js';
import { EMPTY_SHARES, mapShares, type Shares } from './share.js';

/** A holder renews its grant within this time. */
export const RENEW_WITHIN_MS: Millis = 1_000;
/** An answer that arrives later than this after its request is ignored. */
export const ANSWER_TIMEOUT_MS: Millis = 500;
/** A report expires this long after the grant that it echoes was issued. */
export const REPORT_TTL_MS: Millis = 3_000;
/**
 * A holder accepts no increase for this long after its last request to another lender. It is
 * longer than `REPORT_TTL_MS` plus the answer timeout, so that no two lenders rely on reports of
 * one holder at the same time.
 */
export const LENDER_CHANGE_DELAY_MS: Millis = REPORT_TTL_MS + ANSWER_TIMEOUT_MS + 100;
/** A process that did not tick for this long counts as paused and gives up its grants. */
export const PAUSE_THRESHOLD_MS: Millis = 1_000;
/** The share of a VM that is no longer live is reclaimed after this; over `PAUSE_THRESHOLD_MS`. */
export const RECLAIM_DELAY_MS: Millis = 5_000;
/**
 * A lender grants no increase for this long after it has started or been paused: a VM that it
 * does not list may be paused for `PAUSE_THRESHOLD_MS` and keep its share, and appears within one
 * more second.
 */
export const LENDING_DELAY_MS: Millis = PAUSE_THRESHOLD_MS + 1_100;

/** Each proxy is guaranteed the connection limit divided by this, and at least one connection. */
const GUARANTEE_DIVISOR = 16;

/** Limits of one instance over all proxies, and the share guaranteed to every proxy. */
export interface QuotaLimits {
  readonly limit: Shares;
  readonly guaranteed: Shares;
}

/**
 * Computes the limits of an instance. The guaranteed share does not depend on the number of VMs,
 * because proxies may see different numbers. `concurrency` is lent in addition to one statement
 * per proxy, which needs no grant. The primary has a long permit even with a single slot, since
 * long writes can run nowhere else.
 */
export function computeLimits(
  connectionLimit: number,
  slots: number,
  isPrimary: boolean,
): QuotaLimits {
  const longPermits = Math.max(slots - 1, isPrimary ? 1 : 0);
  const connections = Math.max(1, Math.floor(connectionLimit / GUARANTEE_DIVISOR));
  return {
    limit: { connections: connectionLimit, concurrency: slots, longPermits },
    guaranteed: { ...EMPTY_SHARES, connections },
  };
}

/** A request whose answer has not arrived. */
interface PendingRequest {
  readonly request: BorrowRequest;
  readonly sentAt: Millis;
}

/** Options of a `QuotaHolder`. */
export interface QuotaHolderOptions {
  readonly vm: string;
  readonly group: string;
  readonly instance: string;
  readonly guaranteed: Shares;
}

/**
 * Holds this proxy's share of one instance and creates its requests to the lender. It starts with
 * the guaranteed share, also after a pause: until the lender has reclaimed as much from others, the
 * sum may exceed the limit by the guaranteed shares of proxies that have just started or resumed.
 */
export class QuotaHolder {
  private shares: Shares;

  private lender = '';

  private requestedAt: Millis | undefined;

  private otherLenderRequestedAt: Millis | undefined;

  private echo = 0;

  private pending: PendingRequest | undefined;

  private tickedAt: Millis;

  constructor(
    private readonly options: QuotaHolderOptions,
    now: Millis,
  ) {
    this.shares = options.guaranteed;
    this.tickedAt = now;
  }

  /** Returns the share for new work. Work started under an earlier grant may still exceed it. */
  readShares(now: Millis): Shares {
    this.handleTick(now);
    return this.shares;
  }

  /** True while an answer may still arrive in time. */
  isAsking(now: Millis): boolean {
    return this.pending !== undefined && now - this.pending.sentAt <= ANSWER_TIMEOUT_MS;
  }

  /** Must be called often: a gap above `PAUSE_THRESHOLD_MS` means that the process was paused. */
  handleTick(now: Millis): void {
    if (now - this.tickedAt > PAUSE_THRESHOLD_MS) {
      this.shares = this.options.guaranteed;
      this.pending = undefined;
      this.echo = 0;
    }
    this.tickedAt = now;
  }

  /**
   * Returns unneeded shares and creates the next request to `lender`. Long permits are returned as
   * soon as they are not in use, so that holders take turns.
   */
  createRequest(lender: string, used: Shares, wanted: Shares, now: Millis): BorrowRequest {
    this.handleTick(now);
    this.updateLender(lender, now);
    const kept = mapShares((name) => {
      const most =
        name === 'longPermits' ? 0 : Math.max(wanted[name], this.options.guaranteed[name]);
      return Math.min(this.shares[name], Math.max(used[name], most));
    });
    this.shares = kept;
    const held = mapShares((name) => Math.max(kept[name], used[name]));
    const { vm, group, instance } = this.options;
    const request = {
      ...{ vm, group, instance, echo: this.echo },
      heldConnections: held.connections,
      wantedConnections: wanted.connections,
      heldConcurrency: held.concurrency,
      wantedConcurrency: wanted.concurrency,
      heldLongPermits: held.longPermits,
      wantedLongPermits: wanted.longPermits,
    };
    this.pending = { request, sentAt: now };
    return request;
  }

  /** Applies a grant; false when it answers an older request or arrives too late. */
  handleGrant(request: BorrowRequest, grant: BorrowGrant, now: Millis): boolean {
    this.handleTick(now);
    if (this.pending?.request !== request || !this.isAsking(now)) return false;
    this.pending = undefined;
    this.echo = grant.number;
    const mayRaise =
      this.otherLenderRequestedAt === undefined ||
      now - this.otherLenderRequestedAt >= LENDER_CHANGE_DELAY_MS;
    this.shares = mapShares((name) =>
      mayRaise ? grant[name] : Math.min(this.shares[name], grant[name]),
    );
    return true;
  }

  private updateLender(lender: string, now: Millis): void {
    if (lender !== this.lender) {
      if (this.requestedAt !== undefined) this.otherLenderRequestedAt = this.requestedAt;
      this.lender = lender;
      this.echo = 0;
    }
    this.requestedAt = now;
  }
}
