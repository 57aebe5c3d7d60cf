import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A process or a service that messages reach. */
export interface Endpoint {
  readonly id: string;
  readonly zone: string;
  isDown: boolean;
  /** Work that comes before this time is held until then. */
  pausedUntil: number;
  /** Changes with each restart; messages to an earlier process are dropped. */
  epoch: number;
}

/** Shares of messages that are lost, doubled or much too late while faults last. */
export interface MessageFaults {
  readonly lost: number;
  readonly doubled: number;
  readonly late: number;
  /** Factor of the delay of every message. */
  readonly slowness: number;
}

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

const MAX_LATE_MS = 900;
const RANDOM_STEPS = 1_000_000;

/** Virtual time, a network with faults, and one seeded source of randomness. */
export class SimulatedNetwork {
  now = 0;

  /** Pairs of zones or endpoints that cannot exchange messages, as `a|b`. */
  readonly cuts = new Map<string, number>();

  private readonly heap: Event[] = [];

  private readonly generator;

  private order = 0;

  constructor(
    seed: number,
    private readonly chaos: MessageFaults,
    private readonly faultsEndAt: number,
  ) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A number from 0 up to 1. */
  readonly random = (): number => uniformInt(this.generator, 0, RANDOM_STEPS - 1) / RANDOM_STEPS;

  choose<T>(items: readonly T[]): T {
    return items[Math.floor(this.random() * items.length)] as T;
  }

  schedule(delay: number, run: () => void): void {
    this.order += 1;
    this.push({ at: this.now + delay, order: this.order, run });
  }

  /** Runs events up to `until`, or until `isDone`. */
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

  /** Delivers a message once, or not at all, or twice, or late. */
  send(from: Endpoint, to: Endpoint, deliver: () => void): void {
    const { lost, doubled, late, slowness } = this.chaos;
    const isFaulty = this.now < this.faultsEndAt;
    if (isFaulty && this.random() < lost) return;
    const copies = isFaulty && this.random() < doubled ? 2 : 1;
    const { epoch } = to;
    for (let copy = 0; copy < copies; copy++) {
      const isLate = isFaulty && this.random() < late;
      const delay = 0.3 + this.random() * (isLate ? MAX_LATE_MS : 2 * (isFaulty ? slowness : 1));
      this.schedule(delay, () => {
        if (!this.isCut(from, to)) this.deliver(to, epoch, deliver);
      });
    }
  }

  /** Runs `work` in the process of `to`, after a pause if it is paused. */
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
