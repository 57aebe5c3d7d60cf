import {
  type Clock,
  type Configuration,
  type DatabaseGroup,
  EMPTY_CONFIGURATION,
  type GroupRecord,
  HomeTable,
  type MembershipView,
  type Millis,
  type RecordUpdate,
} from '@shallotpick/core';
import type { GroupServer } from './group.js';
import type { Log } from './log.js';

const SWEEP_INTERVAL_MS: Millis = 1_000;
/** How long a group without a home on this VM is served after its last request. */
const IDLE_LIMIT_MS: Millis = 300_000;

/** Options of {@link GroupManager}. */
export interface GroupManagerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly membership: MembershipView;
  readonly createGroup: (group: DatabaseGroup) => GroupServer;
  /** How long requests on a replaced group definition may continue. */
  readonly drainLimitMs: Millis;
}

/** A group in service, with the definition that its server was created from. */
interface ServedGroup {
  readonly server: GroupServer;
  readonly definition: string;
  usedAt: Millis;
}

/** A replaced group server, which is stopped at the deadline at the latest. */
interface RetiredGroup {
  readonly server: GroupServer;
  readonly deadline: Millis;
}

/** Formats a group without `leaving`, which does not affect connections to other instances. */
function formatDefinition(group: DatabaseGroup): string {
  return JSON.stringify(group, (key, value) => (key === 'leaving' ? undefined : value) as unknown);
}

/**
 * Manages the groups that this daemon serves: those with a home on this VM, and others from their
 * first caller until they have been idle for a while. When a group's definition changes, a new
 * server takes over immediately, and the old one finishes its running requests.
 */
export class GroupManager {
  private readonly definitions = new Map<string, DatabaseGroup>();

  private readonly served = new Map<string, ServedGroup>();

  private readonly retired = new Set<RetiredGroup>();

  private readonly records = new Map<string, RecordUpdate>();

  private readonly homes = new HomeTable();

  private configuration: Configuration = EMPTY_CONFIGURATION;

  /** Instances marked as leaving in the platform's VM list. */
  private leaving: ReadonlySet<string> = new Set();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: GroupManagerOptions) {}

  start(): void {
    this.options.membership.addListener(() => this.updateHomes());
    this.timer = setInterval(() => this.handleTick(), SWEEP_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.served.forEach(({ server }) => server.stop());
    this.served.clear();
    this.retired.forEach(({ server }) => server.stop());
    this.retired.clear();
  }

  readConfiguration(): Configuration {
    return this.configuration;
  }

  /** The active group servers. */
  list(): readonly GroupServer[] {
    return [...this.served.values()].map(({ server }) => server);
  }

  /** Finds the server of a configured group, and starts one for a group without a home here. */
  find(name: string): GroupServer | undefined {
    const definition = this.definitions.get(name);
    const served = this.served.get(name) ?? (definition && this.startGroup(definition));
    if (served) served.usedAt = this.options.clock.readNow();
    return served?.server;
  }

  /** Applies a newer configuration; an older one is ignored. */
  updateConfiguration(configuration: Configuration): void {
    if (configuration.number <= this.configuration.number) return;
    this.configuration = configuration;
    const names = new Set(configuration.groups.map(({ name }) => name));
    [...this.definitions.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => {
        this.definitions.delete(name);
        this.retire(name);
      });
    // Unchanged groups are the same objects after a release note, so finding the changes is cheap.
    const changed = configuration.groups.filter(
      (group) => this.definitions.get(group.name) !== group,
    );
    changed.forEach((group) => this.updateGroup(group));
    this.homes.updateGroups(configuration.groups);
    this.updateHomes();
  }

  /** The newest known records, for peers. */
  listRecords(): readonly RecordUpdate[] {
    return [...this.records.values()];
  }

  /** Handles a record from the platform or a peer; an older version is ignored. */
  handleRecord(record: GroupRecord, version: number): void {
    if (version <= (this.records.get(record.group)?.version ?? -1)) return;
    this.records.set(record.group, { record, version });
    this.served.get(record.group)?.server.handleRecord(record, version);
  }

  /** Handles a full listing of the records: groups that are not `listed` have none. */
  handleListedRecords(listed: ReadonlySet<string>, version: number): void {
    this.served.forEach(({ server }, name) => {
      if (!listed.has(name)) server.handleMissingRecord(version);
    });
  }

  hasInstance(id: string): boolean {
    return this.configuration.groups.some(({ instances }) =>
      instances.some((instance) => instance.id === id),
    );
  }

  /** Updates the instances marked as leaving in the platform's VM list. */
  updateLeaving(leaving: ReadonlySet<string>): void {
    this.leaving = leaving;
    this.options.log.info('leaving instances changed', { instances: [...leaving] });
    this.served.forEach(({ server }, name) => {
      const group = this.definitions.get(name);
      if (group) server.updateLeaving(this.listLeaving(group));
    });
  }

  private updateGroup(group: DatabaseGroup): void {
    this.definitions.set(group.name, group);
    const served = this.served.get(group.name);
    if (!served) return;
    if (served.definition === formatDefinition(group)) {
      served.server.updateLeaving(this.listLeaving(group));
      return;
    }
    this.retire(group.name);
    this.startGroup(group);
  }

  private updateHomes(): void {
    const { membership, log } = this.options;
    this.homes.updateVms(membership.listLive());
    this.homes.listGroups(membership.self.id).forEach((name) => {
      const group = this.definitions.get(name);
      if (!group || this.served.has(name)) return;
      log.info('home group started', { group: name, homes: this.homes.findHomes(name, '') });
      this.startGroup(group);
    });
  }

  private startGroup(group: DatabaseGroup): ServedGroup {
    const server = this.options.createGroup(group);
    const definition = formatDefinition(group);
    const served = { server, definition, usedAt: this.options.clock.readNow() };
    this.served.set(group.name, served);
    server.updateLeaving(this.listLeaving(group));
    server.start();
    const known = this.records.get(group.name);
    if (known) server.handleRecord(known.record, known.version);
    return served;
  }

  /** Sends no more work to a group's server, and stops it once its running requests are done. */
  private retire(name: string): void {
    const served = this.served.get(name);
    if (!served) return;
    this.served.delete(name);
    const { clock, drainLimitMs, log } = this.options;
    log.info('group server retired', { group: name });
    this.retired.add({ server: served.server, deadline: clock.readNow() + drainLimitMs });
  }

  private handleTick(): void {
    const now = this.options.clock.readNow();
    this.retired.forEach((group) => {
      if (!group.server.isIdle() && now < group.deadline) return;
      group.server.stop();
      this.retired.delete(group);
    });
    const self = this.options.membership.self.id;
    this.served.forEach(({ server, usedAt }, name) => {
      const isUnused = now - usedAt >= IDLE_LIMIT_MS && server.isIdle();
      if (isUnused && !this.homes.isHome(name, self)) this.retire(name);
    });
  }

  /** An instance is leaving when the release note or the VM list says so. */
  private listLeaving({ instances }: DatabaseGroup): ReadonlySet<string> {
    const ids = instances.filter(({ id, leaving }) => leaving || this.leaving.has(id));
    return new Set(ids.map(({ id }) => id));
  }
}
