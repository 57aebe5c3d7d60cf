import type { Millis } from './clock.js';
import type { Route } from './router.js';

/** A piece of work that waits for a slot of an instance. */
export interface Work {
  readonly id: number;
  /** Work of different callers is admitted in turn. */
  readonly caller: string;
  readonly length: 'short' | 'long';
  readonly deadline: Millis;
}

/** How much of an instance this proxy may use now. */
export interface Capacity {
  /** Statements at the same time. */
  readonly concurrency: number;
  /** How many of them may be long. */
  readonly longPermits: number;
}

export type AdmissionDecision =
  | {
      readonly kind: 'start';
      readonly work: Work;
      readonly instance: string;
      readonly reason: string;
    }
  | { readonly kind: 'refuse'; readonly work: Work; readonly reason: string };

interface Load {
  short: number;
  long: number;
}

export interface AdmissionOptions {
  /** Work beyond this is refused at once. */
  readonly maxQueued: number;
  /** Asked again on each dispatch, since replicas and the primary change while work waits. */
  readonly findRoute: (work: Work, now: Millis) => Route;
}

const NO_CAPACITY: Capacity = { concurrency: 0, longPermits: 0 };

/** The bounded queue before the instances of one group, fair between callers. */
export class AdmissionQueue {
  private readonly queues = new Map<string, Work[]>();

  private readonly capacities = new Map<string, Capacity>();

  private readonly loads = new Map<string, Load>();

  private queued = 0;

  constructor(private readonly options: AdmissionOptions) {}

  /** Number of works that wait. */
  countQueued(): number {
    return this.queued;
  }

  /** Number of works that run on the instance. */
  countRunning(instance: string): number {
    const load = this.loads.get(instance);
    return load ? load.short + load.long : 0;
  }

  updateCapacity(instance: string, capacity: Capacity, now: Millis): readonly AdmissionDecision[] {
    this.capacities.set(instance, capacity);
    return this.dispatch(now);
  }

  add(work: Work, now: Millis): readonly AdmissionDecision[] {
    if (this.queued >= this.options.maxQueued) {
      return [{ kind: 'refuse', work, reason: 'the queue is full' }];
    }
    const queue = this.queues.get(work.caller);
    if (queue) queue.push(work);
    else this.queues.set(work.caller, [work]);
    this.queued += 1;
    return this.dispatch(now);
  }

  /** Withdraws work that still waits; true when it had not started. */
  remove(work: Work): boolean {
    const queue = this.queues.get(work.caller);
    const index = queue?.indexOf(work) ?? -1;
    if (!queue || index < 0) return false;
    queue.splice(index, 1);
    if (queue.length === 0) this.queues.delete(work.caller);
    this.queued -= 1;
    return true;
  }

  handleDone(instance: string, work: Work, now: Millis): readonly AdmissionDecision[] {
    const load = this.loads.get(instance);
    if (load) load[work.length] -= 1;
    return this.dispatch(now);
  }

  handleTick(now: Millis): readonly AdmissionDecision[] {
    const expired: AdmissionDecision[] = [];
    for (const queue of [...this.queues.values()]) {
      for (const work of queue.filter(({ deadline }) => deadline <= now)) {
        this.remove(work);
        expired.push({ kind: 'refuse', work, reason: 'the deadline passed in the queue' });
      }
    }
    return [...expired, ...this.dispatch(now)];
  }

  private dispatch(now: Millis): readonly AdmissionDecision[] {
    const started: AdmissionDecision[] = [];
    for (const [caller, queue] of [...this.queues]) {
      const decision = this.startFirst(queue, now);
      if (!decision) continue;
      started.push(decision);
      // Moves the caller to the end, so that callers take turns.
      this.queues.delete(caller);
      if (queue.length > 0) this.queues.set(caller, queue);
    }
    return started.length > 0 ? [...started, ...this.dispatch(now)] : started;
  }

  private startFirst(queue: Work[], now: Millis): AdmissionDecision | undefined {
    for (const work of queue) {
      const route = this.options.findRoute(work, now);
      if (route.kind === 'wait') continue;
      const instance = route.instances.find((id) => this.hasRoom(id, work));
      if (!instance) continue;
      queue.splice(queue.indexOf(work), 1);
      this.queued -= 1;
      const load = this.loads.get(instance) ?? { short: 0, long: 0 };
      load[work.length] += 1;
      this.loads.set(instance, load);
      return { kind: 'start', work, instance, reason: route.reason };
    }
    return undefined;
  }

  private hasRoom(instance: string, work: Work): boolean {
    const capacity = this.capacities.get(instance) ?? NO_CAPACITY;
    const load = this.loads.get(instance) ?? { short: 0, long: 0 };
    if (load.short + load.long >= capacity.concurrency) return false;
    return work.length === 'short' || load.long < capacity.longPermits;
  }
}
