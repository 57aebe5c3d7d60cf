import type { Millis } from '../clock.js';

/** Initial ping timeout; it grows with the round-trip time of the peer. */
const PING_TIMEOUT_MS: Millis = 150;
const MAX_PING_TIMEOUT_MS: Millis = 600;
/** Consecutive unanswered pings after which a peer is reported as silent. */
const MAX_MISSES = 2;
/** A longer gap between ticks is a pause of this process, which makes no peer silent. */
const PAUSE_GAP_MS: Millis = 250;

/** Ping state of one peer. */
interface Target {
  nextAt: Millis;
  sentAt: Millis | undefined;
  /** Time of the first ping of the current series without an answer. */
  seriesAt: Millis;
  misses: number;
  timeoutMs: Millis;
}

/** Outcome of a tick: the peers to ping and those that are silent. */
export interface DetectorResult {
  readonly pings: readonly string[];
  readonly silent: readonly string[];
}

/** Schedules pings of a few peers and reports those that have not answered a series of pings. */
export class FailureDetector {
  private readonly targets = new Map<string, Target>();

  private tickedAt: Millis | undefined;

  /** Replaces the peers to ping and keeps the state of those that stay. */
  updateTargets(ids: ReadonlySet<string>, now: Millis): void {
    [...this.targets.keys()].filter((id) => !ids.has(id)).forEach((id) => this.targets.delete(id));
    ids.forEach((id) => {
      if (this.targets.has(id)) return;
      const timeoutMs = PING_TIMEOUT_MS;
      this.targets.set(id, { nextAt: now, sentAt: undefined, seriesAt: 0, misses: 0, timeoutMs });
    });
  }

  handleAnswer(id: string, now: Millis): void {
    const target = this.targets.get(id);
    if (!target || (target.sentAt === undefined && target.misses === 0)) return;
    const from = target.misses > 0 ? target.seriesAt : (target.sentAt ?? now);
    const timeout = Math.max(PING_TIMEOUT_MS, 2 * (now - from));
    target.timeoutMs = Math.min(MAX_PING_TIMEOUT_MS, timeout);
    target.sentAt = undefined;
    target.misses = 0;
  }

  /** Returns the peers to ping now and those that have missed a series of pings. */
  handleTick(now: Millis, intervalMs: Millis): DetectorResult {
    const paused = this.tickedAt !== undefined && now - this.tickedAt > PAUSE_GAP_MS;
    this.tickedAt = now;
    const silent: string[] = [];
    const pings: string[] = [];
    this.targets.forEach((target, id) => {
      if (paused) Object.assign(target, { sentAt: undefined, misses: 0, nextAt: now });
      if (this.countMiss(target, now) && target.misses >= MAX_MISSES) silent.push(id);
      if (now < target.nextAt || target.sentAt !== undefined) return;
      Object.assign(target, { sentAt: now, nextAt: now + intervalMs });
      if (target.misses === 0) Object.assign(target, { seriesAt: now });
      pings.push(id);
    });
    return { pings, silent };
  }

  /** Counts a ping whose answer is overdue; the next ping follows at once. */
  private countMiss(target: Target, now: Millis): boolean {
    if (target.sentAt === undefined || now - target.sentAt < target.timeoutMs) return false;
    const misses = target.misses + 1;
    const nextAt = misses < MAX_MISSES ? now : target.nextAt;
    Object.assign(target, { sentAt: undefined, misses, nextAt });
    return true;
  }
}
