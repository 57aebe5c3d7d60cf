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

/** Admission request for one statement or transaction. */
export interface WorkRequest extends Omit<RouteRequest, 'minPosition'> {
  readonly requestId: string;
  readonly caller: string;
  /** Organisation in whose name the work runs; undefined for callers without a key. */
  readonly organisation: string | undefined;
  /** Database that the caller named; work on one database has similar cost. */
  readonly database: string;
  /** Time by which the caller hopes for the answer to its whole operation. */
  readonly objective: Millis;
  readonly deadline: Millis;
  readonly priority: number;
  /** The session's last commit when the work must include it. */
  readonly lastCommit: SessionCommit | undefined;
  /** Instances that have refused this work. */
  readonly excluded: ReadonlySet<string>;
}

/** Admitted work and the instance that it was assigned to. */
export interface AdmittedWork {
  readonly work: Work;
  readonly instance: string;
}

/** Queued work and the promise that its caller waits for. */
interface Pending {
  readonly request: WorkRequest;
  readonly addedAt: Millis;
  readonly resolve: (admitted: AdmittedWork) => void;
  readonly reject: (error: Error) => void;
}

/** Callbacks and clock of a dispatcher. */
export interface DispatcherOptions {
  readonly clock: Clock;
  /** Called on each dispatch, since replicas and the leader may change while work is queued. */
  readonly findRoute: (request: WorkRequest, now: Millis) => Route;
  readonly onStart: (
    request: WorkRequest,
    instance: string,
    reason: string,
    waitedMs: Millis,
  ) => void;
}

/** Promise-based front of a group's admission queue. */
export class Dispatcher {
  private readonly queue: AdmissionQueue;

  private readonly pending = new Map<number, Pending>();

  /** Admitted work of the present instances; that of removed ones is no longer counted. */
  private readonly running = new Set<AdmittedWork>();

  private nextWorkId = 1;

  constructor(private readonly options: DispatcherOptions) {
    this.queue = new AdmissionQueue({
      maxQueued: MAX_QUEUED,
      findRoute: (work, now) => this.findRoute(work, now),
    });
  }

  /**
   * Queues work and waits until an instance has a free slot for it.
   *
   * @throws NotRunError when the queue refuses the work or it isn't admitted in time.
   */
  async add(request: WorkRequest): Promise<AdmittedWork> {
    const now = this.options.clock.readNow();
    const work = this.createWork(request);
    return new Promise<AdmittedWork>((resolve, reject) => {
      this.pending.set(work.id, { request, addedAt: now, resolve, reject });
      this.handleDecisions(this.queue.add(work, now));
    });
  }

  updateCapacity(instance: string, capacity: Capacity): void {
    this.handleDecisions(
      this.queue.updateCapacity(instance, capacity, this.options.clock.readNow()),
    );
  }

  /** Removes an instance; its work may go on, but no longer counts, even if its id is added again. */
  removeInstance(instance: string): void {
    this.queue.removeInstance(instance);
    this.running.forEach((admitted) => {
      if (admitted.instance === instance) this.running.delete(admitted);
    });
  }

  /** Retries the queued work, for example after an instance has caught up. */
  handleTick(): void {
    this.handleDecisions(this.queue.handleTick(this.options.clock.readNow()));
  }

  /** Records that a statement starts or has ended while the work keeps its connection. */
  updateBusy(admitted: AdmittedWork, isBusy: boolean): void {
    if (!this.running.has(admitted)) return;
    const { work, instance } = admitted;
    if (isBusy) this.queue.handleBusy(instance, work);
    else this.handleDecisions(this.queue.handleIdle(instance, work, this.options.clock.readNow()));
  }

  /** Ends the work and frees its slot; `isIdle` when its last statement had already ended. */
  remove(admitted: AdmittedWork, isIdle = false): void {
    if (!this.running.delete(admitted)) return;
    const { work, instance } = admitted;
    this.handleDecisions(
      this.queue.handleDone(instance, work, this.options.clock.readNow(), isIdle),
    );
  }

  /** Rejects all queued work. */
  stop(): void {
    this.pending.forEach(({ reject }) => reject(new NotRunError('the proxy stops')));
    this.pending.clear();
  }

  private createWork({ kind, contract, caller, deadline, priority }: WorkRequest): Work {
    const routeKey = kind === 'write' || contract.maxAgeMs <= 0 ? 'leader' : 'any';
    const id = this.nextWorkId;
    this.nextWorkId += 1;
    return { id, caller, length: 'short', deadline, routeKey, priority };
  }

  private findRoute({ id }: Work, now: Millis): Route {
    const request = this.pending.get(id)?.request;
    if (!request) return { kind: 'wait', reason: 'withdrawn' };
    return this.options.findRoute(request, now);
  }

  private handleDecisions(decisions: readonly AdmissionDecision[]): void {
    decisions.forEach((decision) => this.handleDecision(decision));
  }

  private handleDecision(decision: AdmissionDecision): void {
    const { work, reason } = decision;
    const pending = this.pending.get(work.id);
    this.pending.delete(work.id);
    if (decision.kind === 'refuse') {
      pending?.reject(new NotRunError(reason));
      return;
    }
    const { instance } = decision;
    const admitted = { work, instance };
    this.running.add(admitted);
    if (!pending) {
      this.remove(admitted);
      return;
    }
    const waitedMs = this.options.clock.readNow() - pending.addedAt;
    this.options.onStart(pending.request, instance, reason, waitedMs);
    pending.resolve(admitted);
  }
}
