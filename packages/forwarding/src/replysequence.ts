/** Has what follows from the operations of one lease happen in the order of these. */
export class ReplySequence {
  private last: Promise<void> = Promise.resolve();

  /** Calls one of the handlers once the result is there and all earlier ones are handled. */
  async add<T>(
    result: Promise<T>,
    onResult: (result: T) => void,
    onError: (error: unknown) => void,
  ): Promise<void> {
    const earlier = this.last;
    const handled = result.then(
      async (value) => earlier.then(() => onResult(value)),
      async (error: unknown) => earlier.then(() => onError(error)),
    );
    this.last = handled;
    await handled;
  }
}
