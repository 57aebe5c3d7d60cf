import type { Millis } from '../clock.js';
import { LenderChoice } from './lenderchoice.js';
import { PermitHolder, type PermitHolderOptions } from './permitholder.js';
import type { PermitAnswer, PermitRequest } from './permitmessage.js';
import { rankVms } from '../membership/rendezvous.js';

/** Interval of the requests that only acknowledge the lender. */
const HEARTBEAT_MS: Millis = 400;
/** Interval while the lender gathers acknowledgements. */
const STARTING_HEARTBEAT_MS: Millis = 50;
const MIN_REQUEST_GAP_MS: Millis = 10;
const ANSWER_TIMEOUT_MS: Millis = 300;

/** A request and the VM that it goes to. */
export interface AddressedRequest {
  readonly lender: string;
  readonly sentAt: Millis;
  readonly request: PermitRequest;
}

/** Decides when a VM asks which lender for permits of one part of the organisations. */
export class PermitClient {
  readonly holder: PermitHolder;

  /** The lender that was asked last. */
  lender: string | undefined;

  private readonly choice: LenderChoice;

  private outstanding: AddressedRequest | undefined;

  private lastSentAt: Millis = Number.NEGATIVE_INFINITY;

  private isLending = false;

  constructor(private readonly options: PermitHolderOptions) {
    this.holder = new PermitHolder(options);
    this.choice = new LenderChoice(options.startedAt);
  }

  /** True when the last lender that was asked lends. */
  hasLender(): boolean {
    return this.isLending;
  }

  /** Creates the next request; undefined when none is due. */
  createRequest(
    vms: readonly string[],
    waiting: ReadonlyMap<string, number>,
    now: Millis,
  ): AddressedRequest | undefined {
    if (this.outstanding && now - this.outstanding.sentAt < ANSWER_TIMEOUT_MS) return undefined;
    if (this.outstanding) this.isLending = false;
    this.outstanding = undefined;
    if (!this.isDue(waiting, now)) return undefined;
    const lender = this.choose(vms, now);
    if (lender === undefined) return undefined;
    const request = this.holder.createRequest(waiting, now);
    this.choice.handleSent(now);
    this.lastSentAt = now;
    this.outstanding = { lender, sentAt: now, request };
    return this.outstanding;
  }

  /** Handles the answer to a request; undefined means that it failed. */
  handleAnswer(asked: AddressedRequest, answer: PermitAnswer | undefined, now: Millis): void {
    if (this.outstanding !== asked) {
      if (answer) this.handleLateAnswer(asked, answer, now);
      return;
    }
    this.outstanding = undefined;
    this.isLending = answer?.isLending === true;
    if (!answer) return;
    this.holder.handleAnswer(answer, asked.sentAt, now);
    this.choice.handleAnswer(answer.isLending, answer.isReleased, now);
  }

  /** A late answer shows that the lender lives; its permits are returned. */
  private handleLateAnswer(asked: AddressedRequest, answer: PermitAnswer, now: Millis): void {
    this.holder.releaseAll(answer);
    if (asked.lender === this.lender) this.choice.handleAnswer(answer.isLending, false, now);
  }

  private choose(vms: readonly string[], now: Millis): string | undefined {
    const lender = this.choice.choose(rankVms(`permits|${this.options.part}`, vms), now);
    if (lender !== undefined && lender !== this.lender) {
      this.lender = lender;
      this.isLending = false;
      this.holder.clearLender();
    }
    return lender;
  }

  private isDue(waiting: ReadonlyMap<string, number>, now: Millis): boolean {
    const elapsed = now - this.lastSentAt;
    if (elapsed < MIN_REQUEST_GAP_MS) return false;
    if (elapsed >= (this.isLending ? HEARTBEAT_MS : STARTING_HEARTBEAT_MS)) return true;
    return this.isLending && (waiting.size > 0 || this.holder.mustAskAhead(now));
  }
}
