import type { Millis } from './clock.js';

/** An answer may take this long; longer where a peer has been seen to be further away. */
const PING_TIMEOUT_MS: Millis = 150;
const MAX_PING_TIMEOUT_MS: Millis = 600;
/** Pings in a row without an answer that make a peer silent. */
const MISSES = 2;
/** A longer gap between ticks means that this process was paused; it then blames nobody. */
const PAUSE_MS: Millis = 250;

interface Target {
  nextAt: Millis;
  sentAt: Millis | undefined;
  /** First ping of the series that has had no answer. */
  seriesAt: Millis;
  misses: number;
  timeoutMs: Millis;
}

/** What is to be done after a tick. */
export interface DetectorResult {
  readonly pings: readonly string[];
  readonly silent: readonly string[];
}

/** Pings a few peers and tells which have not answered a series of pings. */
export class FailureDetector {
  private readonly targets = new Map<string, Target>();

  private tickedAt: Millis | undefined;

  /** Replaces the peers to ping; the state of those that stay is kept. */
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

  /** Returns the pings that are due and the peers that miss a series of pings. */
  handleTick(now: Millis, intervalMs: Millis): DetectorResult {
    const paused = this.tickedAt !== undefined && now - this.tickedAt > PAUSE_MS;
    this.tickedAt = now;
    const silent: string[] = [];
    const pings: string[] = [];
    this.targets.forEach((target, id) => {
      if (paused) Object.assign(target, { sentAt: undefined, misses: 0, nextAt: now });
      if (this.hasMissed(target, now) && target.misses >= MISSES) silent.push(id);
      if (now < target.nextAt || target.sentAt !== undefined) return;
      Object.assign(target, { sentAt: now, nextAt: now + intervalMs });
      if (target.misses === 0) Object.assign(target, { seriesAt: now });
      pings.push(id);
    });
    return { pings, silent };
  }

  /** Counts a ping without an answer; the next one follows at once. */
  private hasMissed(target: Target, now: Millis): boolean {
    if (target.sentAt === undefined || now - target.sentAt < target.timeoutMs) return false;
    const misses = target.misses + 1;
    const nextAt = misses < MISSES ? now : target.nextAt;
    Object.assign(target, { sentAt: undefined, misses, nextAt });
    return true;
  }
}
