import type { Clock, Millis } from '@shallotpick/core';
import { Gauge } from 'prom-client';
import type { Log } from './log.js';
import { createCounter, type Metrics } from './metrics.js';
import type { PermitPart, QuotaRefusal } from './permitpart.js';

/** An organisation without a refusal for this long is no longer limited. */
const QUIET_MS: Millis = 5_000;

/** The services of the reporter. */
export interface LimitReporterOptions {
  readonly ageClock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** What was refused to an organisation since it became limited. */
interface LimitedOrganisation {
  refused: number;
  lastAt: Millis;
}

/** Counts and logs how rate limits are applied on this VM. */
export class LimitReporter {
  private readonly limited = new Map<string, LimitedOrganisation>();

  private readonly lenders = new Map<number, string>();

  private readonly operations;

  private readonly endedPermits;

  private readonly lentParts;

  constructor(private readonly options: LimitReporterOptions) {
    const { registry } = options.metrics;
    this.operations = createCounter(registry, 'quota_operations_total', 'Operations by quota', [
      'outcome',
    ]);
    this.endedPermits = createCounter(
      registry,
      'quota_permits_ended_total',
      'Permits that ended unused',
      [],
    );
    this.lentParts = new Gauge({
      name: 'shallotpick_quota_lent_parts',
      help: 'Parts of the organisations that this VM lends permits for',
      registers: [registry],
    });
  }

  handleGrant(): void {
    this.operations.inc({ outcome: 'granted' });
  }

  handleRefusal(organisation: string, refusal: QuotaRefusal): void {
    this.operations.inc({ outcome: refusal });
    const now = this.options.ageClock.readNow();
    const known = this.limited.get(organisation);
    if (!known) this.options.log.info('organisation limited', { organisation, refusal });
    this.limited.set(organisation, { refused: (known?.refused ?? 0) + 1, lastAt: now });
  }

  handleTick(parts: readonly PermitPart[], now: Millis): void {
    this.limited.forEach(({ refused, lastAt }, organisation) => {
      if (now - lastAt < QUIET_MS) return;
      this.limited.delete(organisation);
      this.options.log.info('organisation no longer limited', { organisation, refused });
    });
    parts.forEach(({ client }, part) => {
      this.endedPermits.inc(client.holder.takeEndedCount());
      this.reportLender(part, client.lender);
    });
    this.lentParts.set(parts.filter(({ lender }) => lender.isLending(now)).length);
  }

  private reportLender(part: number, lender: string | undefined): void {
    const before = this.lenders.get(part);
    if (lender === undefined || lender === before) return;
    this.lenders.set(part, lender);
    this.options.log.info('lender of permits', { part, lender, before });
  }
}
