import type { Millis } from '../clock.js';
import { formatIncarnation } from './incarnation.js';
import { findLeader } from './instanceview.js';
import { hasPosition } from '../position.js';
import type { InstanceView } from './takeovertypes.js';

/**
 * Proves that the logs of a group hold what it has acknowledged, whichever starts of its instances
 * gave the answers. It needs, in this order: every log has told a position, the leader tells the end
 * of its own, and another log reaches that end. What was acknowledged before the leader told its end
 * is in the log that reaches it. What was acknowledged later is in the log of an instance that had
 * told a position before, so that a restart since shows by a position that is behind.
 */
export class ProvenLogs {
  /** The listed incarnations that have told a position. */
  private told: ReadonlySet<string> = new Set();

  /** When the last of them told its first position. */
  private toldAt: Millis = Number.NEGATIVE_INFINITY;

  /** Term in which another log reached the end that the leader had told; undefined before. */
  private provenTerm: number | undefined;

  /**
   * Notes what the instances tell. All that are listed must have told a position; a choice itself
   * needs the reports of those that the record names besides.
   */
  update(instances: readonly InstanceView[], now: Millis): void {
    const told = instances.filter(({ position }) => position !== undefined).map(formatIncarnation);
    if (told.some((one) => !this.told.has(one))) {
      this.toldAt = now;
      this.provenTerm = undefined;
    }
    this.told = new Set(told);
    if (told.length === instances.length) this.updateTerm(instances);
    else this.provenTerm = undefined;
  }

  /** True when the logs are proven in `term`: in a newer one, others have led and acknowledged. */
  isProvenIn(term: number): boolean {
    return this.provenTerm !== undefined && this.provenTerm >= term;
  }

  private updateTerm(instances: readonly InstanceView[]): void {
    const leader = findLeader(instances);
    const end = leader?.position;
    if (!leader || !end || leader.positionAt <= this.toldAt) return;
    const isReached = instances.some(
      ({ id, position }) => id !== leader.id && position && hasPosition(position, end),
    );
    if (isReached) this.provenTerm = end.term;
  }
}
