import type { Clock, Millis } from '@shallotpick/core';
import type { Counter, Registry } from 'prom-client';
import type { CutReason } from './clientguard.js';
import type { ConfigurationHolder } from './configuration.js';
import type { Log } from './log.js';
import { createCounter } from './metrics.js';

/** Why a proxy closes the connection of an idle caller. */
export type IdleCloseReason = 'drain' | 'isolation' | 'stop';

/** Why a caller's connection has ended. */
export type CloseReason =
  | IdleCloseReason
  | CutReason
  /** The caller has said that it ends the session. */
  | 'goodbye'
  /** The caller has closed the connection, or is gone. */
  | 'caller left'
  | 'refused connect'
  | 'unexpected error';

/** A request that was read whole and got no answer. */
export interface UnansweredRequest {
  /** Its kind, id and first word of the statement. */
  readonly request: string;
  /** How long ago it was read. */
  readonly ageMs: Millis;
}

/** The end of a caller's connection, as its protocol adapter saw it. */
export interface CallerClose {
  readonly reason: CloseReason;
  /** Requests that were read whole and got no answer. */
  readonly unanswered: number;
  readonly oldest: UnansweredRequest | undefined;
}

/** Services of a `CloseReporter`. */
export interface CloseReporterOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly registry: Registry;
  readonly configuration: ConfigurationHolder;
  readonly isDraining: () => boolean;
}

/** Counts the ends of callers' connections, and logs those that leave requests unanswered. */
export class CloseReporter {
  private readonly closes: Counter<'reason'>;

  private readonly unanswered: Counter<'reason'>;

  private configuredAt: Millis | undefined;

  constructor(private readonly options: CloseReporterOptions) {
    const { registry, configuration, clock } = options;
    this.closes = createCounter(registry, 'caller_closes_total', 'Ends of callers’ connections', [
      'reason',
    ]);
    this.unanswered = createCounter(
      registry,
      'unanswered_requests_total',
      'Requests read whole whose connection ended without an answer',
      ['reason'],
    );
    configuration.addListener(() => {
      this.configuredAt = clock.readNow();
    });
  }

  readNow(): Millis {
    return this.options.clock.readNow();
  }

  /** Reports the end of a connection. */
  report({ reason, unanswered, oldest }: CallerClose): void {
    this.closes.inc({ reason });
    this.reportUnanswered(reason, unanswered, oldest);
  }

  /** Reports requests that were read, and dropped, after their connection had been closed here. */
  reportDropped(reason: CloseReason, count: number): void {
    this.reportUnanswered(reason, count, undefined);
  }

  private reportUnanswered(
    reason: CloseReason,
    unanswered: number,
    oldest: UnansweredRequest | undefined,
  ): void {
    if (unanswered === 0) return;
    this.unanswered.inc({ reason }, unanswered);
    const { log, configuration, isDraining } = this.options;
    const level = reason === 'caller left' ? 'info' : 'warn';
    const changedMsAgo = this.configuredAt && this.readNow() - this.configuredAt;
    log.log(level, 'requests left unanswered', {
      ...{ reason, unanswered, isDraining: isDraining() },
      ...(oldest
        ? { oldest: oldest.request, oldestMs: Math.round(oldest.ageMs) }
        : { isReadAfterClose: true }),
      version: configuration.read()?.version,
      ...(changedMsAgo === undefined ? {} : { changedMsAgo: Math.round(changedMsAgo) }),
    });
  }
}
