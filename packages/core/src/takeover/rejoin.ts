import { Backoff } from '../admission/backoff.js';
import type { Millis } from '../clock.js';
import type { FailoverOptions } from './failovertypes.js';
import { isLeading } from '../configuration/follower.js';
import { countMajority, type GroupRecord, type InstanceStatus } from '../group.js';
import { type Incarnations, isCounted } from './incarnations.js';
import { hasPosition, type LogPosition } from '../position.js';

/** An incarnation that does not count yet, and what it has to hold before it does. */
interface ReturnedInstance {
  readonly incarnation: string;
  /** Time at which its first answer arrived; its earlier life had ended by then. */
  readonly since: Millis;
  /** The primary's position at a later time, and the term in which that was read. */
  readonly target?: { readonly term: number; readonly position: LogPosition };
}

/**
 * Finds instances that have lost their data and have since received everything that their earlier
 * life may have acknowledged. docs/failover.md explains why they may count again.
 */
export class RejoinTracker {
  private readonly statuses = new Map<string, InstanceStatus>();

  /** Incarnations that some record has listed, as `ID INCARNATION`. */
  private readonly listed = new Set<string>();

  /** Time at which the present record was first seen. */
  private recordSeenAt: Millis = 0;

  private readonly returned = new Map<string, ReturnedInstance>();

  private readonly instances: readonly string[];

  private readonly backoff: Backoff;

  constructor(private readonly options: Pick<FailoverOptions, 'vm' | 'group' | 'random'>) {
    this.instances = options.group.instances.map(({ id }) => id);
    this.backoff = new Backoff(options.random);
  }

  /** Remembers what a changed record lists, and allows another attempt at once. */
  handleRecord(record: GroupRecord | undefined, now: Millis): void {
    this.recordSeenAt = now;
    this.backoff.reset();
    Object.entries(record?.incarnations ?? {}).forEach((entry) => this.listed.add(entry.join(' ')));
  }

  handleStatus(status: InstanceStatus, now: Millis): void {
    const { instance, incarnation } = status;
    this.statuses.set(instance, status);
    if (this.returned.get(instance)?.incarnation === incarnation) return;
    this.returned.set(instance, { incarnation, since: now });
  }

  /** Puts incarnations that were listed before, and answer, in place of those that a copy lists. */
  restoreListed(incarnations: Incarnations | undefined): Incarnations | undefined {
    if (!incarnations) return undefined;
    const answering = [...this.statuses.values()].filter((status) => this.hasBeenListed(status));
    const entries = answering.map(({ instance, incarnation }) => [instance, incarnation]);
    return { ...incarnations, ...(Object.fromEntries(entries) as Incarnations) };
  }

  /** Returns the record with the instances that have caught up, when an attempt to write it is due. */
  findUpdate(record: GroupRecord, now: Millis): GroupRecord | undefined {
    if (record.phase !== 'named') return undefined;
    const incarnations = this.findIncarnations(record);
    if (!incarnations || !this.backoff.isDue(now)) return undefined;
    this.backoff.schedule(now);
    return { ...record, writer: this.options.vm, incarnations };
  }

  /**
   * Returns the incarnations that the record should list; undefined when that changes nothing. The
   * first list of a group needs a majority, without which no other instance could ever join it.
   */
  private findIncarnations(record: GroupRecord): Incarnations | undefined {
    const { incarnations: listed } = record;
    const added = this.instances.filter((instance) => this.mayJoin(instance, record));
    if (added.length < (listed ? 1 : countMajority(this.instances.length))) return undefined;
    const entries = added.map((instance) => [instance, this.findIncarnation(instance)]);
    return { ...listed, ...(Object.fromEntries(entries) as Incarnations) };
  }

  /** True when the instance holds the position that a majority knew after its return. */
  protected hasCaughtUp(status: InstanceStatus, record: GroupRecord): boolean {
    if (isLeading(status, record)) return true;
    const target = this.findTarget(status.instance, record);
    const isFollowing =
      status.role === 'replica' &&
      status.following === record.primary &&
      status.fenceTerm === record.term &&
      status.durable.term === record.term;
    return isFollowing && target !== undefined && hasPosition(status.durable, target);
  }

  /** False for an answer that may be older than the return, and miss later acknowledgements. */
  protected isAfterReturn({ requestedAt }: InstanceStatus, since: Millis): boolean {
    return requestedAt >= since;
  }

  /** True when the platform has lost, with its store, that the incarnation has caught up before. */
  private hasBeenListed({ instance, incarnation, requestedAt }: InstanceStatus): boolean {
    // An earlier answer may be that of a life which the present record has replaced.
    return requestedAt >= this.recordSeenAt && this.listed.has(`${instance} ${incarnation}`);
  }

  private findIncarnation(instance: string): string {
    return this.statuses.get(instance)?.incarnation ?? '';
  }

  private mayJoin(instance: string, record: GroupRecord): boolean {
    const status = this.statuses.get(instance);
    // An instance that reports no incarnation cannot be told from its earlier life.
    if (!status?.incarnation) return false;
    const { incarnations } = record;
    if (incarnations && isCounted(incarnations, status)) return false;
    return this.hasBeenListed(status) || this.hasCaughtUp(status, record);
  }

  /** Returns the position to reach, which is fixed when a majority first answers in the term. */
  private findTarget(instance: string, record: GroupRecord): LogPosition | undefined {
    const returned = this.returned.get(instance);
    if (!returned) return undefined;
    if (returned.target?.term === record.term) return returned.target.position;
    const position = this.findMajorityPosition(returned.since, record);
    if (!position) return undefined;
    this.returned.set(instance, { ...returned, target: { term: record.term, position } });
    return position;
  }

  /** Returns the primary's position if a majority that counts was in its term after `since`. */
  private findMajorityPosition(since: Millis, record: GroupRecord): LogPosition | undefined {
    const answers = [...this.statuses.values()].filter(
      (status) =>
        isCounted(record.incarnations, status) &&
        this.isAfterReturn(status, since) &&
        status.fenceTerm === record.term,
    );
    if (answers.length < countMajority(this.instances.length)) return undefined;
    return answers.find((status) => isLeading(status, record))?.durable;
  }
}
