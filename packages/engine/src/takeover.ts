import {
  type Clock,
  type Incarnation,
  type InstanceView,
  type Millis,
  type PromotionRecord,
  type StoreVersion,
  type TakeoverAction,
  TakeoverCoordinator,
} from '@shallotpick/core';
import { match } from 'ts-pattern';
import type { InstanceConnector } from './connection.js';
import type { GroupService } from './group.js';
import type { Log } from './log.js';
import type { Member } from './member.js';
import type { Metrics } from './metrics.js';
import { OpenRecordReporter } from './openrecordreporter.js';
import type { Operation } from './statement.js';
import { decodePromotionRecord } from './promotionrecord.js';
import type { ObjectStore, PromotionService, StoredObject } from './store.js';

/** Store kind of the promotion records. */
export const PROMOTIONS_KIND = 'promotions';

const COMMAND_TIMEOUT_MS: Millis = 400;

/** Services of a takeover driver. */
export interface TakeoverDriverOptions {
  readonly vm: string;
  readonly clock: Clock;
  readonly ageClock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly store: ObjectStore;
  readonly promotions: PromotionService;
  readonly connector: InstanceConnector;
  readonly createAttempt: () => string;
  /** Lists the registered instances and applies them. */
  readonly refreshInstances: () => Promise<void>;
}

function describeIncarnation({ instance }: Member): Incarnation {
  const { id, startedAt, host, port } = instance;
  return { id, startedAt, address: `${host}:${port}` };
}

/** Executes the actions of a group's takeover coordinator. */
export class TakeoverDriver {
  private readonly coordinator: TakeoverCoordinator;

  /** The instances for which a takeover waits, as logged last. */
  private awaited = '';

  /** Attempt for which the connections to the replaced leader were closed. */
  private closedFor: string | undefined;

  private readonly openRecord: OpenRecordReporter;

  constructor(
    private readonly group: GroupService,
    private readonly options: TakeoverDriverOptions,
  ) {
    const { vm, createAttempt, log, metrics } = options;
    this.coordinator = new TakeoverCoordinator({ group: group.name, vm, createAttempt });
    this.openRecord = new OpenRecordReporter(group.name, log, metrics);
  }

  isChangingLeader(now: Millis): boolean {
    return this.coordinator.isChanging(now);
  }

  /** True for an instance that counts for decisions. */
  isEligible(instance: string): boolean {
    return this.coordinator.isEligible(instance);
  }

  /** True for a leader whose acknowledgements may be lost, since a takeover replaces it. */
  isBeingReplaced(member: Member): boolean {
    return this.coordinator.isBeingReplaced(describeIncarnation(member));
  }

  updateRank(rank: number): void {
    this.coordinator.updateRank(rank);
  }

  /** Notes that what a request sent at `askedAt` has returned of the record has been handled. */
  handleAnswer(askedAt: Millis): void {
    const claim = this.coordinator.findSettledClaim();
    if (claim !== undefined) this.group.confirmation.handleSettledRecord(claim, askedAt);
  }

  /** Handles the group's promotion record from the store; undefined when there is none. */
  handleRecordObject(object: StoredObject | undefined, era: number): void {
    const record = object && decodePromotionRecord(object.spec);
    if (record) {
      const { generation, holder, phase } = record;
      this.options.log.info('promotion record read', {
        group: this.group.name,
        ...{ generation, holder, phase, era, revision: object.revision },
      });
    } else if (object) {
      const { revision } = object;
      this.options.log.warn('promotion record is unreadable and will be replaced', {
        ...{ group: this.group.name, era, revision },
      });
    }
    this.applyRecord(record, { era, revision: object?.revision ?? 0 });
  }

  private applyRecord(record: PromotionRecord | undefined, version: StoreVersion): void {
    const actions = this.coordinator.handleRecord(record, version, this.options.clock.readNow());
    this.closeReplaced(record);
    this.runActions(actions);
  }

  /**
   * Closes the connections to a leader that a takeover replaces, so that no caller is told of a
   * commit that its successor may lack; such work ends with an unknown outcome.
   */
  private closeReplaced(record: PromotionRecord | undefined): void {
    if (!record || record.attempt === this.closedFor) return;
    const replaced = this.group.listMembers().filter((member) => this.isBeingReplaced(member));
    if (replaced.length === 0) return;
    this.closedFor = record.attempt;
    replaced.forEach(({ id, pool }) => {
      this.options.log.info('leader is being replaced', { group: this.group.name, instance: id });
      pool.closePresent();
    });
  }

  handleTick(now: Millis): void {
    const ageNow = this.options.ageClock.readNow();
    const views = this.group.listMembers().map((member) => this.createView(member, ageNow));
    this.runActions(this.coordinator.handleTick(views, now));
    this.logAwaited(views);
    this.openRecord.handleTick(this.coordinator.readRecord(), now);
  }

  /** Logs for which instances a takeover waits, once for each change. */
  private logAwaited(views: readonly InstanceView[]): void {
    const awaited = this.coordinator.listAwaited(views).join();
    if (awaited === this.awaited) return;
    this.awaited = awaited;
    this.options.log.info('takeover waits for instances', { group: this.group.name, awaited });
  }

  private createView(member: Member, ageNow: Millis): InstanceView {
    const { instance, probe, isExpired } = member;
    const { position, positionAt } = probe;
    return {
      ...describeIncarnation(member),
      isRegistered: !isExpired,
      leaving: instance.leaving === true,
      mayEndAt: this.group.findEarliestEnd(instance.id),
      reportsPrimary: instance.role === 'primary',
      health: probe.health,
      since: probe.healthSince,
      leads: probe.leads,
      position,
      positionAt,
      lagMs: position && this.group.samples.findLag(position, ageNow),
    };
  }

  private runActions(actions: readonly TakeoverAction[]): void {
    const { log, metrics } = this.options;
    actions.forEach((action) => {
      metrics.takeoverSteps.inc({ action: action.kind });
      log.info('takeover step', { group: this.group.name, ...action });
      this.runAction(action).catch((error: unknown) => {
        log.warn('takeover step failed', {
          ...{ group: this.group.name, action: action.kind, error: String(error) },
        });
      });
    });
  }

  private async runAction(action: TakeoverAction): Promise<void> {
    await match(action)
      .with({ kind: 'read' }, () => this.readRecord())
      .with({ kind: 'refresh' }, async ({ attempt }) => {
        await this.options.refreshInstances();
        this.coordinator.handleRefreshed(attempt);
      })
      .with({ kind: 'write' }, ({ record, expectedVersion }) =>
        this.writeRecord(record, expectedVersion),
      )
      .with({ kind: 'promote' }, ({ instance, token }) => this.promote(instance, token))
      .with({ kind: 'resume' }, async ({ instance }) => {
        const reply = await this.send(instance, { kind: 'resume' });
        if (!reply.failure) this.coordinator.handleResumed(instance);
      })
      .with({ kind: 'pause' }, ({ instance, term }) =>
        this.sendCommand(instance, { kind: 'pause', term }),
      )
      .with({ kind: 'stepDown' }, ({ instance, term }) =>
        this.sendCommand(instance, { kind: 'stepDown', term }),
      )
      .with({ kind: 'status' }, ({ instance }) => this.sendCommand(instance, { kind: 'status' }))
      .exhaustive();
  }

  private async send(instance: string, operation: Operation) {
    const member = this.findMember(instance);
    if (!member) throw new Error('the instance is not registered');
    return member.probe.send(operation, COMMAND_TIMEOUT_MS);
  }

  private findMember(instance: string): Member | undefined {
    return this.group.listMembers().find(({ id }) => id === instance);
  }

  private async sendCommand(instance: string, operation: Operation): Promise<void> {
    const { log, connector } = this.options;
    const startedAt = this.findMember(instance)?.instance.startedAt;
    const askedAt = this.options.clock.readNow();
    const reply = await this.send(instance, operation);
    const report = connector.parseFenceReport(reply);
    const order = operation.kind;
    log.info('fence report', {
      ...{ group: this.group.name, instance, startedAt, order },
      ...report,
      ...reply.failure,
    });
    if (report && startedAt !== undefined) {
      this.coordinator.handleReport(instance, startedAt, report, askedAt);
    }
  }

  private async promote(instance: string, token: number): Promise<void> {
    const { promotions, log } = this.options;
    const answer = await promotions.promote(this.group.name, instance, token);
    log.info('promotion result', { group: this.group.name, instance, token, answer });
    this.coordinator.handlePromotion(token, answer, this.options.clock.readNow());
  }

  /**
   * Reads the group's record.
   *
   * @throws StoreError when the store gives no usable answer.
   */
  async readRecord(): Promise<void> {
    const askedAt = this.options.clock.readNow();
    const { object, era } = await this.options.store.find(PROMOTIONS_KIND, this.group.name);
    this.handleRecordObject(object, era);
    this.handleAnswer(askedAt);
  }

  private async writeRecord(record: PromotionRecord, expectedVersion: number): Promise<void> {
    const { store, log } = this.options;
    const outcome = await store.write(PROMOTIONS_KIND, record.group, record, expectedVersion);
    const { kind, ...version } = outcome;
    log.info('promotion record write', { group: record.group, outcome: kind, ...version });
    if (outcome.kind === 'written') {
      this.applyRecord(record, outcome);
    } else {
      this.runActions(this.coordinator.handleWriteFailure());
    }
  }
}
