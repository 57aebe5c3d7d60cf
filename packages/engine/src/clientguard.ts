import {
  type ClientLimits,
  type MemoryAccount,
  MemoryBudget,
  type Millis,
} from '@shallotpick/core';
import type { Registry } from 'prom-client';
import type { Log } from './log.js';
import { createCounter } from './metrics.js';

const TICK_MS: Millis = 250;
/** Time for a client to close its side after the other has been closed. */
const CLOSE_MS: Millis = 2_000;
/** Interval of the log lines of one reason. */
const LOG_INTERVAL_MS: Millis = 1_000;

/** What a connection may wait for only for some time. */
export type ClientWait = 'first message' | 'end of message' | 'taking of answer' | 'close';

/** Why a connection was refused or closed, or a request refused. */
export type CutReason =
  | ClientWait
  | 'memory'
  | 'connections'
  | 'large request'
  | 'requests ahead'
  | 'protocol error'
  | 'slow link';

/** Limits, log and registry of the metrics of a `ClientGuard`. */
export interface ClientGuardOptions {
  readonly limits: ClientLimits;
  readonly log: Log;
  readonly registry: Registry;
}

/** What one connection holds and waits for. */
export class ClientWatch {
  readonly memory: MemoryAccount;

  /** Time for which the connection has waited, without stops of this process. */
  private readonly waits = new Map<ClientWait, Millis>();

  constructor(
    private readonly guard: ClientGuard,
    private readonly onCut: (reason: CutReason) => void,
    isShared: boolean,
  ) {
    this.memory = guard.memory.open(() => this.cut('memory'), isShared);
  }

  /** Starts to measure a wait, unless that is done already. */
  startWait(wait: ClientWait): void {
    if (!this.waits.has(wait)) this.waits.set(wait, 0);
  }

  endWait(wait: ClientWait): void {
    this.waits.delete(wait);
  }

  /** Adds the time of a tick; closes the connection when it has waited for too long. */
  handleTick(tickMs: Millis, limits: Readonly<Record<ClientWait, Millis>>): void {
    if (this.waits.size === 0) return;
    this.waits.forEach((waitedMs, wait) => this.waits.set(wait, waitedMs + tickMs));
    const overdue = [...this.waits].find(([wait, waitedMs]) => waitedMs > limits[wait]);
    if (overdue) this.cut(overdue[0]);
  }

  /** Ends the watch when the connection has been closed. */
  close(): void {
    this.waits.clear();
    this.memory.close();
    this.guard.remove(this);
  }

  private cut(reason: CutReason): void {
    this.guard.report(reason);
    this.close();
    this.onCut(reason);
  }
}

/** Protects a process from clients that hold too much, or for too long. */
export class ClientGuard {
  readonly memory: MemoryBudget;

  private readonly watches = new Set<ClientWatch>();

  private readonly cuts;

  private readonly waitLimits: Readonly<Record<ClientWait, Millis>>;

  /** Reasons that were logged since the last interval, with the number of further ones. */
  private readonly unlogged = new Map<CutReason, number>();

  private sinceLogMs: Millis = 0;

  constructor(private readonly options: ClientGuardOptions) {
    const { limits, registry } = options;
    this.memory = new MemoryBudget(limits.memoryBytes);
    this.waitLimits = {
      'first message': limits.firstMessageMs,
      'end of message': limits.messageMs,
      'taking of answer': limits.answerMs,
      close: CLOSE_MS,
    };
    this.cuts = createCounter(
      registry,
      'client_limits_total',
      'Connections closed and requests refused at a limit',
      ['reason'],
    );
  }

  get limits(): ClientLimits {
    return this.options.limits;
  }

  /** Measures waits from now on, as long as the process has other work. */
  start(): void {
    setInterval(() => this.handleTick(), TICK_MS).unref();
  }

  /**
   * Watches a connection; `onCut` must close it. A shared one carries the work of many clients, and
   * is closed for lack of memory only when no client's own holds much.
   */
  watch(onCut: (reason: CutReason) => void, isShared = false): ClientWatch {
    const watch = new ClientWatch(this, onCut, isShared);
    this.watches.add(watch);
    return watch;
  }

  remove(watch: ClientWatch): void {
    this.watches.delete(watch);
  }

  /** Counts what was done at a limit; logs it at most once an interval. */
  report(reason: CutReason): void {
    this.cuts.inc({ reason });
    const further = this.unlogged.get(reason);
    this.unlogged.set(reason, (further ?? -1) + 1);
    if (further !== undefined) return;
    this.options.log.warn('client limit reached', { reason, heldBytes: this.memory.countHeld() });
  }

  /** A tick counts as its interval even when it is late, as after a stop of the process. */
  handleTick(): void {
    this.watches.forEach((watch) => watch.handleTick(TICK_MS, this.waitLimits));
    this.sinceLogMs += TICK_MS;
    if (this.sinceLogMs >= LOG_INTERVAL_MS) this.logFurther();
  }

  private logFurther(): void {
    this.sinceLogMs = 0;
    const counts = [...this.unlogged].filter(([, count]) => count > 0);
    this.unlogged.clear();
    // A reason that goes on is reported by its count only.
    counts.forEach(([reason, count]) => {
      this.unlogged.set(reason, 0);
      this.options.log.warn('client limit reached', { reason, count });
    });
  }
}
