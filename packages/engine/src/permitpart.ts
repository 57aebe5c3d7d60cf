import {
  type AddressedRequest,
  type Clock,
  type HeldPermit,
  type Millis,
  type PermitAnswer,
  PermitClient,
  type PermitHolderOptions,
  PermitLender,
  type PermitLenderOptions,
  type PermitRequest,
} from '@shallotpick/core';
import { createStoppedError, NotRunError } from './errors.js';

/** Requests of callers that arrive within this time are sent to the lender as one. */
const BATCH_MS: Millis = 2;
/** Longest wait for a permit; a lender that is lost has a successor about then. */
const MAX_WAIT_MS: Millis = 1_000;

/** Why an operation got no permit. */
export type QuotaRefusal = 'limit' | 'lender' | 'deadline';

/** An operation that waits for a permit. */
interface Waiter {
  readonly resolve: (permit: HeldPermit) => void;
  readonly reject: (error: Error) => void;
  readonly deadline: Millis;
}

/** This VM and its services for one part of the organisations. */
export interface PermitPartOptions extends PermitHolderOptions, PermitLenderOptions {
  /** Clock that includes suspensions of the VM. */
  readonly clock: Clock;
  readonly listVms: () => readonly string[];
  /** Sends a request to another VM; undefined when there is no answer. */
  readonly request: (vm: string, request: PermitRequest) => Promise<PermitAnswer | undefined>;
  readonly onRefusal: (organisation: string, refusal: QuotaRefusal) => void;
}

const REFUSAL_TEXTS: Readonly<Record<QuotaRefusal, string>> = {
  limit: 'the organisation has used up its rate limit',
  lender: 'no VM issues permits for the organisation',
  deadline: 'no permit for the organisation in time',
};

/** Takes and lends the permits for one part of the organisations on this VM. */
export class PermitPart {
  readonly client: PermitClient;

  readonly lender: PermitLender;

  /** The operations of each organisation that wait, the oldest first. */
  private readonly waiting = new Map<string, readonly Waiter[]>();

  private flushTimer: NodeJS.Timeout | undefined;

  private isStopped = false;

  constructor(private readonly options: PermitPartOptions) {
    this.client = new PermitClient(options);
    this.lender = new PermitLender(options);
  }

  /**
   * Takes a permit at once, or waits for one in turn.
   *
   * @throws NotRunError when there is none.
   */
  async take(organisation: string, deadline: Millis): Promise<HeldPermit> {
    if (this.isStopped) throw createStoppedError();
    const now = this.options.clock.readNow();
    const { holder } = this.client;
    holder.recordDemand(organisation, now);
    const isFirst = !this.waiting.has(organisation);
    const permit = isFirst ? holder.take(organisation, now) : undefined;
    if (permit) return permit;
    if (holder.isLimited(organisation, now)) throw this.refuse(organisation, 'limit');
    return new Promise((resolve, reject) => {
      const waiter = { resolve, reject, deadline: Math.min(deadline, now + MAX_WAIT_MS) };
      this.waiting.set(organisation, [...(this.waiting.get(organisation) ?? []), waiter]);
      this.scheduleFlush();
    });
  }

  /** True while operations wait for a permit. */
  hasWaiting(): boolean {
    return this.waiting.size > 0;
  }

  handleTick(): void {
    this.lender.updateVms(this.options.listVms());
    const now = this.options.clock.readNow();
    this.waiting.forEach((_, organisation) => this.serveWaiting(organisation, now));
    this.send();
  }

  /** Refuses the operations that wait, and those that ask from now on. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.flushTimer);
    const waiters = [...this.waiting.values()].flat();
    this.waiting.clear();
    waiters.forEach(({ reject }) => reject(createStoppedError()));
  }

  private scheduleFlush(): void {
    this.flushTimer ??= setTimeout(() => {
      this.flushTimer = undefined;
      this.send();
    }, BATCH_MS);
  }

  private send(): void {
    const { vm, clock, listVms, request } = this.options;
    const now = clock.readNow();
    const waiting = new Map([...this.waiting].map(([name, waiters]) => [name, waiters.length]));
    const asked = this.client.createRequest(listVms(), waiting, now);
    if (!asked) return;
    if (asked.lender === vm) {
      this.handleAnswer(asked, this.lender.handleRequest(vm, asked.request, now));
      return;
    }
    request(asked.lender, asked.request)
      .catch(() => undefined)
      .then((answer) => this.handleAnswer(asked, answer))
      .catch(() => undefined);
  }

  private handleAnswer(asked: AddressedRequest, answer: PermitAnswer | undefined): void {
    const now = this.options.clock.readNow();
    this.client.handleAnswer(asked, answer, now);
    this.waiting.forEach((_, organisation) => this.serveWaiting(organisation, now));
  }

  /** Gives the permits in hand to the operations that wait, and refuses those that get none. */
  private serveWaiting(organisation: string, now: Millis): void {
    const { holder } = this.client;
    const isLimited = holder.isLimited(organisation, now);
    const left = (this.waiting.get(organisation) ?? []).filter((waiter) => {
      const permit = this.takePermit(organisation, now);
      if (permit) waiter.resolve(permit);
      else if (isLimited) waiter.reject(this.refuse(organisation, 'limit'));
      else if (now >= waiter.deadline) waiter.reject(this.refuse(organisation, this.findReason()));
      else return true;
      return false;
    });
    if (left.length > 0) this.waiting.set(organisation, left);
    else this.waiting.delete(organisation);
  }

  private takePermit(organisation: string, now: Millis): HeldPermit | undefined {
    const { holder } = this.client;
    // The limit went while the operation waited.
    if (!this.options.findRate(organisation)) {
      return { organisation, endsAt: Number.POSITIVE_INFINITY };
    }
    const permit = holder.take(organisation, now);
    if (permit || this.client.hasLender()) return permit;
    return holder.takeFloor(organisation, this.options.listVms(), now);
  }

  private findReason(): QuotaRefusal {
    return this.client.hasLender() ? 'deadline' : 'lender';
  }

  private refuse(organisation: string, refusal: QuotaRefusal): Error {
    this.options.onRefusal(organisation, refusal);
    return new NotRunError(REFUSAL_TEXTS[refusal]);
  }
}
