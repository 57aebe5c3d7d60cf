import { performance } from 'node:perf_hooks';
import type { Millis } from '@shallotpick/core';

/** Time of day at which virtual time begins, in Unix milliseconds. */
const START_MS: Millis = 1_700_000_000_000;

/** A pending timer. */
interface Timer {
  readonly id: number;
  readonly run: () => void;
  readonly intervalMs: Millis | undefined;
  dueAt: Millis;
}

/** What the engine's code holds of a timer. */
interface TimerHandle {
  readonly id: number;
  unref(): TimerHandle;
}

const replaced = {
  setTimeout: globalThis.setTimeout,
  clearTimeout: globalThis.clearTimeout,
  setInterval: globalThis.setInterval,
  clearInterval: globalThis.clearInterval,
};
const readWall = Date.now;
const { random } = Math;

async function runMicrotasks(): Promise<void> {
  await new Promise<void>((resolve) => {
    setImmediate(resolve);
  });
}

/**
 * Replaces the timers, the clocks and the random numbers of the process, so that code runs without
 * real waits and alike each time. `restore` must be called at the end.
 */
export class VirtualTime {
  now: Millis = 0;

  /** Errors that callbacks of timers have thrown; each would have ended a process. */
  readonly errors: unknown[] = [];

  private readonly timers = new Map<number, Timer>();

  private nextId = 1;

  constructor(createRandom: () => number) {
    const add = (run: () => void, delayMs: Millis | undefined, isInterval: boolean): TimerHandle =>
      this.add(run, delayMs ?? 0, isInterval);
    const remove = (handle: TimerHandle | undefined): void => {
      if (handle) this.timers.delete(handle.id);
    };
    Object.assign(globalThis, {
      setTimeout: (run: (...args: unknown[]) => void, delayMs?: Millis, ...args: unknown[]) =>
        add(() => run(...args), delayMs, false),
      setInterval: (run: () => void, delayMs?: Millis) => add(run, delayMs, true),
      clearTimeout: remove,
      clearInterval: remove,
    });
    performance.now = () => this.now;
    Date.now = () => START_MS + this.now;
    Math.random = createRandom;
  }

  restore(): void {
    Object.assign(globalThis, replaced);
    Reflect.deleteProperty(performance, 'now');
    Date.now = readWall;
    Math.random = random;
  }

  /** Advances the time and runs the timers that are due, in order. */
  async advance(durationMs: Millis): Promise<void> {
    const end = this.now + durationMs;
    await runMicrotasks();
    for (let next = this.findNext(end); next; next = this.findNext(end)) {
      this.run(next);
      await runMicrotasks();
    }
    this.now = end;
  }

  private add(run: () => void, delayMs: Millis, isInterval: boolean): TimerHandle {
    const id = this.nextId;
    this.nextId += 1;
    const durationMs = Math.max(1, delayMs);
    const intervalMs = isInterval ? durationMs : undefined;
    this.timers.set(id, { id, run, intervalMs, dueAt: this.now + durationMs });
    const handle: TimerHandle = { id, unref: () => handle };
    return handle;
  }

  private findNext(end: Millis): Timer | undefined {
    let next: Timer | undefined;
    this.timers.forEach((timer) => {
      if (timer.dueAt <= end && (!next || timer.dueAt < next.dueAt)) next = timer;
    });
    return next;
  }

  private run(timer: Timer): void {
    this.now = Math.max(this.now, timer.dueAt);
    if (timer.intervalMs === undefined) this.timers.delete(timer.id);
    else Object.assign(timer, { dueAt: this.now + timer.intervalMs });
    try {
      timer.run();
    } catch (error) {
      this.errors.push(error);
    }
  }
}
