/** Runs of a task at the same time: a second one may start beside one that gets no answer. */
const MAX_ACTIVE = 2;

/**
 * Bounds how often a costly task runs at the same time. Whoever asks while as many run as may gets
 * the next run, which all of them share and which begins after each of them has asked.
 */
export class SharedRun {
  private readonly active = new Set<Promise<void>>();

  private next: Promise<void> | undefined;

  constructor(private readonly task: () => Promise<void>) {}

  /** Runs the task, now or once another run has ended. */
  async run(): Promise<void> {
    if (this.active.size < MAX_ACTIVE) return this.start();
    this.next ??= this.startNext();
    return this.next;
  }

  private async startNext(): Promise<void> {
    while (this.active.size >= MAX_ACTIVE) await this.waitForEnd();
    this.next = undefined;
    return this.start();
  }

  /** Waits until a run has ended, in whatever way. */
  private async waitForEnd(): Promise<void> {
    await Promise.race([...this.active].map(async (run) => run.catch(() => undefined)));
  }

  private async start(): Promise<void> {
    const run = this.task();
    this.active.add(run);
    try {
      await run;
    } finally {
      this.active.delete(run);
    }
  }
}
