import {
  ExchangeFeature,
  type GroupRecord,
  type MembershipView,
  type Millis,
  type PeerExchange,
  type PrimaryObservation,
  rankVms,
  type RecordUpdate,
} from '@shallotpick/core';

/** In a larger fleet, observations go only to the VMs that may start a failover. */
const MAX_SMALL_FLEET = 9;
/** Highest-ranked VMs, which can start a failover within its target of two seconds. */
const FAILOVER_VMS_PER_GROUP = 3;
/** A changed record is sent repeatedly for this long, in case messages are lost. */
const RECORD_REPEAT_MS: Millis = 10_000;
/** Limits of one message; the remaining records follow in later rounds. */
const MAX_RECORDS = 16;
/** Records of the rotating window in a large fleet; more would exceed 6 KB a second. */
const LARGE_FLEET_RECORDS = 1;
const MAX_OBSERVATIONS = 64;

/** The part of a group's failover driver that observations need. */
export interface ObservedGroup {
  readonly name: string;
  findObservation(now: Millis): PrimaryObservation | undefined;
  handleObservation(observation: PrimaryObservation): void;
}

/** Options of {@link ObservationFeature}. */
export interface ObservationOptions {
  readonly membership: MembershipView;
  readonly listGroups: () => readonly ObservedGroup[];
  readonly listRecords: () => readonly RecordUpdate[];
  readonly handleRecord: (record: GroupRecord, version: number) => void;
}

/**
 * Exchanges observations of the primaries and newer group records with peers, so that a failover
 * is based on observations from several zones.
 */
export class ObservationFeature extends ExchangeFeature {
  private readonly lastSeen = new Map<string, { readonly version: number; readonly at: Millis }>();

  private unreachable: ReadonlySet<string> = new Set();

  /** Index of the first record of the next window. */
  private cursor = 0;

  constructor(private readonly options: ObservationOptions) {
    super();
  }

  collect(
    peer: string,
    lastMessage: PeerExchange | undefined,
    now: Millis,
  ): Pick<PeerExchange, 'observations' | 'records'> {
    return {
      observations: this.listObservations(peer, lastMessage, now),
      records: this.listRecords(now),
    };
  }

  handle(message: PeerExchange): void {
    const { membership, listGroups, handleRecord } = this.options;
    const groups = new Map(listGroups().map((group) => [group.name, group]));
    message.records.forEach(({ record, version }) => handleRecord(record, version));
    message.observations
      .filter(({ vm }) => vm !== membership.self.id)
      .forEach((observation) => groups.get(observation.group)?.handleObservation(observation));
  }

  /** True once after each change of the set of unreachable primaries. */
  hasUpdates(now: Millis): boolean {
    const unreachable = new Set(
      this.options
        .listGroups()
        .filter((group) => group.findObservation(now)?.reachable === false)
        .map(({ name }) => name),
    );
    const previous = this.unreachable;
    this.unreachable = unreachable;
    return (
      unreachable.size !== previous.size || [...unreachable].some((name) => !previous.has(name))
    );
  }

  /** The VMs that may start a failover of an unreachable primary; empty in a small fleet. */
  listFailoverVms(): readonly string[] {
    if (this.isSmallFleet()) return [];
    const { self } = this.options.membership;
    const failoverVms = [...this.unreachable].flatMap((group) => this.rankFailoverVms(group));
    return [...new Set(failoverVms)].filter((id) => id !== self.id);
  }

  private isSmallFleet(): boolean {
    return this.options.membership.listLive().length <= MAX_SMALL_FLEET;
  }

  private rankFailoverVms(group: string): readonly string[] {
    const live = this.options.membership.listLive().map(({ id }) => id);
    return rankVms(`failover/${group}`, live).slice(0, FAILOVER_VMS_PER_GROUP);
  }

  private listObservations(
    peer: string,
    lastMessage: PeerExchange | undefined,
    now: Millis,
  ): readonly PrimaryObservation[] {
    const isSmall = this.isSmallFleet();
    // A peer that reports on a primary gets this VM's own observation, which may contradict it.
    const reported = new Set(lastMessage?.observations.map(({ group }) => group));
    return this.options
      .listGroups()
      .filter(({ name }) => isSmall || reported.has(name) || this.unreachable.has(name))
      .filter(
        ({ name }) => isSmall || reported.has(name) || this.rankFailoverVms(name).includes(peer),
      )
      .flatMap((group) => group.findObservation(now) ?? [])
      .slice(0, MAX_OBSERVATIONS);
  }

  /** Recently changed records, then a window that rotates over all records. */
  private listRecords(now: Millis): readonly RecordUpdate[] {
    const records = this.options.listRecords();
    const recent = records.filter((update) => this.isRecent(update, now)).slice(0, MAX_RECORDS);
    const remaining = MAX_RECORDS - recent.length;
    const window = Array.from(
      {
        length: Math.min(
          this.isSmallFleet() ? remaining : LARGE_FLEET_RECORDS,
          remaining,
          records.length,
        ),
      },
      (_, index) => records[(this.cursor + index) % records.length],
    ).filter((update) => update !== undefined);
    this.cursor = records.length === 0 ? 0 : (this.cursor + window.length) % records.length;
    return [...new Set([...recent, ...window])];
  }

  private isRecent({ record, version }: RecordUpdate, now: Millis): boolean {
    const seen = this.lastSeen.get(record.group);
    if (seen?.version === version) return now - seen.at < RECORD_REPEAT_MS;
    this.lastSeen.set(record.group, { version, at: now });
    return true;
  }
}
