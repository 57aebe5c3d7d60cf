import {
  type DatabaseInstance,
  hasPosition,
  type LogPosition,
  type Millis,
  RoutingView,
} from '@shallotpick/core';
import type { Member } from './member.js';

/** The commit that a session must see, and when it was acknowledged. */
export interface SessionCommit {
  readonly position: LogPosition;
  readonly acknowledgedAt: Millis;
}

/** Replicas usually receive and apply a commit within this time. */
const APPLY_MS: Millis = 60;

export interface VerifiedViewOptions {
  readonly members: readonly Member[];
  readonly leader: Member | undefined;
  /** Position that the instance must prove to hold; undefined when only the leader will do. */
  readonly after: LogPosition | undefined;
  readonly lastCommit: SessionCommit | undefined;
  /** Position that makes the data young enough. */
  readonly freshPosition: LogPosition | undefined;
  readonly excluded: ReadonlySet<string>;
  readonly now: Millis;
}

/**
 * Freshness where each instance itself checks the position that a read needs. What is known of
 * its log only tells how likely the check is to pass.
 */
export class VerifiedView extends RoutingView {
  constructor(private readonly options: VerifiedViewOptions) {
    super();
  }

  override listInstances(): readonly DatabaseInstance[] {
    const { members, excluded } = this.options;
    return members
      .filter((one) => one.isUsable() && !excluded.has(one.id))
      .map((one) => one.instance);
  }

  override findPrimary(): string | undefined {
    return this.options.leader?.id;
  }

  override isFresh(id: string): boolean {
    const { leader, after, freshPosition: aged, lastCommit: sessionFloor, now } = this.options;
    if (id === leader?.id) return true;
    const position = this.find(id)?.probe.position;
    if (!after || !aged || !position) return false;
    if (hasPosition(position, after)) return true;
    const isApplied = sessionFloor !== undefined && now - sessionFloor.acknowledgedAt >= APPLY_MS;
    return isApplied && hasPosition(position, aged);
  }

  override hasMinPosition(): boolean {
    // The leader holds every acknowledged commit, and it proves its lead with the read.
    return true;
  }

  override findExpectedWait(id: string): Millis {
    return this.find(id)?.findExpectedWait(this.options.now) ?? 0;
  }

  override readTypicalCost(): Millis {
    const costs = this.options.members.map((one) => one.readLatency(this.options.now));
    return costs.length > 0 ? Math.min(...costs) : 0;
  }

  private find(id: string): Member | undefined {
    return this.options.members.find((one) => one.id === id);
  }
}
