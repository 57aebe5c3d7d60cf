import {
  type DatabaseInstance,
  hasPosition,
  type LogPosition,
  type Millis,
  RoutingView,
  type SessionCommit,
} from '@shallotpick/core';
import type { Member } from './member.js';

/** Replicas usually have received and applied a commit after this time. */
const APPLY_MS: Millis = 60;

/** State of a group and requirements of a request. */
export interface VerifiedViewOptions {
  readonly members: readonly Member[];
  readonly leader: Member | undefined;
  /** Log position that the read requires; undefined when only the leader will do. */
  readonly after: LogPosition | undefined;
  readonly lastCommit: SessionCommit | undefined;
  /** Log position at which the data meets the allowed age. */
  readonly freshPosition: LogPosition | undefined;
  readonly excluded: ReadonlySet<string>;
  readonly now: Millis;
  /** True while work that only the leader may serve waits for it. */
  readonly isLeaderNeeded: boolean;
}

/**
 * Routing view for instances that check the position required by a read themselves. The known
 * log positions only tell how likely that check is to pass.
 */
export class VerifiedView extends RoutingView {
  constructor(private readonly options: VerifiedViewOptions) {
    super();
  }

  override listInstances(): readonly DatabaseInstance[] {
    const { members, excluded } = this.options;
    return members
      .filter((member) => member.isUsable() && !excluded.has(member.id))
      .map((member) => member.instance);
  }

  override findPrimary(): string | undefined {
    return this.options.leader?.id;
  }

  override isFresh(id: string): boolean {
    const { leader, after, freshPosition, lastCommit, now } = this.options;
    if (id === leader?.id) return true;
    const position = this.find(id)?.probe.position;
    if (!after || !freshPosition || !position) return false;
    if (hasPosition(position, after)) return true;
    const isApplied = lastCommit !== undefined && now - lastCommit.acknowledgedAt >= APPLY_MS;
    return isApplied && hasPosition(position, freshPosition);
  }

  override hasMinPosition(): boolean {
    // The leader holds every acknowledged commit and proves its leadership with the read.
    return true;
  }

  override findExpectedWait(id: string): Millis {
    return this.find(id)?.findExpectedWait(this.options.now) ?? 0;
  }

  override readTypicalCost(): Millis {
    const costs = this.options.members.map((member) => member.estimateLatency(this.options.now));
    return costs.length > 0 ? Math.min(...costs) : 0;
  }

  override isPrimaryNeeded(): boolean {
    return this.options.isLeaderNeeded;
  }

  private find(id: string): Member | undefined {
    return this.options.members.find((member) => member.id === id);
  }
}
