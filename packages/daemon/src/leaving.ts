import {
  ExchangeFeature,
  type LeavingInstance,
  type Millis,
  type PeerExchange,
  type ListedVm,
} from '@shallotpick/core';

/** A report expires when no reader of the VM list has repeated it for this long. */
const REPORT_TTL_MS: Millis = 30_000;
const MAX_REPORTS = 64;

/** Options of {@link LeavingInstancesFeature}. */
export interface LeavingInstancesOptions {
  /** True when the id is an instance of a configured group. */
  readonly isInstance: (id: string) => boolean;
  /** Called after each change, with all leaving instances. */
  readonly onChange: (leaving: ReadonlySet<string>) => void;
}

/** Reports to peers which instances are marked as leaving in the platform's VM list. */
export class LeavingInstancesFeature extends ExchangeFeature {
  private readonly reports = new Map<string, Millis>();

  private lastReported = '';

  private hasChanged = false;

  constructor(private readonly options: LeavingInstancesOptions) {
    super();
  }

  handleVmList(vms: readonly ListedVm[], now: Millis): void {
    vms.forEach(({ id, state }) => {
      if (state === 'live') this.reports.delete(id);
      else if (this.options.isInstance(id)) this.reports.set(id, now);
    });
    this.update(now);
  }

  collect(
    _peer: string,
    _lastMessage: PeerExchange | undefined,
    now: Millis,
  ): Partial<PeerExchange> {
    return { leaving: this.listReports(now).slice(0, MAX_REPORTS) };
  }

  handle({ leaving }: PeerExchange, now: Millis): void {
    leaving?.forEach(({ id, reportedAt }) => {
      if (now - reportedAt >= REPORT_TTL_MS || !this.options.isInstance(id)) return;
      this.reports.set(id, Math.max(reportedAt, this.reports.get(id) ?? reportedAt));
    });
    this.update(now);
  }

  /** True once after each change, so that it is sent before the next round. */
  hasUpdates(now: Millis): boolean {
    this.update(now);
    const { hasChanged } = this;
    this.hasChanged = false;
    return hasChanged;
  }

  private listReports(now: Millis): readonly LeavingInstance[] {
    return [...this.reports]
      .filter(([, reportedAt]) => now - reportedAt < REPORT_TTL_MS)
      .map(([id, reportedAt]) => ({ id, reportedAt }))
      .sort((a, b) => b.reportedAt - a.reportedAt);
  }

  private update(now: Millis): void {
    if (this.reports.size === 0 && this.lastReported === '') return;
    const ids = this.listReports(now).map(({ id }) => id);
    const current = [...ids].sort().join(' ');
    if (current === this.lastReported) return;
    this.lastReported = current;
    this.hasChanged = true;
    this.reports.forEach((_, id) => {
      if (!ids.includes(id)) this.reports.delete(id);
    });
    this.options.onChange(new Set(ids));
  }
}
