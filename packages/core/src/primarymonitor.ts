import type { Millis } from './clock.js';
import {
  countMajority,
  type DatabaseGroup,
  type GroupRecord,
  type InstanceStatus,
} from './group.js';

/** A primary that misses probes for this long counts as unreachable. */
export const UNREACHABLE_AFTER_MS: Millis = 150;
/** An observation of another VM that is older than this does not count. */
export const OBSERVATION_TTL_MS: Millis = 1_000;
/** After this time without a primary, zones that report nothing no longer hold up a failover. */
const SILENT_ZONES_AFTER_MS: Millis = 800;
/** A longer gap between ticks means that this process was paused and has heard nobody. */
const PAUSE_GAP_MS: Millis = 100;

/** What one VM sees of a group's primary. */
export interface PrimaryObservation {
  readonly vm: string;
  readonly zone: string;
  readonly group: string;
  readonly term: number;
  readonly reachable: boolean;
  /** On the clock of the observing VM; comparable only with its own observations. */
  readonly observedAt: Millis;
}

interface Heard {
  readonly observation: PrimaryObservation;
  readonly receivedAt: Millis;
}

export interface MonitorOptions {
  readonly zone: string;
  readonly group: DatabaseGroup;
}

/** Judges from probes and from the observations of other VMs whether a primary is lost. */
export class PrimaryMonitor {
  private readonly statuses = new Map<string, InstanceStatus>();

  private readonly heardAt = new Map<string, Millis>();

  private readonly observations = new Map<string, Heard>();

  private zones: ReadonlySet<string>;

  private resumedAt: Millis = 0;

  private tickedAt: Millis | undefined;

  constructor(private readonly options: MonitorOptions) {
    this.zones = new Set([options.zone]);
  }

  /** Zones that have live VMs, and hence a vote. */
  updateZones(zones: readonly string[]): void {
    this.zones = new Set([this.options.zone, ...zones]);
  }

  /** False when the status is older than one known already. */
  updateStatus(status: InstanceStatus, now: Millis): boolean {
    const known = this.statuses.get(status.instance);
    if (known && known.requestedAt > status.requestedAt) return false;
    this.statuses.set(status.instance, status);
    this.heardAt.set(status.instance, now);
    return true;
  }

  /** Keeps the newest observation of each VM, dated by its arrival: clocks of VMs differ. */
  updateObservation(observation: PrimaryObservation, now: Millis): void {
    const known = this.observations.get(observation.vm);
    // A VM that has restarted counts from a new origin, so an old observation blocks nothing.
    const fresh = known !== undefined && now - known.receivedAt <= OBSERVATION_TTL_MS;
    if (fresh && known.observation.observedAt >= observation.observedAt) return;
    this.observations.set(observation.vm, { observation, receivedAt: now });
  }

  /** Notices a pause of this process, after which silence proves nothing. */
  handleTick(now: Millis): void {
    if (this.tickedAt === undefined || now - this.tickedAt > PAUSE_GAP_MS) this.resumedAt = now;
    this.tickedAt = now;
  }

  findStatus(instance: string): InstanceStatus | undefined {
    return this.statuses.get(instance);
  }

  /** Highest fence term that any instance has reported. */
  findFenceTerm(): number {
    return Math.max(0, ...[...this.statuses.values()].map(({ fenceTerm }) => fenceTerm));
  }

  isReachable(instance: string, now: Millis): boolean {
    const heardAt = this.heardAt.get(instance);
    return heardAt !== undefined && now - heardAt < UNREACHABLE_AFTER_MS;
  }

  /** True when a majority of the instances answers this VM, so that it could finish a failover. */
  hasMajority(now: Millis): boolean {
    const { instances } = this.options.group;
    const reachable = instances.filter(({ id }) => this.isReachable(id, now)).length;
    return reachable >= countMajority(instances.length);
  }

  /** How long the instance has been silent while this process was running. */
  computeSilence(instance: string, since: Millis, now: Millis): Millis {
    return now - Math.max(this.heardAt.get(instance) ?? since, this.resumedAt);
  }

  /** True when most zones report the record's primary as unreachable. */
  isLostForMostZones(record: GroupRecord, now: Millis): boolean {
    const primary = record.primary ?? '';
    const votes = this.readVotes(record, now);
    const reaching = [...votes.values()].filter(Boolean).length;
    const missing = votes.size - reaching;
    if (missing * 2 > Math.max(this.zones.size, votes.size)) return true;
    const silence = this.computeSilence(primary, this.resumedAt, now);
    return silence >= SILENT_ZONES_AFTER_MS && missing > reaching;
  }

  /** What `vm` sees of the record's primary; undefined while none is named. */
  findObservation(record: GroupRecord, vm: string, now: Millis): PrimaryObservation | undefined {
    const { term, primary } = record;
    if (!primary) return undefined;
    const { zone, group } = this.options;
    const reachable = this.isReachable(primary, now);
    return { vm, zone, group: group.name, term, reachable, observedAt: now };
  }

  /** By zone: whether any of its VMs reaches the primary. Zones without a fresh report are left out. */
  private readVotes({ term, primary }: GroupRecord, now: Millis): ReadonlyMap<string, boolean> {
    const { zone: own } = this.options;
    const votes = new Map([[own, this.isReachable(primary ?? '', now)]]);
    for (const { observation, receivedAt } of this.observations.values()) {
      const { zone, reachable } = observation;
      if (observation.term !== term || now - receivedAt > OBSERVATION_TTL_MS) continue;
      votes.set(zone, reachable || votes.get(zone) === true);
    }
    return votes;
  }
}
