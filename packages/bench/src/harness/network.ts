import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A process or service that receives messages. */
export interface Endpoint {
  readonly id: string;
  readonly zone: string;
  isDown: boolean;
  /** Messages that arrive before this time are delivered afterwards. */
  pausedUntil: number;
  /** Incremented on each restart; messages to an earlier process are dropped. */
  epoch: number;
}

/** Rates at which messages are lost, duplicated or delayed by far while faults last. */
export interface MessageFaults {
  readonly lossRate: number;
  readonly duplicateRate: number;
  readonly lateRate: number;
  /** Multiplies the delay of every message. */
  readonly delayFactor: number;
}

/** A scheduled event; `order` decides between events of the same time. */
interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

const MAX_LATE_MS = 900;
const RANDOM_STEPS = 1_000_000;

/**
 * Discrete event simulation of a network with faults: virtual time, an event queue and one seeded
 * random generator.
 */
export class SimulatedNetwork {
  now = 0;

  /** Ends of network partitions by pair of zones or endpoints, as `a|b`; `*` stands for all. */
  readonly cuts = new Map<string, number>();

  private readonly heap: Event[] = [];

  private readonly generator;

  private order = 0;

  constructor(
    seed: number,
    private readonly messageFaults: MessageFaults,
    private readonly faultsEndAt: number,
  ) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a number in [0, 1). */
  readonly random = (): number => uniformInt(this.generator, 0, RANDOM_STEPS - 1) / RANDOM_STEPS;

  choose<T>(items: readonly T[]): T {
    return items[Math.floor(this.random() * items.length)] as T;
  }

  schedule(delay: number, run: () => void): void {
    this.order += 1;
    this.push({ at: this.now + delay, order: this.order, run });
  }

  /** Runs events until the time `until`, or until `isDone` returns true. */
  run(until: number, isDone: () => boolean): void {
    for (let event = this.heap[0]; event && event.at <= until; [event] = this.heap) {
      if (isDone()) return;
      this.pop();
      this.now = Math.max(this.now, event.at);
      event.run();
    }
    this.now = Math.max(this.now, until);
  }

  cut(a: string, b: string, until: number): void {
    this.cuts.set(`${a}|${b}`, until).set(`${b}|${a}`, until);
  }

  isCut(a: Endpoint, b: Endpoint): boolean {
    return [
      [a.zone, b.zone],
      [a.id, b.id],
      [a.id, '*'],
      ['*', b.id],
    ].some(([x, y]) => (this.cuts.get(`${x}|${y}`) ?? 0) > this.now);
  }

  /** Sends a message, which the faults may drop, duplicate or delay. */
  send(from: Endpoint, to: Endpoint, deliver: () => void): void {
    const { lossRate, duplicateRate, lateRate, delayFactor } = this.messageFaults;
    const isFaulty = this.now < this.faultsEndAt;
    if (isFaulty && this.random() < lossRate) return;
    const copies = isFaulty && this.random() < duplicateRate ? 2 : 1;
    const { epoch } = to;
    for (let copy = 0; copy < copies; copy++) {
      const isLate = isFaulty && this.random() < lateRate;
      const delay = 0.3 + this.random() * (isLate ? MAX_LATE_MS : 2 * (isFaulty ? delayFactor : 1));
      this.schedule(delay, () => {
        if (!this.isCut(from, to)) this.deliver(to, epoch, deliver);
      });
    }
  }

  /** Runs `work` in the process `to`, after its pause if it is paused. */
  deliver(to: Endpoint, epoch: number, work: () => void): void {
    if (to.isDown || to.epoch !== epoch) return;
    if (to.pausedUntil <= this.now) work();
    else {
      const delay = to.pausedUntil - this.now + this.random();
      this.schedule(delay, () => this.deliver(to, epoch, work));
    }
  }

  /** Sends a request and its answer. */
  call<T>(from: Endpoint, to: Endpoint, serve: () => T, onAnswer: (answer: T) => void): void {
    this.send(from, to, () => {
      const answer = serve();
      this.send(to, from, () => onAnswer(answer));
    });
  }

  private static isBefore(a: Event, b: Event): boolean {
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  private push(event: Event): void {
    const { heap } = this;
    let index = heap.push(event) - 1;
    while (index > 0) {
      const above = (index - 1) >> 1;
      const parent = heap[above] as Event;
      if (!SimulatedNetwork.isBefore(event, parent)) break;
      heap[index] = parent;
      index = above;
    }
    heap[index] = event;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop() as Event;
    if (heap.length === 0) return;
    let index = 0;
    for (let child = 1; child < heap.length; child = 2 * index + 1) {
      const right = heap[child + 1];
      if (right && SimulatedNetwork.isBefore(right, heap[child] as Event)) child += 1;
      if (!SimulatedNetwork.isBefore(heap[child] as Event, last)) break;
      heap[index] = heap[child] as Event;
      index = child;
    }
    heap[index] = last;
  }
}
