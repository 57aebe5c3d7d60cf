import type { FailoverAction } from '../takeover/failovertypes.js';
import type { Millis } from '../clock.js';
import type { GroupRecord, InstanceStatus } from '../group.js';
import { RepeatLimiter } from './repeatlimiter.js';

/** True when the instance is the primary that the record names, in the record's term. */
export function isLeading(status: InstanceStatus, record: GroupRecord): boolean {
  const { instance, role, durable } = status;
  return record.primary === instance && role === 'primary' && durable.term === record.term;
}

/** Orders the instances of a group to follow its primary, repeatedly until they do. */
export class FollowerDirector {
  private readonly misdirectedSince = new Map<string, Millis>();

  private readonly repeatLimiter = new RepeatLimiter();

  /** Discards the state kept for the previous record. */
  reset(): void {
    this.misdirectedSince.clear();
    this.repeatLimiter.reset();
  }

  /** Corrects a replica that follows wrongly; `stagger` lets VMs of earlier ranks act first. */
  handleStatus(
    status: InstanceStatus,
    record: GroupRecord,
    stagger: Millis,
    now: Millis,
  ): readonly FailoverAction[] {
    const { instance, role, following, fenceTerm } = status;
    if (role === 'replica' && following === record.primary && fenceTerm === record.term) {
      this.misdirectedSince.delete(instance);
      return [];
    }
    const since = this.misdirectedSince.get(instance) ?? now;
    this.misdirectedSince.set(instance, since);
    return now - since >= stagger ? this.follow(instance, record, now) : [];
  }

  follow(instance: string, { term, primary }: GroupRecord, now: Millis): readonly FailoverAction[] {
    if (!primary || !this.repeatLimiter.isDue(instance, now)) return [];
    return [{ kind: 'follow', instance, term, primary }];
  }
}
