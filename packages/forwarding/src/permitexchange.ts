import type { PermitAnswer, PermitRequest } from '@shallotpick/core';
import type { EntryMessage, HomeMessage } from './message.js';

/** Requests without an answer that are remembered on a link. */
const MAX_OPEN_REQUESTS = 256;

type IssuedMessage = HomeMessage & { readonly type: 'issued' };
type Resolve = (answer: PermitAnswer | undefined) => void;

/** The requests for permits on one link. */
export class PermitExchange {
  private readonly open = new Map<number, Resolve>();

  private requests = 0;

  constructor(private readonly send: (message: EntryMessage) => void) {}

  async request(request: PermitRequest): Promise<PermitAnswer | undefined> {
    this.requests += 1;
    const number = this.requests;
    this.settle(number - MAX_OPEN_REQUESTS, undefined);
    return new Promise((resolve) => {
      this.open.set(number, resolve);
      this.send({ type: 'permits', number, request });
    });
  }

  handleIssued({ number, answer }: IssuedMessage): void {
    this.settle(number, answer);
  }

  /** Ends the requests without an answer. */
  close(): void {
    this.open.forEach((resolve) => resolve(undefined));
    this.open.clear();
  }

  private settle(number: number, answer: PermitAnswer | undefined): void {
    this.open.get(number)?.(answer);
    this.open.delete(number);
  }
}
