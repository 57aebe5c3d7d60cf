import type { Millis } from './clock.js';
import type { DatabaseInstance, InstanceRole } from './group.js';

/** Entries of live instances that expired with the store's outage are back within this time. */
const RETURN_MS: Millis = 2_500;

/** An instance as it has registered itself. */
export interface RegisteredInstance extends DatabaseInstance {
  readonly group: string;
  /** Role that the instance reports of itself. */
  readonly role: InstanceRole;
  /** Wall-clock time of the instance's start, Unix milliseconds; tells restarts apart. */
  readonly startedAt: number;
}

interface Listed {
  readonly instance: RegisteredInstance;
  /** When the entry went missing; undefined while it is listed. */
  missingSince: Millis | undefined;
}

/**
 * The instances that are registered now. An entry that goes missing counts as leaving only after
 * `RETURN_MS`, because an outage of the registry may drop entries of instances that live.
 */
export class InstanceRoster {
  private readonly listed = new Map<string, Listed>();

  constructor(private readonly onChange: () => void) {}

  /** All instances, including those whose entry has just gone missing. */
  list(): readonly RegisteredInstance[] {
    return [...this.listed.values()].map(({ instance }) => instance);
  }

  listGroup(group: string): readonly RegisteredInstance[] {
    return this.list().filter((instance) => instance.group === group);
  }

  find(id: string): RegisteredInstance | undefined {
    return this.listed.get(id)?.instance;
  }

  /** Replaces the whole list, as after the watch of the registry was interrupted. */
  updateAll(instances: readonly RegisteredInstance[], now: Millis): void {
    const ids = new Set(instances.map(({ id }) => id));
    this.listed.forEach((_, id) => {
      if (!ids.has(id)) this.remove(id, now);
    });
    instances.forEach((instance) => this.update(instance));
  }

  update(instance: RegisteredInstance): void {
    this.listed.set(instance.id, { instance, missingSince: undefined });
    this.onChange();
  }

  /** The entry is gone; the instance stays listed for a while. */
  remove(id: string, now: Millis): void {
    const listed = this.listed.get(id);
    if (!listed || listed.missingSince !== undefined) return;
    listed.missingSince = now;
    // One that was leaving is not coming back.
    if (listed.instance.leaving) this.drop(id);
  }

  /** `isReachable` is false while the registry does not answer, so that nothing is dropped then. */
  handleTick(now: Millis, isReachable: boolean): void {
    this.listed.forEach((listed, id) => {
      if (listed.missingSince === undefined) return;
      if (!isReachable) {
        this.listed.set(id, { ...listed, missingSince: now });
        return;
      }
      if (now - listed.missingSince >= RETURN_MS) this.drop(id);
    });
  }

  private drop(id: string): void {
    this.listed.delete(id);
    this.onChange();
  }
}
