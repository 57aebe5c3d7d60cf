import type { Millis, PromotionRecord } from '@shallotpick/core';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';

/** Longer than a change of the leader takes when every call is answered. */
const LONG_OPEN_MS: Millis = 5_000;
const MS_PER_SECOND = 1_000;

/**
 * Reports for how long a group's promotion record has been open. A record stays open until no order
 * to promote can be in flight, and commits need a proof of another kind as long.
 */
export class OpenRecordReporter {
  private openedAt: Millis | undefined;

  private isLogged = false;

  constructor(
    private readonly group: string,
    private readonly log: Log,
    private readonly metrics: Metrics,
  ) {}

  /** Notes the record as this VM knows it now. */
  handleTick(record: PromotionRecord | undefined, now: Millis): void {
    if (record?.phase !== 'open') {
      this.handleSettled(now);
      return;
    }
    this.openedAt ??= now;
    const openMs = now - this.openedAt;
    this.setSeconds(openMs);
    if (this.isLogged || openMs < LONG_OPEN_MS) return;
    this.isLogged = true;
    const { holder, plan, generation } = record;
    const { group } = this;
    this.log.warn('promotion record stays open', { group, holder, plan, generation, openMs });
  }

  private handleSettled(now: Millis): void {
    const { openedAt, group } = this;
    if (openedAt === undefined) return;
    if (this.isLogged) {
      this.log.info('promotion record is settled again', { group, openMs: now - openedAt });
    }
    this.openedAt = undefined;
    this.isLogged = false;
    this.setSeconds(0);
  }

  private setSeconds(openMs: Millis): void {
    this.metrics.openRecordAge.set({ group: this.group }, openMs / MS_PER_SECOND);
  }
}
