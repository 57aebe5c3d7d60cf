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

/** Above this size, observations go only to the VMs that may act on them. */
const SMALL_FLEET = 9;
/** Ranks that may start a failover within its target of two seconds. */
const WATCHERS_PER_GROUP = 3;
/** A changed record is repeated for this long, so that one lost message does not matter. */
const RECORD_NEWS_MS: Millis = 10_000;
/** Bounds on one message; the rest follows in later rounds. */
const MAX_RECORDS = 16;
/** Records of the moving window in a large fleet; more would not fit into 6 KB a second. */
const LARGE_WINDOW = 1;
const MAX_OBSERVATIONS = 64;

/** What the feature uses of a group's failover driver. */
export interface ObservedGroup {
  readonly name: string;
  findObservation(now: Millis): PrimaryObservation | undefined;
  handleObservation(observation: PrimaryObservation): void;
}

export interface ObservationOptions {
  readonly membership: MembershipView;
  readonly listGroups: () => readonly ObservedGroup[];
  readonly listRecords: () => readonly RecordUpdate[];
  readonly handleRecord: (record: GroupRecord, version: number) => void;
}

/**
 * Passes on what this VM sees of the primaries, and newer records of groups, so that a failover
 * rests on the view of several zones.
 */
export class ObservationFeature extends ExchangeFeature {
  private readonly seenAt = new Map<string, { readonly version: number; readonly at: Millis }>();

  private unreachable: ReadonlySet<string> = new Set();

  /** Start of the next window of records. */
  private cursor = 0;

  constructor(private readonly options: ObservationOptions) {
    super();
  }

  collect(
    peer: string,
    heard: PeerExchange | undefined,
    now: Millis,
  ): Pick<PeerExchange, 'observations' | 'records'> {
    return {
      observations: this.listObservations(peer, heard, now),
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

  /** True once after each change of a primary between reachable and unreachable. */
  hasUpdates(now: Millis): boolean {
    const found = new Set(
      this.options
        .listGroups()
        .filter((group) => group.findObservation(now)?.reachable === false)
        .map(({ name }) => name),
    );
    const before = this.unreachable;
    this.unreachable = found;
    return found.size !== before.size || [...found].some((name) => !before.has(name));
  }

  /** The VMs, besides the regular partners, that act on the primaries that are unreachable. */
  listFailoverVms(): readonly string[] {
    if (this.isSmall()) return [];
    const { self } = this.options.membership;
    const watchers = [...this.unreachable].flatMap((group) => this.rankWatchers(group));
    return [...new Set(watchers)].filter((id) => id !== self.id);
  }

  private isSmall(): boolean {
    return this.options.membership.listLive().length <= SMALL_FLEET;
  }

  private rankWatchers(group: string): readonly string[] {
    const live = this.options.membership.listLive().map(({ id }) => id);
    return rankVms(`failover/${group}`, live).slice(0, WATCHERS_PER_GROUP);
  }

  private listObservations(
    peer: string,
    heard: PeerExchange | undefined,
    now: Millis,
  ): readonly PrimaryObservation[] {
    const small = this.isSmall();
    // A peer that reports a primary lost gets this VM's own view, which may contradict it.
    const asked = new Set(heard?.observations.map(({ group }) => group));
    return this.options
      .listGroups()
      .filter(({ name }) => small || asked.has(name) || this.unreachable.has(name))
      .filter(({ name }) => small || asked.has(name) || this.rankWatchers(name).includes(peer))
      .flatMap((group) => group.findObservation(now) ?? [])
      .slice(0, MAX_OBSERVATIONS);
  }

  /** Records that changed lately, then a window that moves over all of them. */
  private listRecords(now: Millis): readonly RecordUpdate[] {
    const records = this.options.listRecords();
    const recent = records.filter((update) => this.isRecent(update, now)).slice(0, MAX_RECORDS);
    const room = MAX_RECORDS - recent.length;
    const window = Array.from(
      { length: Math.min(this.isSmall() ? room : LARGE_WINDOW, room, records.length) },
      (_, index) => records[(this.cursor + index) % records.length],
    ).filter((update) => update !== undefined);
    this.cursor = records.length === 0 ? 0 : (this.cursor + window.length) % records.length;
    return [...new Set([...recent, ...window])];
  }

  private isRecent({ record, version }: RecordUpdate, now: Millis): boolean {
    const seen = this.seenAt.get(record.group);
    if (seen?.version === version) return now - seen.at < RECORD_NEWS_MS;
    this.seenAt.set(record.group, { version, at: now });
    return true;
  }
}
