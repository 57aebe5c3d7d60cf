/** Requests without an answer that are remembered on a link. */
const MAX_OPEN_REQUESTS = 256;

/** The requests of one kind on a link, which its peer answers by their numbers. */
export class AnswerExchange<TRequest, TAnswer> {
  private readonly open = new Map<number, (answer: TAnswer | undefined) => void>();

  private requests = 0;

  constructor(private readonly send: (number: number, request: TRequest) => void) {}

  /** Sends a request; undefined when the link ends, or too many are open, before its answer. */
  async request(request: TRequest): Promise<TAnswer | undefined> {
    this.requests += 1;
    const number = this.requests;
    this.settle(number - MAX_OPEN_REQUESTS, undefined);
    return new Promise((resolve) => {
      this.open.set(number, resolve);
      this.send(number, request);
    });
  }

  settle(number: number, answer: TAnswer | undefined): void {
    this.open.get(number)?.(answer);
    this.open.delete(number);
  }

  /** Ends the requests without an answer. */
  close(): void {
    this.open.forEach((resolve) => resolve(undefined));
    this.open.clear();
  }
}
