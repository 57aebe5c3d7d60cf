import {
  type Clock,
  type DatabaseGroup,
  type FailoverAction,
  FailoverCoordinator,
  formatGroupKey,
  type GroupRecord,
  type InstanceLink,
  type InstanceStatus,
  type MembershipView,
  type Millis,
  type Platform,
  type PrimaryObservation,
  rankVms,
} from '@shallotpick/core';
import { match } from 'ts-pattern';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';

export interface FailoverDriverOptions {
  readonly group: DatabaseGroup;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly platform: Platform;
  readonly links: ReadonlyMap<string, InstanceLink>;
  readonly membership: MembershipView;
  readonly createAttempt: () => string;
}

/** Carries out what the failover coordinator of a group decides. */
export class FailoverDriver {
  private readonly coordinator: FailoverCoordinator;

  private current: GroupRecord | undefined;

  constructor(private readonly options: FailoverDriverOptions) {
    const { group, membership, createAttempt } = options;
    const { id: vm, zone } = membership.self;
    this.coordinator = new FailoverCoordinator({ vm, zone, group, createAttempt });
    this.updateRank();
    membership.addListener(() => this.updateRank());
  }

  /** The newest record known. */
  get record(): GroupRecord | undefined {
    return this.current;
  }

  handleRecord(record: GroupRecord, version: number): void {
    if (this.current?.term !== record.term || this.current.phase !== record.phase) {
      const { group, term, phase, primary, writer } = record;
      this.options.log.info('group record', { group, term, phase, primary, writer });
    }
    this.current = record;
    const now = this.options.clock.readNow();
    this.runActions(this.coordinator.handleRecord(record, version, now));
  }

  handleObservation(observation: PrimaryObservation): void {
    this.coordinator.handleObservation(observation);
  }

  handleStatus(status: InstanceStatus, now: Millis): void {
    this.runActions(this.coordinator.handleStatus(status, now));
  }

  handleTick(now: Millis): void {
    this.runActions(this.coordinator.handleTick(now));
  }

  /** What this VM sees of the primary, for its peers. */
  findObservation(now: Millis): PrimaryObservation | undefined {
    return this.coordinator.findObservation(now);
  }

  get name(): string {
    return this.options.group.name;
  }

  private updateRank(): void {
    const { membership } = this.options;
    const ranking = rankVms(
      `failover/${this.name}`,
      membership.listLive().map(({ id }) => id),
    );
    const rank = ranking.indexOf(membership.self.id);
    // A VM that is leaving ranks after all others.
    this.coordinator.updateRank(rank < 0 ? ranking.length : rank);
  }

  private runActions(actions: readonly FailoverAction[]): void {
    actions.forEach((action) => {
      this.options.metrics.failovers.inc({ action: action.kind });
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
      .with({ kind: 'writeRecord' }, ({ record, expectedVersion }) =>
        this.writeRecord(record, expectedVersion),
      )
      .with({ kind: 'readRecord' }, () => this.readRecord())
      .with({ kind: 'fence' }, async ({ instance, term }) => {
        const answer = await links.get(instance)?.fence(term);
        if (answer) this.runActions(this.coordinator.handleFence(answer, clock.readNow()));
      })
      .with({ kind: 'promote' }, async ({ instance, term }) => {
        await links.get(instance)?.promote(term);
      })
      .with({ kind: 'follow' }, async ({ instance, term, primary }) => {
        await links.get(instance)?.follow(term, primary);
      })
      .exhaustive();
  }

  private async writeRecord(record: GroupRecord, expectedVersion: number): Promise<void> {
    const { platform, clock } = this.options;
    const key = formatGroupKey(this.name);
    const outcome = await platform.write(key, JSON.stringify(record), expectedVersion);
    if (outcome.kind === 'written') this.current = record;
    this.runActions(this.coordinator.handleWrite(outcome, clock.readNow()));
  }

  private async readRecord(): Promise<void> {
    const object = await this.options.platform.read(formatGroupKey(this.name));
    if (object) this.handleRecord(JSON.parse(object.value) as GroupRecord, object.version);
  }
}
