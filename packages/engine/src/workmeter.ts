import {
  ConcurrencyLimit,
  type LearntCost,
  type LimitRange,
  type Millis,
  UsualLatencies,
  WorkCosts,
  type WorkLength,
} from '@shallotpick/core';
import type { AdmittedWork, WorkRequest } from './dispatcher.js';

/** A read is long from this multiple of the typical cost on. */
const LONG_RATIO = 4;

/** Work that runs, and how long it has occupied a slot. */
interface RunningWork {
  readonly request: WorkRequest;
  /** Undefined while a transaction is idle. */
  busySince: Millis | undefined;
  busyMs: Millis;
}

function formatKind({ database, kind, isTransaction = false }: WorkRequest): string {
  return `${database}|${isTransaction ? 'transaction' : 'statement'}|${kind}`;
}

/**
 * Measures how long the work of one group occupies its slots, a transaction's statements together,
 * and learns the cost of each kind of work. The latencies of statements limit the concurrency of the
 * instances.
 */
export class WorkMeter {
  private readonly running = new Map<AdmittedWork, RunningWork>();

  private readonly costs = new WorkCosts();

  private readonly latencies = new UsualLatencies();

  private readonly limits = new Map<string, ConcurrencyLimit>();

  /** Returns the cost of work like this; undefined while it isn't known. */
  findCost(request: WorkRequest, now: Millis): LearntCost | undefined {
    return this.costs.find(formatKind(request), now);
  }

  /** A read is long when it costs several times the typical work of the group. */
  classify(request: WorkRequest, now: Millis): WorkLength {
    const costMs = this.findCost(request, now)?.medianMs;
    const typicalMs = this.costs.findTypical(now)?.medianMs;
    if (request.kind === 'write' || costMs === undefined || typicalMs === undefined) return 'short';
    return costMs >= LONG_RATIO * typicalMs ? 'long' : 'short';
  }

  /** Records the latency of a statement of the work, including its wait at the instance. */
  recordLatency(
    { instance }: AdmittedWork,
    request: WorkRequest,
    tookMs: Millis,
    now: Millis,
  ): void {
    const usualMs = this.latencies.add(formatKind(request), tookMs, now);
    if (usualMs !== undefined) this.findLimit(instance).add(tookMs, usualMs);
  }

  /** Updates the concurrency of an instance from the latencies of its work. */
  updateLimit(instance: string, range: LimitRange, now: Millis): number {
    return this.limits.get(instance)?.update(range, now) ?? range.most;
  }

  removeInstance(instance: string): void {
    this.limits.delete(instance);
  }

  /** True while the work is measured. */
  has(admitted: AdmittedWork): boolean {
    return this.running.has(admitted);
  }

  list(): readonly AdmittedWork[] {
    return [...this.running.keys()];
  }

  start(admitted: AdmittedWork, request: WorkRequest, now: Millis): void {
    this.running.set(admitted, { request, busySince: now, busyMs: 0 });
  }

  updateBusy(admitted: AdmittedWork, isBusy: boolean, now: Millis): void {
    const work = this.running.get(admitted);
    if (!work) return;
    work.busyMs += work.busySince === undefined ? 0 : now - work.busySince;
    work.busySince = isBusy ? now : undefined;
  }

  /** Ends the measurement and learns from it; false when the work isn't measured. */
  end(admitted: AdmittedWork, now: Millis): boolean {
    const work = this.running.get(admitted);
    if (!work) return false;
    this.updateBusy(admitted, false, now);
    const { request, busyMs } = work;
    this.costs.add(formatKind(request), busyMs, now);
    return this.running.delete(admitted);
  }

  /** Ends the measurement of work that has not run. */
  withdraw(admitted: AdmittedWork): boolean {
    return this.running.delete(admitted);
  }

  private findLimit(instance: string): ConcurrencyLimit {
    const known = this.limits.get(instance);
    if (known) return known;
    const limit = new ConcurrencyLimit();
    this.limits.set(instance, limit);
    return limit;
  }
}
