import {
  type AdmissionDecision,
  AdmissionQueue,
  type Capacity,
  type Clock,
  type Millis,
  type Route,
  type RouteRequest,
  type Work,
} from '@shallotpick/core';
import { NotRunError } from './errors.js';
import type { SessionCommit } from './view.js';

const MAX_QUEUED = 2_000;

/** What a piece of work needs. */
export interface WorkRequest extends Omit<RouteRequest, 'minPosition'> {
  readonly requestId: string;
  readonly caller: string;
  readonly deadline: Millis;
  readonly priority: number;
  /** The session's last commit, when the work must see it. */
  readonly lastCommit: SessionCommit | undefined;
  /** Instances that have just refused this work. */
  readonly excluded: ReadonlySet<string>;
}

/** Work that may start now, and where. */
export interface AdmittedWork {
  readonly work: Work;
  readonly instance: string;
}

interface Pending {
  readonly request: WorkRequest;
  readonly addedAt: Millis;
  readonly resolve: (instance: string) => void;
  readonly reject: (error: Error) => void;
}

export interface DispatcherOptions {
  readonly clock: Clock;
  /** Asked again on each dispatch, since replicas and the leader change while work waits. */
  readonly findRoute: (request: WorkRequest, now: Millis) => Route;
  readonly onStart: (
    request: WorkRequest,
    instance: string,
    reason: string,
    waitedMs: Millis,
  ) => void;
}

/** The queue before the instances of a group, for work that waits as a promise. */
export class Dispatcher {
  private readonly queue: AdmissionQueue;

  private readonly pending = new Map<number, Pending>();

  private nextWork = 1;

  constructor(private readonly options: DispatcherOptions) {
    this.queue = new AdmissionQueue({
      maxQueued: MAX_QUEUED,
      findRoute: (work, now) => this.findRoute(work, now),
    });
  }

  /**
   * Waits for a slot.
   *
   * @throws NotRunError when none comes in time.
   */
  async add(request: WorkRequest): Promise<AdmittedWork> {
    const now = this.options.clock.readNow();
    const work = this.createWork(request);
    const instance = await new Promise<string>((resolve, reject) => {
      this.pending.set(work.id, { request, addedAt: now, resolve, reject });
      this.run(this.queue.add(work, now));
    });
    return { work, instance };
  }

  updateCapacity(instance: string, capacity: Capacity): void {
    this.run(this.queue.updateCapacity(instance, capacity, this.options.clock.readNow()));
  }

  /** Tries the queue again, as when an instance has caught up. */
  handleTick(): void {
    this.run(this.queue.handleTick(this.options.clock.readNow()));
  }

  /** The work keeps its connection; its statement starts or has ended. */
  updateBusy({ work, instance }: AdmittedWork, isBusy: boolean): void {
    if (isBusy) this.queue.handleBusy(instance, work);
    else this.run(this.queue.handleIdle(instance, work, this.options.clock.readNow()));
  }

  /** The work gives up its connection; `isIdle`: its statement had ended before. */
  remove({ work, instance }: AdmittedWork, isIdle = false): void {
    this.run(this.queue.handleDone(instance, work, this.options.clock.readNow(), isIdle));
  }

  /** Refuses what still waits. */
  stop(): void {
    this.pending.forEach(({ reject }) => reject(new NotRunError('the proxy stops')));
    this.pending.clear();
  }

  private createWork({ kind, contract, caller, deadline, priority }: WorkRequest): Work {
    const lane = kind === 'write' || contract.maxAgeMs <= 0 ? 'leader' : 'any';
    const id = this.nextWork;
    this.nextWork += 1;
    return { id, caller, length: 'short', deadline, routeKey: lane, priority };
  }

  private findRoute({ id }: Work, now: Millis): Route {
    const request = this.pending.get(id)?.request;
    if (!request) return { kind: 'wait', reason: 'withdrawn' };
    return this.options.findRoute(request, now);
  }

  private run(decisions: readonly AdmissionDecision[]): void {
    decisions.forEach((decision) => this.runOne(decision));
  }

  private runOne(decision: AdmissionDecision): void {
    const { work, reason } = decision;
    const pending = this.pending.get(work.id);
    this.pending.delete(work.id);
    if (decision.kind === 'refuse') {
      pending?.reject(new NotRunError(reason));
      return;
    }
    const { instance } = decision;
    if (!pending) {
      this.remove({ work, instance });
      return;
    }
    const waitedMs = this.options.clock.readNow() - pending.addedAt;
    this.options.onStart(pending.request, instance, reason, waitedMs);
    pending.resolve(instance);
  }
}
