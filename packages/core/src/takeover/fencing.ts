import type { Millis } from '../clock.js';
import { findLeaderToStop } from './handover.js';
import { isAlive } from './instanceview.js';
import type { OrderTimer } from './ordertimer.js';
import type { SuccessorSelector } from './successor.js';
import { STUCK_CHECK_INTERVAL_MS, STUCK_LAG_MS, type TakeoverActions } from './takeoverstep.js';
import type { InstanceView, PromotionRecord } from './takeovertypes.js';

/** Orders that keep instances from acknowledging commits, and those that let them go on. */
export class FencingOrders {
  /** Instances that were ordered to stop receiving and have not been resumed. */
  private readonly stopped = new Set<string>();

  constructor(
    private readonly selector: SuccessorSelector,
    private readonly timer: OrderTimer,
  ) {}

  /** Notes that an earlier attempt may have stopped the instances. */
  markStopped(instances: readonly string[]): void {
    instances.forEach((id) => this.stopped.add(id));
  }

  handleResumed(instance: string): void {
    this.stopped.delete(instance);
  }

  /** Stops the instances without a report; the former leader steps down. */
  stopAll(
    instances: readonly InstanceView[],
    formerLeader: string | undefined,
    now: Millis,
  ): TakeoverActions {
    const term = this.selector.newestTerm + 1;
    return instances
      .filter(({ id }) => !this.selector.hasStopped(id) && this.timer.isDue(`fence ${id}`, now))
      .map(({ id }) => {
        this.stopped.add(id);
        return { kind: id === formerLeader ? 'stepDown' : 'pause', instance: id, term };
      });
  }

  /** Stops replicas from receiving; an order is repeated after the gap. */
  pause(
    replicas: readonly InstanceView[],
    now: Millis,
    term = this.selector.newestTerm + 1,
    gap?: Millis,
  ): TakeoverActions {
    return replicas
      .filter(({ id }) => this.timer.isDue(`pause ${id}`, now, gap))
      .map(({ id }) => {
        this.stopped.add(id);
        return { kind: 'pause', instance: id, term };
      });
  }

  /** Makes a former leader step down that must not acknowledge commits under an open record. */
  stopFormerLeader(
    record: PromotionRecord,
    instances: readonly InstanceView[],
    isHolder: boolean,
    now: Millis,
  ): TakeoverActions {
    const leader = findLeaderToStop(record, instances, isHolder);
    if (!leader || !this.timer.isDue('stop leader', now)) return [];
    // The instance that the holder promotes leads in a newer term and ignores this.
    return [{ kind: 'stepDown', instance: leader.id, term: record.term + 1 }];
  }

  /** Resumes the stopped instances; empty once all have answered. */
  resumeAll(now: Millis): TakeoverActions {
    return [...this.stopped]
      .filter((id) => this.timer.isDue(`resume ${id}`, now))
      .map((instance) => ({ kind: 'resume', instance }));
  }

  /**
   * Forgets instances that are gone or don't answer: an instance that starts again is not stopped,
   * and one that stays behind is found by `checkLagging`.
   */
  dropUnreachable(instances: readonly InstanceView[]): void {
    const alive = new Set(instances.filter(isAlive).map(({ id }) => id));
    this.stopped.forEach((id) => {
      if (!alive.has(id)) this.stopped.delete(id);
    });
  }

  hasStopped(): boolean {
    return this.stopped.size > 0;
  }

  clear(): void {
    this.stopped.clear();
  }

  /** Asks a lagging replica for its status: an order that arrived late may keep it stopped. */
  checkLagging(instances: readonly InstanceView[], now: Millis): TakeoverActions {
    return instances
      .filter(
        ({ leads, health, lagMs }) =>
          !leads && health === 'answering' && (lagMs ?? 0) > STUCK_LAG_MS,
      )
      .filter(({ id }) => this.timer.isDue(`stuck ${id}`, now, STUCK_CHECK_INTERVAL_MS))
      .map(({ id }) => ({ kind: 'status', instance: id }));
  }
}
