import type { Millis } from './clock.js';
import type { BorrowGrant, BorrowRequest } from './peer.js';
import {
  REPORT_TTL_MS,
  LENDING_DELAY_MS,
  PAUSE_THRESHOLD_MS,
  type QuotaLimits,
  RECLAIM_DELAY_MS,
  RENEW_WITHIN_MS,
} from './quota.js';
import {
  type ShareDemand,
  divideShares,
  EMPTY_SHARES,
  mapShares,
  type ShareName,
  type Shares,
} from './share.js';

/** What the lender knows of one holder. */
interface Loan {
  /** Upper bound on what the holder may use. */
  bound: Shares;
  wanted: Shares;
  /** Number of the last grant; a request that echoes it was made after the grant arrived. */
  number: number;
  issuedAt: Millis;
  /** Issue time of the grant that the last matching request echoed. */
  freshFrom: Millis | undefined;
  heardAt: Millis;
  /** Since when the holder has waited for a long permit. */
  waitingSince: Millis | undefined;
}

/**
 * Lends the connections, concurrency and long permits of one instance. It lowers its bound on a
 * holder only when the holder's request echoes the last grant, and raises a grant only within the
 * limit less all bounds, while every other live holder has reported freshly.
 */
export class QuotaLender {
  private readonly loans = new Map<string, Loan>();

  private readonly live = new Set<string>();

  /** VMs that are no longer live and when they went. */
  private readonly gone = new Map<string, Millis>();

  private tickedAt: Millis;

  private startedAt: Millis;

  /** Connections that the instance reports open. */
  private observed = 0;

  /** `number` must be above every number that this VM has used before, also in an earlier life. */
  constructor(
    private limits: QuotaLimits,
    private number: number,
    now: Millis,
  ) {
    this.tickedAt = now;
    this.startedAt = now;
  }

  updateLimits(limits: QuotaLimits): void {
    this.limits = limits;
  }

  /** Connections that no holder accounts for, as those of a cut-off proxy, are not lent again. */
  updateOpenConnections(connections: number): void {
    this.observed = connections;
  }

  /** Takes over the list of live VMs; called also while another VM lends. */
  updateLive(vms: readonly string[], now: Millis): void {
    this.handleTick(now);
    const names = new Set(vms);
    [...this.live]
      .filter((vm) => !names.has(vm))
      .forEach((vm) => {
        this.live.delete(vm);
        this.gone.set(vm, now);
      });
    vms.forEach((vm) => {
      this.gone.delete(vm);
      this.live.add(vm);
    });
  }

  /** A gap above `PAUSE_MS` means that the process was paused: it starts again from reports. */
  handleTick(now: Millis): void {
    if (now - this.tickedAt > PAUSE_THRESHOLD_MS) {
      this.loans.clear();
      this.startedAt = now;
    }
    this.tickedAt = now;
    this.gone.forEach((goneAt, vm) => {
      if (now - goneAt < RECLAIM_DELAY_MS) return;
      this.gone.delete(vm);
      this.loans.delete(vm);
    });
  }

  handleRequest(request: BorrowRequest, now: Millis): BorrowGrant {
    this.handleTick(now);
    const loan = this.handleReport(request, now);
    const isMatched = loan.freshFrom !== undefined && loan.number === request.echo;
    const mayRaise = isMatched && this.canRaise(request.vm, now);
    const granted = mapShares((name) => this.computeShare(name, request.vm, loan, mayRaise, now));
    loan.bound = mapShares((name) => Math.max(loan.bound[name], granted[name]));
    const isWaiting = loan.wanted.longPermits > granted.longPermits;
    loan.waitingSince = isWaiting ? (loan.waitingSince ?? now) : undefined;
    this.number += 1;
    loan.number = this.number;
    loan.issuedAt = now;
    const { group, instance } = request;
    return { group, instance, ...granted, number: this.number, renewWithinMs: RENEW_WITHIN_MS };
  }

  private handleReport(request: BorrowRequest, now: Millis): Loan {
    const held: Shares = {
      connections: request.heldConnections,
      concurrency: request.heldConcurrency,
      longPermits: request.heldLongPermits,
    };
    // A VM that asks may use what it has, whatever the list of live VMs says.
    if (!this.live.has(request.vm)) this.gone.set(request.vm, now);
    const known = this.loans.get(request.vm);
    const loan: Loan = known ?? {
      ...{ bound: held, wanted: held, number: 0, issuedAt: now },
      ...{ freshFrom: undefined, heardAt: now, waitingSince: undefined },
    };
    if (known && request.echo === known.number) {
      // Long permits go from holder to holder; one that got some waits behind the others again.
      if (held.longPermits < loan.bound.longPermits) loan.waitingSince = undefined;
      loan.bound = held;
      loan.freshFrom = loan.issuedAt;
    } else {
      loan.bound = mapShares((name) => Math.max(loan.bound[name], held[name]));
    }
    loan.wanted = {
      connections: request.wantedConnections,
      concurrency: request.wantedConcurrency,
      longPermits: request.wantedLongPermits,
    };
    loan.heardAt = now;
    this.loans.set(request.vm, loan);
    return loan;
  }

  private computeShare(
    name: ShareName,
    vm: string,
    loan: Loan,
    mayRaise: boolean,
    now: Millis,
  ): number {
    const target = this.divide(name, now).get(vm) ?? 0;
    const held = loan.bound[name];
    if (target <= held || !mayRaise) return Math.min(target, held);
    const lent = this.sumBounds(name);
    const hidden = name === 'connections' ? Math.max(0, this.observed - lent) : 0;
    return Math.min(target, held + Math.max(0, this.limits.limit[name] - lent - hidden));
  }

  /** The sum of the bounds; a live VM that has not reported counts with its floor. */
  private sumBounds(name: ShareName): number {
    const silent = [...this.live].filter((vm) => !this.loans.has(vm)).length;
    const floors = silent * this.limits.guaranteed[name];
    return [...this.loans.values()].reduce((sum, { bound }) => sum + bound[name], floors);
  }

  private divide(name: ShareName, now: Millis): ReadonlyMap<string, number> {
    const floor = this.limits.guaranteed[name];
    const isLong = name === 'longPermits';
    const claims = [...new Set([...this.loans.keys(), ...this.live])].map((vm): ShareDemand => {
      const { bound, wanted, heardAt } = this.loans.get(vm) ?? {
        ...{ bound: EMPTY_SHARES, wanted: EMPTY_SHARES, heardAt: now },
      };
      const isKept = isLong || !this.live.has(vm) || now - heardAt > REPORT_TTL_MS;
      const base = isKept ? Math.max(bound[name], floor) : floor;
      return { vm, base, wanted: now - heardAt > REPORT_TTL_MS ? 0 : wanted[name] };
    });
    claims.sort((a, b) => this.compareClaims(a.vm, b.vm, isLong));
    return divideShares(this.limits.limit[name], claims, name === 'concurrency');
  }

  private compareClaims(a: string, b: string, isLong: boolean): number {
    const since = (vm: string): Millis => this.loans.get(vm)?.waitingSince ?? this.tickedAt;
    return (isLong ? since(a) - since(b) : 0) || a.localeCompare(b);
  }

  private canRaise(vm: string, now: Millis): boolean {
    if (now - this.startedAt < LENDING_DELAY_MS) return false;
    const isKnown = [...this.gone.keys()].every((one) => this.loans.has(one));
    if (!isKnown) return false;
    return [...this.live].every((one) => {
      if (one === vm) return true;
      const freshFrom = this.loans.get(one)?.freshFrom;
      return freshFrom !== undefined && now - freshFrom <= REPORT_TTL_MS;
    });
  }
}
