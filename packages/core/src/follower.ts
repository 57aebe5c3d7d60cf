import type { FailoverAction } from './failovertypes.js';
import type { Millis } from './clock.js';
import type { GroupRecord, InstanceStatus } from './group.js';
import { RepeatLimiter } from './repeatlimiter.js';

/** True when the instance is the primary that the record names, in the record's term. */
export function isLeading(status: InstanceStatus, record: GroupRecord): boolean {
  const { instance, role, durable } = status;
  return record.primary === instance && role === 'primary' && durable.term === record.term;
}

/** Tells the instances of a group to follow its primary, again until they do. */
export class FollowerDirector {
  private readonly strays = new Map<string, Millis>();

  private readonly told = new RepeatLimiter();

  /** Starts afresh for another record. */
  reset(): void {
    this.strays.clear();
    this.told.reset();
  }

  /** `stagger` leaves the VMs of earlier ranks time to act on a status first. */
  handleStatus(
    status: InstanceStatus,
    record: GroupRecord,
    stagger: Millis,
    now: Millis,
  ): readonly FailoverAction[] {
    const { instance, role, following, fenceTerm } = status;
    if (role === 'replica' && following === record.primary && fenceTerm === record.term) {
      this.strays.delete(instance);
      return [];
    }
    const since = this.strays.get(instance) ?? now;
    this.strays.set(instance, since);
    return now - since >= stagger ? this.follow(instance, record, now) : [];
  }

  follow(instance: string, { term, primary }: GroupRecord, now: Millis): readonly FailoverAction[] {
    if (!primary || !this.told.isDue(instance, now)) return [];
    return [{ kind: 'follow', instance, term, primary }];
  }
}
