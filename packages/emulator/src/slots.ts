/** Limits the number of concurrent statements; further ones wait in order of arrival. */
export class Slots {
  private free: number;

  private readonly waiting: (() => void)[] = [];

  constructor(count: number) {
    this.free = count;
  }

  /** Runs `work` while holding a slot. */
  async run<T>(work: () => Promise<T>): Promise<T> {
    await this.acquire();
    try {
      return await work();
    } finally {
      this.release();
    }
  }

  private async acquire(): Promise<void> {
    if (this.free > 0) {
      this.free -= 1;
      return;
    }
    await new Promise<void>((resolve) => {
      this.waiting.push(resolve);
    });
  }

  private release(): void {
    const next = this.waiting.shift();
    if (next) next();
    else this.free += 1;
  }
}
