import type { Millis } from '../clock.js';
import type { Work } from './fairqueue.js';
import { type Capacity, SlotTable } from './slottable.js';

/** Why work is refused. */
export type RefusalCause = 'queueFull' | 'expectedWait' | 'deadlinePassed';

/** The expectation for which work is refused. */
export interface ExpectedWait {
  readonly waitMs: Millis;
  /** Longest wait with which the work would still make its deadline. */
  readonly limitMs: Millis;
}

/** A decision on queued work: start it on an instance, or refuse it. */
export type QueueDecision =
  | {
      readonly kind: 'start';
      readonly work: Work;
      readonly instance: string;
      readonly reason: string;
    }
  | {
      readonly kind: 'refuse';
      readonly work: Work;
      readonly reason: string;
      readonly cause: RefusalCause;
      readonly expected?: ExpectedWait;
    };

/** Queue of work that waits for a slot of an instance. The order depends on the implementation. */
export abstract class SlotQueue<W extends Work> {
  constructor(protected readonly slots = new SlotTable()) {}

  abstract countQueued(): number;

  abstract add(work: W, now: Millis): readonly QueueDecision[];

  /** Removes queued work; false when it has started or left the queue already. */
  abstract remove(work: W): boolean;

  /** Refuses work whose deadline has passed, and tries the rest again. */
  abstract handleTick(now: Millis): readonly QueueDecision[];

  /** Starts the work that can start now. */
  protected abstract dispatch(now: Millis): readonly QueueDecision[];

  updateCapacity(instance: string, capacity: Capacity, now: Millis): readonly QueueDecision[] {
    return this.slots.updateCapacity(instance, capacity) ? this.dispatch(now) : [];
  }

  /** Removes an instance with its load; the end of work that it ran must not be reported. */
  removeInstance(instance: string): void {
    this.slots.removeInstance(instance);
  }

  /** Handles the release of a connection. `isIdle`: its statement had already ended. */
  handleDone(
    instance: string,
    { length }: Work,
    now: Millis,
    isIdle = false,
  ): readonly QueueDecision[] {
    this.slots.release(instance, length, isIdle);
    return this.dispatch(now);
  }

  /** Handles the end of a statement in a transaction, which keeps its connection but no slot. */
  handleIdle(instance: string, { length }: Work, now: Millis): readonly QueueDecision[] {
    this.slots.updateRunning(instance, length, -1);
    return this.dispatch(now);
  }

  /** Handles a transaction's next statement, never queued since others may wait for its locks. */
  handleBusy(instance: string, { length }: Work): void {
    this.slots.updateRunning(instance, length, 1);
  }
}
