import type { Millis } from '../clock.js';
import {
  countMajority,
  type DatabaseGroup,
  type GroupRecord,
  type InstanceStatus,
} from '../group.js';
import { type Incarnations, isCounted } from './incarnations.js';

/** An instance that has answered no probe for this long counts as unreachable. */
export const UNREACHABLE_AFTER_MS: Millis = 150;
/** Observations by other VMs expire after this time. */
export const OBSERVATION_TTL_MS: Millis = 1_000;
/** Zones without a report no longer block a failover after this much silence of the primary. */
const SILENT_ZONES_AFTER_MS: Millis = 800;
/** A longer gap between ticks means that this process was paused and received nothing. */
const PAUSE_GAP_MS: Millis = 100;

/** One VM's view of a group's primary. */
export interface PrimaryObservation {
  readonly vm: string;
  readonly zone: string;
  readonly group: string;
  readonly term: number;
  readonly reachable: boolean;
  /** Time on the observing VM's clock; comparable only with that VM's other observations. */
  readonly observedAt: Millis;
}

/** An observation with its time of arrival. */
interface ReceivedObservation {
  readonly observation: PrimaryObservation;
  readonly receivedAt: Millis;
}

/** Options of a `PrimaryMonitor`. */
export interface MonitorOptions {
  readonly zone: string;
  readonly group: DatabaseGroup;
}

/** Detects the loss of a primary from own probes and from the observations of other VMs. */
export class PrimaryMonitor {
  private readonly statuses = new Map<string, InstanceStatus>();

  private readonly answeredAt = new Map<string, Millis>();

  private readonly observations = new Map<string, ReceivedObservation>();

  private zones: ReadonlySet<string>;

  private resumedAt: Millis = 0;

  private tickedAt: Millis | undefined;

  constructor(private readonly options: MonitorOptions) {
    this.zones = new Set([options.zone]);
  }

  /** Sets the zones that have live VMs and therefore a vote. */
  updateZones(zones: readonly string[]): void {
    this.zones = new Set([this.options.zone, ...zones]);
  }

  /** Records a status; false when a newer one is known already. */
  updateStatus(status: InstanceStatus, now: Millis): boolean {
    const known = this.statuses.get(status.instance);
    if (known && known.requestedAt > status.requestedAt) return false;
    this.statuses.set(status.instance, status);
    this.answeredAt.set(status.instance, now);
    return true;
  }

  /** Keeps the newest observation of each VM with its time of arrival, since clocks differ. */
  updateObservation(observation: PrimaryObservation, now: Millis): void {
    const known = this.observations.get(observation.vm);
    // A restarted VM has a new clock origin, so an expired observation must not hide its reports.
    const isUnexpired = known !== undefined && now - known.receivedAt <= OBSERVATION_TTL_MS;
    if (isUnexpired && known.observation.observedAt >= observation.observedAt) return;
    this.observations.set(observation.vm, { observation, receivedAt: now });
  }

  /** Detects a pause of this process, after which silence is no sign of a failure. */
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
    const answeredAt = this.answeredAt.get(instance);
    return answeredAt !== undefined && now - answeredAt < UNREACHABLE_AFTER_MS;
  }

  /** True when a majority that counts answers this VM, so that it could finish a failover. */
  hasMajority(incarnations: Incarnations | undefined, now: Millis): boolean {
    const { instances } = this.options.group;
    const answering = [...this.statuses.values()].filter(
      (status) => isCounted(incarnations, status) && this.isReachable(status.instance, now),
    );
    return answering.length >= countMajority(instances.length);
  }

  /** Returns how long the instance has been silent while this process was running. */
  computeSilence(instance: string, since: Millis, now: Millis): Millis {
    return now - Math.max(this.answeredAt.get(instance) ?? since, this.resumedAt);
  }

  /** True when most zones report the record's primary as unreachable. */
  isLostForMostZones(record: GroupRecord, now: Millis): boolean {
    const primary = record.primary ?? '';
    const votes = this.computeVotes(record, now);
    const reaching = [...votes.values()].filter(Boolean).length;
    const missing = votes.size - reaching;
    if (missing * 2 > Math.max(this.zones.size, votes.size)) return true;
    const silence = this.computeSilence(primary, this.resumedAt, now);
    return silence >= SILENT_ZONES_AFTER_MS && missing > reaching;
  }

  /** Returns the view that `vm` has of the record's primary; undefined while none is named. */
  findObservation(record: GroupRecord, vm: string, now: Millis): PrimaryObservation | undefined {
    const { term, primary } = record;
    if (!primary) return undefined;
    const { zone, group } = this.options;
    const reachable = this.isReachable(primary, now);
    return { vm, zone, group: group.name, term, reachable, observedAt: now };
  }

  /** Returns for each zone with an unexpired report whether any of its VMs reaches the primary. */
  private computeVotes({ term, primary }: GroupRecord, now: Millis): ReadonlyMap<string, boolean> {
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
