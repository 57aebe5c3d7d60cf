import {
  ExchangeFeature,
  type LeavingInstance,
  type Millis,
  type PeerExchange,
  type ListedVm,
} from '@shallotpick/core';

/** A report that no reader of the list repeats for this long is withdrawn. */
const REPORT_TTL_MS: Millis = 30_000;
const MAX_REPORTS = 64;

export interface LeavingInstancesOptions {
  /** True when the id is a database instance of a group that is in force. */
  readonly isInstance: (id: string) => boolean;
  /** Called with all instances that are leaving, after each change. */
  readonly onChange: (leaving: ReadonlySet<string>) => void;
}

/** Passes on which database instances the platform's VM list shows as leaving. */
export class LeavingInstancesFeature extends ExchangeFeature {
  private readonly reports = new Map<string, Millis>();

  private known = '';

  private hasChanged = false;

  constructor(private readonly options: LeavingInstancesOptions) {
    super();
  }

  handleListing(listing: readonly ListedVm[], now: Millis): void {
    listing.forEach(({ id, state }) => {
      if (state === 'live') this.reports.delete(id);
      else if (this.options.isInstance(id)) this.reports.set(id, now);
    });
    this.update(now);
  }

  collect(_peer: string, _heard: PeerExchange | undefined, now: Millis): Partial<PeerExchange> {
    return { leaving: this.listReports(now).slice(0, MAX_REPORTS) };
  }

  handle({ leaving }: PeerExchange, now: Millis): void {
    leaving?.forEach(({ id, reportedAt }) => {
      if (now - reportedAt >= REPORT_TTL_MS || !this.options.isInstance(id)) return;
      this.reports.set(id, Math.max(reportedAt, this.reports.get(id) ?? reportedAt));
    });
    this.update(now);
  }

  /** True once after each change, so that it does not wait for the next round. */
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
    if (this.reports.size === 0 && this.known === '') return;
    const ids = this.listReports(now).map(({ id }) => id);
    const current = [...ids].sort().join(' ');
    if (current === this.known) return;
    this.known = current;
    this.hasChanged = true;
    this.reports.forEach((_, id) => {
      if (!ids.includes(id)) this.reports.delete(id);
    });
    this.options.onChange(new Set(ids));
  }
}
