import type { DatabaseGroup, GroupRecord } from '@shallotpick/core';
import { type StandinInstanceOptions, StandinInstance } from './instance.js';

/** The instances and replication delay of a stand-in group. */
export interface StandinGroupOptions {
  readonly name: string;
  readonly instances: readonly StandinInstanceOptions[];
  /** One-way delay of the replication stream. */
  readonly replicationDelayMs: number;
}

const FIRST_TERM = 1;

/** The instances of one group and the replication links between them. */
export class StandinGroup {
  readonly instances: readonly StandinInstance[];

  private readonly blockedLinks = new Set<string>();

  private readonly scheduled = new Set<string>();

  constructor(readonly options: StandinGroupOptions) {
    this.instances = options.instances.map((instance) => new StandinInstance(instance, this));
  }

  /** Starts all instances; the first one becomes the primary in term 1. */
  async start(): Promise<void> {
    await Promise.all(this.instances.map((instance) => instance.start()));
    const [first, ...rest] = this.instances;
    this.instances.forEach((instance) => instance.fence(FIRST_TERM));
    first?.promote(FIRST_TERM);
    rest.forEach((instance) => instance.follow(FIRST_TERM, first?.options.id ?? ''));
  }

  async stop(): Promise<void> {
    await Promise.all(this.instances.map((instance) => instance.stop()));
  }

  findInstance(id: string): StandinInstance | undefined {
    return this.instances.find((instance) => instance.options.id === id);
  }

  /** Finds the primary with the highest term. */
  findPrimary(): StandinInstance | undefined {
    return this.instances
      .filter(({ role }) => role === 'primary')
      .reduce<StandinInstance | undefined>(
        (best, next) => (best && best.fenceTerm >= next.fenceTerm ? best : next),
        undefined,
      );
  }

  /** Blocks replication between two instances in both directions. */
  cutReplication(a: string, b: string): void {
    this.blockedLinks.add(`${a}|${b}`).add(`${b}|${a}`);
  }

  restoreReplication(): void {
    this.blockedLinks.clear();
    this.shipAll();
  }

  isLinked(a: StandinInstance, b: StandinInstance): boolean {
    return a.isUp() && b.isUp() && !this.blockedLinks.has(`${a.options.id}|${b.options.id}`);
  }

  /** Schedules the shipping of a primary's new entries after the replication delay. */
  scheduleShipping(primary: StandinInstance): void {
    const { id } = primary.options;
    if (this.scheduled.has(id)) return;
    this.scheduled.add(id);
    setTimeout(() => {
      this.scheduled.delete(id);
      this.instances.forEach((replica) => this.ship(primary, replica));
    }, this.options.replicationDelayMs);
  }

  ship(primary: StandinInstance, replica: StandinInstance): void {
    if (primary === replica || !this.isLinked(primary, replica)) return;
    if (replica.following !== primary.options.id || primary.role !== 'primary') return;
    const { offset, term } = replica.storage.readDurable();
    if (primary.storage.findTerm(offset) !== term) return;
    const entries = primary.storage.listEntriesAfter(offset);
    if (entries.length > 0) replica.receiveEntries(primary, entries);
  }

  shipAll(): void {
    this.instances
      .filter(({ role }) => role === 'primary')
      .forEach((primary) => this.instances.forEach((replica) => this.ship(primary, replica)));
  }

  toDatabaseGroup(): DatabaseGroup {
    const instances = this.instances.map((instance) => instance.toDatabaseInstance());
    return { name: this.options.name, instances };
  }

  /** Creates the record with which the platform describes a new group. */
  toGroupRecord(): GroupRecord {
    return {
      group: this.options.name,
      term: FIRST_TERM,
      phase: 'named',
      primary: this.instances[0]?.options.id ?? null,
      attempt: 'created',
      writer: 'platform',
      incarnations: Object.fromEntries(
        this.instances.map(({ options, incarnation }) => [options.id, incarnation]),
      ),
    };
  }
}
