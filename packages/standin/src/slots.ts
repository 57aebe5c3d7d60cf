/** A counting semaphore with first-come-first-served order. */
export class Slots {
  private running = 0;

  private readonly waiting: (() => void)[] = [];

  constructor(private readonly limit: number) {}

  countRunning(): number {
    return this.running;
  }

  /** Runs `task` when a slot is free. */
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
