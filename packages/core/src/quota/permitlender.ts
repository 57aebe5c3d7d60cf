import type { Millis } from '../clock.js';
import { ACKNOWLEDGEMENT_MS } from './lenderchoice.js';
import {
  COUNT_INTERVAL_MS,
  computeAccountSpan,
  computeIssueLimit,
  computeUnconfirmedLimit,
  type OperationRate,
  type QuotaRule,
} from './operationlimit.js';
import {
  type AccountsCopy,
  compareVersions,
  type CopyVersion,
  type GrantedPermits,
  NO_COPY,
  type PermitAnswer,
  type PermitRequest,
  type ReturnedPermits,
  type WantedPermits,
} from './permitmessage.js';
import { WindowAccount } from './windowaccount.js';

/**
 * Share of the live VMs that must acknowledge a lender. More than half, so that two VMs whose lists
 * differ in up to a fifth of the VMs can't both have it.
 */
const QUORUM = 0.6;
/** Among more than this share of the VMs is one of any quorum. */
const INFORMED_SHARE = 1 - QUORUM;
/** A lender stops this long before its acknowledgements end at the other VMs. */
const ACKNOWLEDGEMENT_MARGIN_MS: Millis = 100;
const COPY_INTERVAL_MS: Millis = 200;
const MAX_TERM_FRACTION = 0.999;

/** The lender's process, the rule, and the limits in force. */
export interface PermitLenderOptions {
  /** Names the process. */
  readonly run: string;
  readonly rule: QuotaRule;
  /** Undefined for an organisation without a limit. */
  readonly findRate: (organisation: string) => OperationRate | undefined;
  /** A random number from 0 to 1. */
  readonly random: () => number;
}

/** The last request of a VM. */
interface Acknowledgement {
  readonly validUntil: Millis;
  readonly uptimeMs: Millis;
  readonly confirmed: CopyVersion;
  /** The copy that the VM has sent since this VM last began or ended to lend. */
  readonly copy: AccountsCopy | undefined;
  /** When the copy was made; later than true by the time on the way. */
  readonly copiedAt: Millis;
}

/** An acknowledgement with a copy of the accounts. */
type Report = Acknowledgement & { readonly copy: AccountsCopy };

/** What an organisation has been issued. */
interface Account {
  readonly window: WindowAccount;
  /** Permits issued since this VM began to lend. */
  issued: number;
}

/** A copy that may not have reached a quorum yet. */
interface OpenCopy {
  readonly madeAt: Millis;
  readonly copy: AccountsCopy;
  readonly issued: ReadonlyMap<string, number>;
}

/**
 * Finds the newest copy; several where lenders took the same term, of which at most one has lent.
 */
function findNewest(reports: readonly Report[]): readonly Report[] {
  const newestTerm = Math.floor(Math.max(...reports.map(({ copy }) => copy.term)));
  const byTerm = new Map<number, Report>();
  reports
    .filter(({ copy }) => copy.term >= newestTerm)
    .forEach((report) => {
      const known = byTerm.get(report.copy.term);
      if (!known || report.copy.sequence > known.copy.sequence) {
        byTerm.set(report.copy.term, report);
      }
    });
  return [...byTerm.values()];
}

/**
 * Issues permits for operations of one part of the organisations, while a quorum of the live VMs
 * acknowledges this VM as their lender. Answers carry copies of the accounts, and only a part of
 * each limit is issued before a quorum has confirmed a copy: a successor finds a copy that lacks at
 * most that part. Times are of a clock that counts suspensions.
 */
export class PermitLender {
  private vms: readonly string[] = [];

  private readonly acknowledgements = new Map<string, Acknowledgement>();

  private readonly accounts = new Map<string, Account>();

  /** Copies from the last one on that a quorum has confirmed. */
  private copies: readonly OpenCopy[] = [];

  private isReleased = false;

  private startedAt: Millis | undefined;

  /** True when the accounts before `startedAt` are known but for the unconfirmed part. */
  private isInformed = false;

  private version: CopyVersion = NO_COPY;

  private isChanged = false;

  constructor(private readonly options: PermitLenderOptions) {}

  /** Sets the live VMs; none until they are known. */
  updateVms(vms: readonly string[]): void {
    this.vms = vms;
    const live = new Set(vms);
    [...this.acknowledgements.keys()]
      .filter((vm) => !live.has(vm))
      .forEach((vm) => this.acknowledgements.delete(vm));
  }

  /** Stops lending for the rest of the process's life. */
  release(): void {
    this.isReleased = true;
  }

  isLending(now: Millis): boolean {
    this.updateRole(now);
    return this.isReady();
  }

  handleRequest(vm: string, request: PermitRequest, now: Millis): PermitAnswer {
    this.recordAcknowledgement(vm, request, now);
    this.updateRole(now);
    const isLending = this.isReady();
    if (isLending && request.echo?.run === this.options.run) {
      request.returned.forEach((returned) => this.takeBack(returned));
    }
    const granted = isLending ? request.wanted.map((wanted) => this.grant(wanted, now)) : [];
    const copy = this.startedAt === undefined ? undefined : this.findCopyFor(request, now);
    const { isReleased } = this;
    return { run: this.options.run, sentAt: now, isLending, isReleased, copy, granted };
  }

  private recordAcknowledgement(vm: string, request: PermitRequest, now: Millis): void {
    if (!this.vms.includes(vm)) return;
    const { echo, uptimeMs, confirmed } = request;
    const known = this.acknowledgements.get(vm);
    const copy = request.copy ?? known?.copy;
    this.acknowledgements.set(vm, {
      ...{ uptimeMs, confirmed, copy },
      copiedAt: request.copy ? now - request.copy.ageMs : (known?.copiedAt ?? now),
      validUntil:
        echo?.run === this.options.run
          ? echo.sentAt + ACKNOWLEDGEMENT_MS - ACKNOWLEDGEMENT_MARGIN_MS
          : Number.NEGATIVE_INFINITY,
    });
  }

  private listValid(now: Millis): readonly Acknowledgement[] {
    return [...this.acknowledgements.values()].filter(({ validUntil }) => now < validUntil);
  }

  private isQuorum(count: number): boolean {
    return this.vms.length > 0 && count > this.vms.length * QUORUM;
  }

  private updateRole(now: Millis): void {
    const valid = this.listValid(now);
    const mayLend = !this.isReleased && this.isQuorum(valid.length);
    if (this.startedAt !== undefined) {
      if (mayLend) this.confirmCopies(valid);
      else this.stop();
      return;
    }
    const reporting = valid.flatMap((one) => (one.copy ? [{ ...one, copy: one.copy }] : []));
    if (mayLend && this.isQuorum(reporting.length)) this.start(reporting, now);
  }

  /** True once a quorum has a copy of this term, so that no successor can miss the term. */
  private isReady(): boolean {
    return this.startedAt !== undefined && (this.copies[0]?.copy.sequence ?? 0) > 0;
  }

  private stop(): void {
    this.startedAt = undefined;
    this.clearCopies();
  }

  /** A copy that was sent before this VM began or ended to lend may lack what was lent since. */
  private clearCopies(): void {
    this.acknowledgements.forEach((known, vm) => {
      this.acknowledgements.set(vm, { ...known, copy: undefined });
    });
  }

  private start(reporting: readonly Report[], now: Millis): void {
    const span = computeAccountSpan(this.options.rule) + COUNT_INTERVAL_MS;
    // A VM that has started lately may have forgotten a copy that it confirmed; a lender that it
    // had acknowledged went on for as long as that was valid.
    const informed = reporting.filter(({ uptimeMs }) => uptimeMs >= span + ACKNOWLEDGEMENT_MS);
    this.startedAt = now;
    this.isInformed = informed.length > this.vms.length * INFORMED_SHARE;
    this.accounts.clear();
    const newest = findNewest(reporting);
    newest.forEach((reported) => this.loadAccounts(reported, now));
    this.accounts.forEach(({ window }, organisation) => this.addAssumed(organisation, window));
    const known = Math.max(this.version.term, ...newest.map(({ copy }) => copy.term));
    // The fraction tells apart lenders that didn't know of each other.
    const term = Math.floor(known) + 1 + this.options.random() * MAX_TERM_FRACTION;
    this.version = { term, sequence: 0 };
    const empty = { ...this.version, ageMs: 0, accounts: {} };
    this.copies = [{ madeAt: Number.NEGATIVE_INFINITY, copy: empty, issued: new Map() }];
    this.clearCopies();
    this.isChanged = true;
  }

  private loadAccounts({ copy, copiedAt }: Report, now: Millis): void {
    Object.entries(copy.accounts).forEach(([organisation, counts]) => {
      const account = this.accounts.get(organisation) ?? this.createAccount();
      account.window.load(counts, Math.min(now, copiedAt));
      this.accounts.set(organisation, account);
    });
  }

  private createAccount(): Account {
    return { window: new WindowAccount(computeAccountSpan(this.options.rule)), issued: 0 };
  }

  /**
   * Counts as used what earlier lenders may have issued without a trace in the copies: just now,
   * when what the copies hold may already have left the window.
   */
  private addAssumed(organisation: string, window: WindowAccount): void {
    const limit = this.findIssueLimit(organisation);
    if (limit === undefined || this.startedAt === undefined) return;
    window.add(this.isInformed ? computeUnconfirmedLimit(limit) : limit, this.startedAt);
  }

  private findIssueLimit(organisation: string): number | undefined {
    const rate = this.options.findRate(organisation);
    return rate && computeIssueLimit(rate, this.options.rule);
  }

  private findAccount(organisation: string): Account {
    const known = this.accounts.get(organisation);
    if (known) return known;
    const account = this.createAccount();
    this.addAssumed(organisation, account.window);
    this.accounts.set(organisation, account);
    return account;
  }

  private takeBack({ organisation, count, interval }: ReturnedPermits): void {
    // What was counted up to the start is no permit of this term.
    if (interval * COUNT_INTERVAL_MS <= (this.startedAt ?? Number.POSITIVE_INFINITY)) return;
    this.accounts.get(organisation)?.window.remove(count, interval);
    this.isChanged = true;
  }

  private grant({ organisation, count: wanted }: WantedPermits, now: Millis): GrantedPermits {
    const account = this.findAccount(organisation);
    const limit = this.findIssueLimit(organisation) ?? Number.POSITIVE_INFINITY;
    const free = limit - account.window.readSum(now);
    const confirmed = this.copies[0]?.issued.get(organisation) ?? 0;
    const room = computeUnconfirmedLimit(limit) - (account.issued - confirmed);
    const count = Math.max(0, Math.min(wanted, free, room));
    const interval = account.window.add(count, now);
    account.issued += count;
    if (count > 0) this.isChanged = true;
    return { organisation, count, interval, isLimited: count < wanted && count >= free };
  }

  /** Drops the copies before the newest one that a quorum has. */
  private confirmCopies(valid: readonly Acknowledgement[]): void {
    const { term } = this.version;
    const confirmed = valid.filter((one) => one.confirmed.term === term);
    const newest = this.copies.findLastIndex(({ copy }) =>
      this.isQuorum(confirmed.filter((one) => one.confirmed.sequence >= copy.sequence).length),
    );
    if (newest > 0) this.copies = this.copies.slice(newest);
  }

  /** The newest copy, unless the holder has it. */
  private findCopyFor({ confirmed }: PermitRequest, now: Millis): AccountsCopy | undefined {
    const last = this.copies.at(-1);
    if (this.isChanged && now - (last?.madeAt ?? Number.NEGATIVE_INFINITY) >= COPY_INTERVAL_MS) {
      this.addCopy(now);
    }
    const newest = this.copies.at(-1);
    if (!newest || compareVersions(confirmed, newest.copy) >= 0) return undefined;
    return { ...newest.copy, ageMs: Math.max(0, Math.floor(now - newest.madeAt)) };
  }

  private addCopy(now: Millis): void {
    const { term, sequence } = this.version;
    this.version = { term, sequence: sequence + 1 };
    this.isChanged = false;
    const accounts = Object.fromEntries(
      [...this.accounts]
        .filter(([, { window }]) => window.readSum(now) > 0)
        .map(([organisation, { window }]) => [organisation, window.listByAge(now)] as const),
    );
    const issued = new Map([...this.accounts].map(([name, account]) => [name, account.issued]));
    this.copies = [
      ...this.copies,
      { madeAt: now, copy: { ...this.version, ageMs: 0, accounts }, issued },
    ];
  }
}
