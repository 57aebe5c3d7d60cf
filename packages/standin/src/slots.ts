/** A counting semaphore that serves waiters in order of arrival. */
export class Slots {
  private running = 0;

  private readonly waiting: (() => void)[] = [];

  constructor(private readonly limit: number) {}

  countRunning(): number {
    return this.running;
  }

  /** Waits for a free slot and runs `task` in it. */
  async run<T>(task: () => Promise<T>): Promise<T> {
    if (this.running >= this.limit) {
      await new Promise<void>((resolve) => {
        this.waiting.push(resolve);
      });
    } else {
      this.running += 1;
    }
    try {
      return await task();
    } finally {
      const next = this.waiting.shift();
      if (next) next();
      else this.running -= 1;
    }
  }
}
