import type { Millis } from '../clock.js';
import type { BorrowGrant, BorrowRequest } from '../membership/peer.js';
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

/** The lender's state of one holder. */
interface Loan {
  /** Upper bound on what the holder may use. */
  maxHeld: Shares;
  wanted: Shares;
  /** Number of the last grant; a request that echoes it was made after the grant arrived. */
  number: number;
  issuedAt: Millis;
  /** Issue time of the grant that was echoed by the last request with a current echo. */
  echoedIssuedAt: Millis | undefined;
  requestedAt: Millis;
  /** Time since which the holder has been waiting for a long permit. */
  waitingSince: Millis | undefined;
}

/**
 * Lends the connections, concurrency and long permits of one instance. It lowers its upper bound
 * on a holder's share only when the holder's request echoes the last grant, and increases a grant
 * only within the limit less all bounds, while every other live holder has an unexpired report.
 */
export class QuotaLender {
  private readonly loans = new Map<string, Loan>();

  private readonly live = new Set<string>();

  /** VMs that are no longer live, with the time at which they left. */
  private readonly departed = new Map<string, Millis>();

  private tickedAt: Millis;

  private startedAt: Millis;

  /** Number of open connections reported by the instance. */
  private openConnections = 0;

  /** `number` must exceed every number that this VM has used, also before a restart. */
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

  /** Sets the open connections. Those without a known holder (a partitioned proxy) are not lent. */
  updateOpenConnections(connections: number): void {
    this.openConnections = connections;
  }

  /** Sets the live VMs; called also while another VM is the lender. */
  updateLive(vms: readonly string[], now: Millis): void {
    this.handleTick(now);
    const names = new Set(vms);
    [...this.live]
      .filter((vm) => !names.has(vm))
      .forEach((vm) => {
        this.live.delete(vm);
        this.departed.set(vm, now);
      });
    vms.forEach((vm) => {
      this.departed.delete(vm);
      this.live.add(vm);
    });
  }

  /** A gap above `PAUSE_THRESHOLD_MS` is a pause: loans are then rebuilt from reports. */
  handleTick(now: Millis): void {
    if (now - this.tickedAt > PAUSE_THRESHOLD_MS) {
      this.loans.clear();
      this.startedAt = now;
    }
    this.tickedAt = now;
    this.departed.forEach((departedAt, vm) => {
      if (now - departedAt < RECLAIM_DELAY_MS) return;
      this.departed.delete(vm);
      this.loans.delete(vm);
    });
  }

  handleRequest(request: BorrowRequest, now: Millis): BorrowGrant {
    this.handleTick(now);
    const loan = this.handleReport(request, now);
    const isMatched = loan.echoedIssuedAt !== undefined && loan.number === request.echo;
    const mayIncrease = isMatched && this.canIncrease(request.vm, now);
    const granted = mapShares((name) =>
      this.computeShare(name, request.vm, loan, mayIncrease, now),
    );
    loan.maxHeld = mapShares((name) => Math.max(loan.maxHeld[name], granted[name]));
    const isWaiting = loan.wanted.longPermits > granted.longPermits;
    loan.waitingSince = isWaiting ? (loan.waitingSince ?? now) : undefined;
    this.number += 1;
    loan.number = this.number;
    loan.issuedAt = now;
    const { group, instance } = request;
    return {
      group,
      instance,
      ...granted,
      number: this.number,
      renewWithinMs: RENEW_WITHIN_MS,
    };
  }

  private handleReport(request: BorrowRequest, now: Millis): Loan {
    const held: Shares = {
      connections: request.heldConnections,
      concurrency: request.heldConcurrency,
      longPermits: request.heldLongPermits,
    };
    // A VM that sends requests may use its share even if it is not listed as live.
    if (!this.live.has(request.vm)) this.departed.set(request.vm, now);
    const known = this.loans.get(request.vm);
    const loan: Loan = known ?? {
      ...{ maxHeld: held, wanted: held, number: 0, issuedAt: now },
      ...{ echoedIssuedAt: undefined, requestedAt: now, waitingSince: undefined },
    };
    if (known && request.echo === known.number) {
      // Long permits rotate between holders; a holder that had some waits behind the others again.
      if (held.longPermits < loan.maxHeld.longPermits) loan.waitingSince = undefined;
      loan.maxHeld = held;
      loan.echoedIssuedAt = loan.issuedAt;
    } else {
      loan.maxHeld = mapShares((name) => Math.max(loan.maxHeld[name], held[name]));
    }
    loan.wanted = {
      connections: request.wantedConnections,
      concurrency: request.wantedConcurrency,
      longPermits: request.wantedLongPermits,
    };
    loan.requestedAt = now;
    this.loans.set(request.vm, loan);
    return loan;
  }

  private computeShare(
    name: ShareName,
    vm: string,
    loan: Loan,
    mayIncrease: boolean,
    now: Millis,
  ): number {
    const target = this.computeTargets(name, now).get(vm) ?? 0;
    const held = loan.maxHeld[name];
    if (target <= held || !mayIncrease) return Math.min(target, held);
    const lent = this.sumBounds(name);
    const unaccounted = name === 'connections' ? Math.max(0, this.openConnections - lent) : 0;
    return Math.min(target, held + Math.max(0, this.limits.limit[name] - lent - unaccounted));
  }

  /** Sums up the bounds; a live VM that has not reported counts with its guaranteed share. */
  private sumBounds(name: ShareName): number {
    const silent = [...this.live].filter((vm) => !this.loans.has(vm)).length;
    const guarantees = silent * this.limits.guaranteed[name];
    return [...this.loans.values()].reduce((sum, { maxHeld }) => sum + maxHeld[name], guarantees);
  }

  private computeTargets(name: ShareName, now: Millis): ReadonlyMap<string, number> {
    const guaranteed = this.limits.guaranteed[name];
    const isLong = name === 'longPermits';
    const demands = [...new Set([...this.loans.keys(), ...this.live])].map((vm): ShareDemand => {
      const { maxHeld, wanted, requestedAt } = this.loans.get(vm) ?? {
        ...{ maxHeld: EMPTY_SHARES, wanted: EMPTY_SHARES, requestedAt: now },
      };
      const isKept = isLong || !this.live.has(vm) || now - requestedAt > REPORT_TTL_MS;
      const base = isKept ? Math.max(maxHeld[name], guaranteed) : guaranteed;
      return { vm, base, wanted: now - requestedAt > REPORT_TTL_MS ? 0 : wanted[name] };
    });
    demands.sort((a, b) => this.compareDemands(a.vm, b.vm, isLong));
    return divideShares(this.limits.limit[name], demands, name === 'concurrency');
  }

  private compareDemands(a: string, b: string, isLong: boolean): number {
    const since = (vm: string): Millis => this.loans.get(vm)?.waitingSince ?? this.tickedAt;
    return (isLong ? since(a) - since(b) : 0) || a.localeCompare(b);
  }

  private canIncrease(vm: string, now: Millis): boolean {
    if (now - this.startedAt < LENDING_DELAY_MS) return false;
    const isKnown = [...this.departed.keys()].every((one) => this.loans.has(one));
    if (!isKnown) return false;
    return [...this.live].every((one) => {
      if (one === vm) return true;
      const issuedAt = this.loans.get(one)?.echoedIssuedAt;
      return issuedAt !== undefined && now - issuedAt <= REPORT_TTL_MS;
    });
  }
}
