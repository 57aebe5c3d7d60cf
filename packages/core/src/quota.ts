import type { Millis } from './clock.js';
import type { BorrowGrant, BorrowRequest } from './peer.js';
import { EMPTY_SHARES, mapShares, type Shares } from './share.js';

/** A holder asks again within this time. */
export const RENEW_WITHIN_MS: Millis = 1_000;
/** An answer that comes later than this after its request is not used. */
export const ANSWER_TIMEOUT_MS: Millis = 500;
/** A report counts for this long after the grant that it echoes was issued. */
export const REPORT_TTL_MS: Millis = 3_000;
/**
 * After its last request to another lender a holder takes no raise for this long. It is longer
 * than `FRESH_MS` plus the answer timeout, so that no two lenders rely on one holder at once.
 */
export const LENDER_CHANGE_DELAY_MS: Millis = REPORT_TTL_MS + ANSWER_TIMEOUT_MS + 100;
/** A process that did not tick for this long counts as paused and gives up what it was lent. */
export const PAUSE_THRESHOLD_MS: Millis = 1_000;
/** The share of a VM that is no longer live comes back after this; longer than `PAUSE_MS`. */
export const RECLAIM_DELAY_MS: Millis = 5_000;
/**
 * A lender raises nothing for this long after it has started or been paused: a VM that it does
 * not list may be paused for `PAUSE_MS` and keep its share, and appears within one more second.
 */
export const LENDING_DELAY_MS: Millis = PAUSE_THRESHOLD_MS + 1_100;

/** One floor of connections for each sixteenth of the limit, and at least one. */
const FLOOR_PARTS = 16;

/** Limits of one instance, and the share that every proxy is guaranteed. */
export interface QuotaLimits {
  readonly limit: Shares;
  readonly guaranteed: Shares;
}

/**
 * Computes the limits of an instance. The floor does not depend on the number of VMs, because
 * proxies may see different numbers. `concurrency` is what is lent above one statement per proxy,
 * which needs no grant. The primary has a long permit even with a single slot, since long writes
 * can run nowhere else.
 */
export function computeLimits(
  connectionLimit: number,
  slots: number,
  isPrimary: boolean,
): QuotaLimits {
  const longPermits = Math.max(slots - 1, isPrimary ? 1 : 0);
  const connections = Math.max(1, Math.floor(connectionLimit / FLOOR_PARTS));
  return {
    limit: { connections: connectionLimit, concurrency: slots, longPermits },
    guaranteed: { ...EMPTY_SHARES, connections },
  };
}

interface Outstanding {
  readonly request: BorrowRequest;
  readonly sentAt: Millis;
}

export interface QuotaHolderOptions {
  readonly vm: string;
  readonly group: string;
  readonly instance: string;
  readonly guaranteed: Shares;
}

/**
 * What this proxy may use of one instance, and its requests to the lender. It begins with the
 * floor, also after a pause: until the lender has taken as much back from others, the sum may pass
 * the limit by the floors of the proxies that have just started or resumed.
 */
export class QuotaHolder {
  private rights: Shares;

  private lender = '';

  private askedAt: Millis | undefined;

  private otherAskedAt: Millis | undefined;

  private echo = 0;

  private outstanding: Outstanding | undefined;

  private tickedAt: Millis;

  constructor(
    private readonly options: QuotaHolderOptions,
    now: Millis,
  ) {
    this.rights = options.guaranteed;
    this.tickedAt = now;
  }

  /** What new work may use. Work that started under an earlier grant may still be above it. */
  readShares(now: Millis): Shares {
    this.handleTick(now);
    return this.rights;
  }

  /** True while an answer may still come in time. */
  isAsking(now: Millis): boolean {
    return this.outstanding !== undefined && now - this.outstanding.sentAt <= ANSWER_TIMEOUT_MS;
  }

  /** Must be called often: a gap above `PAUSE_MS` means that the process was paused. */
  handleTick(now: Millis): void {
    if (now - this.tickedAt > PAUSE_THRESHOLD_MS) {
      this.rights = this.options.guaranteed;
      this.outstanding = undefined;
      this.echo = 0;
    }
    this.tickedAt = now;
  }

  /**
   * Gives back what is not wanted and creates the next request to `lender`. Long permits are
   * given back as soon as they are not in use, so that holders take turns.
   */
  createRequest(lender: string, used: Shares, wanted: Shares, now: Millis): BorrowRequest {
    this.handleTick(now);
    this.updateLender(lender, now);
    const kept = mapShares((name) => {
      const most =
        name === 'longPermits' ? 0 : Math.max(wanted[name], this.options.guaranteed[name]);
      return Math.min(this.rights[name], Math.max(used[name], most));
    });
    this.rights = kept;
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
    this.outstanding = { request, sentAt: now };
    return request;
  }

  /** Takes over a grant, unless it answers an older request or comes too late. */
  handleGrant(request: BorrowRequest, grant: BorrowGrant, now: Millis): boolean {
    this.handleTick(now);
    if (this.outstanding?.request !== request || !this.isAsking(now)) return false;
    this.outstanding = undefined;
    this.echo = grant.number;
    const mayRaise =
      this.otherAskedAt === undefined || now - this.otherAskedAt >= LENDER_CHANGE_DELAY_MS;
    this.rights = mapShares((name) =>
      mayRaise ? grant[name] : Math.min(this.rights[name], grant[name]),
    );
    return true;
  }

  private updateLender(lender: string, now: Millis): void {
    if (lender !== this.lender) {
      if (this.askedAt !== undefined) this.otherAskedAt = this.askedAt;
      this.lender = lender;
      this.echo = 0;
    }
    this.askedAt = now;
  }
}
