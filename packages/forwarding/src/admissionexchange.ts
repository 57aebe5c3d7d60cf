import type { Clock, Millis } from '@shallotpick/core';
import type { HomeStatus, Lease, WorkRequest } from '@shallotpick/engine';
import type { EntryMessage, LINK_FEATURES } from './message.js';
import { toForwardedRequest } from './workrequest.js';

/** Feature that a home needs for work in the name of an organisation. */
const ORGANISATIONS: (typeof LINK_FEATURES)[number] = 'organisations';

/** The result of asking a home for a connection. */
export type Admission =
  | { readonly kind: 'granted'; readonly lease: Lease }
  /** The work has not run; with `mayTryOther` another home may serve it. */
  | { readonly kind: 'refused'; readonly reason: string; readonly mayTryOther: boolean };

/** An admission without an answer. */
interface PendingAdmission {
  readonly group: string;
  readonly request: WorkRequest;
  readonly resolve: (admission: Admission) => void;
  /** False while the home's first status is awaited. */
  readonly isSent: boolean;
}

/** The admissions on one link that have no answer yet. */
export class AdmissionExchange {
  private readonly pending = new Map<number, PendingAdmission>();

  private nextLease = 1;

  /** Optional parts of the protocol that the home knows; undefined before its first status. */
  private features: ReadonlySet<string> | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly send: (message: EntryMessage) => void,
  ) {}

  /**
   * Asks the home for a connection. Work in the name of an organisation waits for the home's first
   * status, which tells whether the home knows organisations.
   */
  async request(group: string, request: WorkRequest): Promise<Admission> {
    const lease = this.nextLease;
    this.nextLease += 1;
    return new Promise((resolve) => {
      this.pending.set(lease, { group, request, resolve, isSent: false });
      if (this.features || request.organisation === undefined) this.submit(lease);
    });
  }

  count(): number {
    return this.pending.size;
  }

  has(lease: number): boolean {
    return this.pending.has(lease);
  }

  /** Submits what has waited for the home's first status. */
  handleStatus({ isIsolated, isDraining }: HomeStatus, features: ReadonlySet<string>): void {
    this.features = features;
    this.pending.forEach(({ isSent }, lease) => {
      if (isSent) return;
      if (isIsolated || isDraining) this.refuse(lease, 'the home takes no more work');
      else this.submit(lease);
    });
  }

  settle(lease: number, admission: Admission): void {
    const pending = this.pending.get(lease);
    this.pending.delete(lease);
    pending?.resolve(admission);
  }

  /** Takes back all admissions, so that the work can be tried elsewhere. */
  withdrawAll(reason: string): void {
    this.pending.forEach((_, lease) => this.withdraw(lease, reason, true));
  }

  /** Takes back the admissions whose callers no longer wait. */
  withdrawOverdue(now: Millis): void {
    this.pending.forEach(({ request }, lease) => {
      if (now >= request.deadline) this.withdraw(lease, 'not admitted in time', false);
    });
  }

  /** Ends all admissions after the link has been closed. */
  close(reason: string): void {
    this.pending.forEach((_, lease) => this.refuse(lease, reason));
  }

  private submit(lease: number): void {
    const pending = this.pending.get(lease);
    if (!pending) return;
    const { group, request } = pending;
    if (request.organisation !== undefined && !this.features?.has(ORGANISATIONS)) {
      this.refuse(lease, 'the home knows no organisations');
      return;
    }
    this.pending.set(lease, { ...pending, isSent: true });
    const forwarded = toForwardedRequest(request, this.clock.readNow());
    try {
      this.send({ type: 'admit', lease, group, request: forwarded });
    } catch (error) {
      this.settle(lease, { kind: 'refused', reason: String(error), mayTryOther: false });
    }
  }

  private withdraw(lease: number, reason: string, mayTryOther: boolean): void {
    if (this.pending.get(lease)?.isSent) this.send({ type: 'release', lease });
    this.settle(lease, { kind: 'refused', reason, mayTryOther });
  }

  private refuse(lease: number, reason: string): void {
    this.settle(lease, { kind: 'refused', reason, mayTryOther: true });
  }
}
