import {
  type Clock,
  computeAbsentVersion,
  type DatabaseGroup,
  type FailoverAction,
  FailoverCoordinator,
  formatGroupKey,
  type GroupRecord,
  type InstanceLink,
  type InstanceStatus,
  type MembershipView,
  type Millis,
  parseGroupRecord,
  type Platform,
  type PrimaryObservation,
  rankVms,
  type WriteAction,
} from '@shallotpick/core';
import { match } from 'ts-pattern';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import type { SkipListener } from './skippedentries.js';

/** Options of {@link FailoverDriver}. */
export interface FailoverDriverOptions {
  readonly group: DatabaseGroup;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly platform: Platform;
  readonly links: ReadonlyMap<string, InstanceLink>;
  readonly membership: MembershipView;
  readonly createAttempt: () => string;
  /** Called each time the platform's record of the group is invalid. */
  readonly onSkipped: SkipListener;
  /** Returns a number in [0, 1), for the jitter of repeated attempts. */
  readonly random: () => number;
}

/** Executes the actions of a group's failover coordinator. */
export class FailoverDriver {
  private readonly coordinator: FailoverCoordinator;

  private currentRecord: GroupRecord | undefined;

  private version = 0;

  constructor(private readonly options: FailoverDriverOptions) {
    const { group, membership, createAttempt, random } = options;
    const { id: vm, zone } = membership.self;
    this.coordinator = new FailoverCoordinator({ vm, zone, group, createAttempt, random });
    this.updateWatchers();
    membership.addListener(() => this.updateWatchers());
  }

  /** The newest known record of the group. */
  get record(): GroupRecord | undefined {
    return this.currentRecord;
  }

  /** Handles a record from the platform or a peer; an older version is ignored. */
  handleRecord(record: GroupRecord, version: number): void {
    this.updateRecord(record, version);
    this.runActions(this.coordinator.handleRecord(record, version, this.options.clock.readNow()));
  }

  /** Handles that the platform has no record of the group, as of `version`. */
  handleMissingRecord(version: number): void {
    const now = this.options.clock.readNow();
    this.runActions(this.coordinator.handleRecord(undefined, version, now));
  }

  handleObservation(observation: PrimaryObservation): void {
    this.coordinator.handleObservation(observation, this.options.clock.readNow());
  }

  handleStatus(status: InstanceStatus, now: Millis): void {
    this.runActions(this.coordinator.handleStatus(status, now));
  }

  handleTick(now: Millis): void {
    this.runActions(this.coordinator.handleTick(now));
  }

  /** Returns this VM's observation of the primary, for its peers. */
  findObservation(now: Millis): PrimaryObservation | undefined {
    return this.coordinator.findObservation(now);
  }

  get name(): string {
    return this.options.group.name;
  }

  private updateRecord(record: GroupRecord, version: number): void {
    if (version <= this.version) return;
    this.version = version;
    this.currentRecord = record;
    const { group, term, phase, primary, writer } = record;
    this.options.log.info('group record updated', { group, term, phase, primary, writer });
  }

  private updateWatchers(): void {
    const { membership } = this.options;
    const live = membership.listLive();
    const ranking = rankVms(
      `failover/${this.name}`,
      live.map(({ id }) => id),
    );
    // A VM that is not listed as live ranks last, so that the others act first.
    const rank = ranking.indexOf(membership.self.id);
    this.coordinator.updateWatchers(
      rank < 0 ? ranking.length : rank,
      live.map(({ zone }) => zone),
    );
  }

  private runActions(actions: readonly FailoverAction[]): void {
    actions.forEach((action) => {
      this.options.metrics.failoverSteps.inc({ action: action.kind });
      this.options.log.info('failover step', { group: this.name, ...action });
      this.runAction(action).catch((error: unknown) => {
        this.options.log.warn('failover step failed', {
          action: action.kind,
          error: String(error),
        });
      });
    });
  }

  private async runAction(action: FailoverAction): Promise<void> {
    const { links, clock } = this.options;
    await match(action)
      .with({ kind: 'writeRecord' }, (write) => this.writeRecord(write))
      .with({ kind: 'readRecord' }, () => this.readRecord())
      .with({ kind: 'fence' }, async ({ instance, term }) => {
        const answer = await links.get(instance)?.fence(term);
        if (answer) this.runActions(this.coordinator.handleFence(answer, clock.readNow()));
      })
      .with({ kind: 'promote' }, async ({ instance, term, incarnation }) => {
        const isPromoted = (await links.get(instance)?.promote(term, incarnation)) ?? false;
        this.runActions(
          this.coordinator.handlePromotion(instance, term, isPromoted, clock.readNow()),
        );
      })
      .with({ kind: 'follow' }, async ({ instance, term, primary }) => {
        await links.get(instance)?.follow(term, primary);
      })
      .exhaustive();
  }

  private async writeRecord(write: WriteAction): Promise<void> {
    const { platform, clock } = this.options;
    const { record, expectedVersion } = write;
    const key = formatGroupKey(this.name);
    const outcome = await platform.write(key, JSON.stringify(record), expectedVersion);
    if (outcome.kind === 'written') this.updateRecord(record, outcome.version);
    this.runActions(this.coordinator.handleWrite(write, outcome, clock.readNow()));
  }

  private async readRecord(): Promise<void> {
    const key = formatGroupKey(this.name);
    const { objects, revision } = await this.options.platform.list(key);
    const object = objects.find((one) => one.key === key);
    const record = object && parseGroupRecord(object.value, this.name);
    if (record) this.handleRecord(record, object.version);
    else if (object) this.options.onSkipped('record', key, object.version);
    else this.handleMissingRecord(computeAbsentVersion(revision));
  }
}
