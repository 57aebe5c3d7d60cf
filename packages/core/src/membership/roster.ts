import type { Millis } from '../clock.js';
import type { DatabaseInstance, InstanceRole } from '../group.js';

/** Time within which live instances whose entries expired in a store outage register again. */
const MISSING_TIMEOUT_MS: Millis = 2_500;

/** Time for which the instances of expired registrations are listed, in case they still run. */
const EXPIRED_TTL_MS: Millis = 30_000;

/**
 * An entry that shows a leaving instance as serving is the instance's own once it has stood for this
 * long: a leaving one that runs would have replaced it, and that of one that has ended would have
 * expired.
 */
const CONTRADICTION_MS: Millis = 6_000;
/** More time than this between two ticks means that this process itself stood still. */
const MAX_TICK_MS: Millis = 100;

/** Number of departed instances that are remembered. */
const MAX_DEPARTED = 1_000;

/** Start time of instances that tell none. */
export const UNKNOWN_START = 0;

/** An instance as it registered itself. */
export interface RegisteredInstance extends DatabaseInstance {
  readonly group: string;
  /** Role that the instance reports. */
  readonly role: InstanceRole;
  /** Start time in Unix milliseconds, which distinguishes restarts; `UNKNOWN_START` without one. */
  readonly startedAt: number;
  /** Number of the report, rising from the instance's start on; absent where none are counted. */
  readonly sequence?: number;
}

/** An instance whose registration has expired, although it may still run. */
export interface ExpiredInstance {
  readonly instance: RegisteredInstance;
  /** When its entry went missing. */
  readonly missingSince: Millis;
}

/** A listed instance and the state of its registration. */
interface RosterEntry {
  readonly instance: RegisteredInstance;
  /** When the entry went missing; undefined while it is listed. */
  missingSince: Millis | undefined;
  /** True when the entry shows an instance as serving that has announced that it is leaving. */
  readonly isContradicted: boolean;
  /** How long it has done so without an interruption. */
  readonly contradictedMs: Millis;
}

/** An instance that has announced that it is leaving. */
interface Departure {
  readonly startedAt: number;
  /** Number of its last report that said so. */
  readonly sequence: number;
}

/**
 * The currently registered instances. An instance whose entry goes missing is dropped only after
 * `MISSING_TIMEOUT_MS`, because an outage of the registry can remove entries of live instances.
 */
export class InstanceRoster {
  private readonly listed = new Map<string, RosterEntry>();

  /** Instances that were dropped recently, by id. */
  private readonly expired = new Map<string, ExpiredInstance>();

  /** The last announcements of instances that are leaving or were when they were dropped. */
  private readonly departures = new Map<string, Departure>();

  private now: Millis = Number.NEGATIVE_INFINITY;

  constructor(private readonly onChange: () => void) {}

  /** Lists all instances, including those whose entry went missing recently. */
  list(): readonly RegisteredInstance[] {
    return [...this.listed.values()].map(({ instance }) => instance);
  }

  listGroup(group: string): readonly RegisteredInstance[] {
    return this.list().filter((instance) => instance.group === group);
  }

  /** Lists the instances of a group whose registration has expired recently. */
  listExpired(group: string): readonly ExpiredInstance[] {
    return [...this.expired.values()].filter(({ instance }) => instance.group === group);
  }

  find(id: string): RegisteredInstance | undefined {
    return this.listed.get(id)?.instance;
  }

  /** Replaces the whole list, for instance after the watch of the registry was interrupted. */
  updateAll(instances: readonly RegisteredInstance[], now: Millis): void {
    this.now = now;
    const ids = new Set(instances.map(({ id }) => id));
    this.listed.forEach((_, id) => {
      if (!ids.has(id)) this.remove(id, now);
    });
    instances.forEach((instance) => this.update(instance));
  }

  /** Handles an entry; one that lacks the start time of its instance counts as missing. */
  update(registered: RegisteredInstance): void {
    const { id } = registered;
    const known = this.listed.get(id);
    if (
      known &&
      known.instance.startedAt !== UNKNOWN_START &&
      registered.startedAt === UNKNOWN_START
    ) {
      this.remove(id, this.now);
      return;
    }
    if (registered.leaving) this.rememberDeparture(registered);
    const leaving = registered.leaving === true || this.hasAnnouncedLeaving(registered);
    if (!leaving && this.departures.get(id)?.startedAt === registered.startedAt) {
      this.departures.delete(id);
    }
    const contradictedMs = registered.leaving ? 0 : (known?.contradictedMs ?? 0);
    const isContradicted = leaving && !registered.leaving;
    const instance = { ...registered, leaving };
    this.listed.set(id, { instance, missingSince: undefined, isContradicted, contradictedMs });
    this.expired.delete(id);
    this.onChange();
  }

  /**
   * An entry of a registry restored from an older copy may not show that its instance is leaving; a
   * later report of the instance does.
   */
  private hasAnnouncedLeaving({ id, startedAt, sequence = 0 }: RegisteredInstance): boolean {
    const departure = this.departures.get(id);
    return departure?.startedAt === startedAt && sequence <= departure.sequence;
  }

  /** Handles a removed entry; the instance stays listed for a while unless it was leaving. */
  remove(id: string, now: Millis): void {
    const listed = this.listed.get(id);
    if (!listed || listed.missingSince !== undefined) return;
    listed.missingSince = now;
    // A leaving instance is not expected to register again.
    if (listed.instance.leaving) this.drop(id);
  }

  /** Drops instances that are missing for too long, counted while the registry `isReachable`. */
  handleTick(now: Millis, isReachable: boolean): void {
    // What changed while this process stood still is not known yet.
    this.endContradictions(Math.min(now - this.now, MAX_TICK_MS), isReachable);
    this.now = now;
    this.expired.forEach(({ missingSince }, id) => {
      if (now - missingSince >= EXPIRED_TTL_MS) this.removeExpired(id);
    });
    this.listed.forEach((listed, id) => {
      if (listed.missingSince === undefined) return;
      if (!isReachable) {
        this.listed.set(id, { ...listed, missingSince: now });
        return;
      }
      if (now - listed.missingSince >= MISSING_TIMEOUT_MS) this.drop(id);
    });
  }

  /** Takes instances into service again that have long shown that they aren't leaving. */
  private endContradictions(elapsedMs: Millis, isReachable: boolean): void {
    this.listed.forEach((listed, id) => {
      if (!listed.isContradicted) return;
      const contradictedMs = isReachable ? listed.contradictedMs + elapsedMs : 0;
      this.listed.set(id, { ...listed, contradictedMs });
      if (contradictedMs < CONTRADICTION_MS) return;
      this.departures.delete(id);
      this.update({ ...listed.instance, leaving: false });
    });
  }

  private removeExpired(id: string): void {
    this.expired.delete(id);
    this.onChange();
  }

  private drop(id: string): void {
    const entry = this.listed.get(id);
    this.listed.delete(id);
    if (entry?.missingSince !== undefined) {
      const { instance, missingSince } = entry;
      this.expired.set(id, { instance, missingSince });
    }
    this.onChange();
  }

  private rememberDeparture({ id, startedAt, sequence = 0 }: RegisteredInstance): void {
    this.departures.delete(id);
    this.departures.set(id, { startedAt, sequence });
    const [oldest] = this.departures.keys();
    if (this.departures.size > MAX_DEPARTED && oldest !== undefined) this.departures.delete(oldest);
  }
}
