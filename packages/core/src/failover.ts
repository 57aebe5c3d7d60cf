import { match } from 'ts-pattern';
import type { Millis } from './clock.js';
import {
  countMajority,
  type DatabaseGroup,
  type GroupRecord,
  type InstanceStatus,
} from './group.js';
import { comparePositions, type LogPosition } from './position.js';

/** A primary that misses probes for this long counts as unreachable. */
export const SUSPECT_AFTER_MS: Millis = 150;
/** The next rank steps in when a failover has not progressed for this long times its rank. */
export const RANK_STAGGER_MS: Millis = 400;
/** No second failover is started within this time of a completed one. */
export const DAMPING_MS: Millis = 1_000;
/** An observation of another VM older than this does not count. */
export const OBSERVATION_TTL_MS: Millis = 1_000;

/** What one VM sees of a group's primary. */
export interface PrimaryObservation {
  readonly vm: string;
  readonly zone: string;
  readonly group: string;
  readonly term: number;
  readonly reachable: boolean;
  readonly observedAt: Millis;
}

/** An instance's answer to a fence request. */
export interface FenceAnswer {
  readonly instance: string;
  readonly term: number;
  readonly granted: boolean;
  readonly durable: LogPosition;
}

/** The outcome of a conditional update. `lost`: it may or may not have taken effect. */
export type WriteOutcome =
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'lost' };

export type FailoverAction =
  | {
      readonly kind: 'writeRecord';
      readonly record: GroupRecord;
      /** 0 creates the record only if it is absent. */
      readonly expectedVersion: number;
    }
  | { readonly kind: 'readRecord'; readonly group: string }
  | { readonly kind: 'fence'; readonly instance: string; readonly term: number }
  | { readonly kind: 'promote'; readonly instance: string; readonly term: number }
  | {
      readonly kind: 'follow';
      readonly instance: string;
      readonly term: number;
      readonly primary: string;
    };

type Step =
  | { readonly kind: 'watching' }
  | { readonly kind: 'claiming'; readonly record: GroupRecord }
  | { readonly kind: 'fencing'; readonly record: GroupRecord }
  | { readonly kind: 'naming'; readonly record: GroupRecord }
  | { readonly kind: 'promoting'; readonly record: GroupRecord };

export interface FailoverOptions {
  readonly vm: string;
  readonly zone: string;
  readonly group: DatabaseGroup;
  /** Creates an id that no other write has. */
  readonly createAttempt: () => string;
}

const WATCHING: Step = { kind: 'watching' };

/**
 * Replaces the primary of one group. Every step is guarded by a conditional update of the
 * group's record or by a fence term, so that a step that comes late, twice or after a pause
 * changes nothing.
 */
export class FailoverCoordinator {
  private record: GroupRecord | undefined;

  private version = 0;

  private recordSeenAt: Millis = 0;

  private rank = 0;

  private step: Step = WATCHING;

  private stepSince: Millis = 0;

  private readonly statuses = new Map<string, InstanceStatus>();

  private readonly heardAt = new Map<string, Millis>();

  private readonly observations = new Map<string, PrimaryObservation>();

  private readonly fences = new Map<string, FenceAnswer>();

  constructor(private readonly options: FailoverOptions) {}

  /** Position of this VM among the watchers of the group; 0 acts first. */
  updateRank(rank: number): void {
    this.rank = rank;
  }

  /** Takes in the group's record as the platform or a peer gives it. */
  handleRecord(
    record: GroupRecord | undefined,
    version: number,
    now: Millis,
  ): readonly FailoverAction[] {
    if (version < this.version) return [];
    const changed = version > this.version;
    this.version = version;
    this.record = record;
    if (changed) this.recordSeenAt = now;
    return this.settleWrite(now);
  }

  handleStatus(status: InstanceStatus, now: Millis): readonly FailoverAction[] {
    this.statuses.set(status.instance, status);
    this.heardAt.set(status.instance, now);
    if (this.step.kind === 'promoting' && this.leads(status)) this.updateStep(WATCHING, now);
    return this.followPrimary(status);
  }

  handleObservation(observation: PrimaryObservation): void {
    this.observations.set(observation.vm, observation);
  }

  handleFence(answer: FenceAnswer, now: Millis): readonly FailoverAction[] {
    const { step } = this;
    if (step.kind !== 'fencing' || answer.term !== step.record.term || !answer.granted) return [];
    this.fences.set(answer.instance, answer);
    if (this.fences.size < countMajority(this.options.group.instances.length)) return [];
    return this.nameCandidate(step.record, now);
  }

  handleWrite(outcome: WriteOutcome, now: Millis): readonly FailoverAction[] {
    const { step } = this;
    if (step.kind !== 'claiming' && step.kind !== 'naming') return [];
    return match(outcome)
      .with({ kind: 'written' }, ({ version }) => this.handleRecord(step.record, version, now))
      .otherwise(() => [{ kind: 'readRecord', group: this.options.group.name } as const]);
  }

  /** What this VM sees of the primary, for its peers. */
  findObservation(now: Millis): PrimaryObservation | undefined {
    const { record, options } = this;
    if (!record?.primary || record.phase !== 'named') return undefined;
    const { vm, zone, group } = options;
    const reachable = this.isReachable(record, now);
    return { vm, zone, group: group.name, term: record.term, reachable, observedAt: now };
  }

  handleTick(now: Millis): readonly FailoverAction[] {
    if (this.step.kind !== 'watching') return this.repeatStep(now);
    return this.isDue(now) ? this.claimTerm(now) : [];
  }

  private leads(status: InstanceStatus): boolean {
    const { record } = this;
    return (
      record?.primary === status.instance &&
      status.role === 'primary' &&
      status.durable.term === record.term
    );
  }

  private updateStep(step: Step, now: Millis): void {
    this.step = step;
    this.stepSince = now;
  }

  private isReachable(record: GroupRecord, now: Millis): boolean {
    const heardAt = record.primary ? this.heardAt.get(record.primary) : undefined;
    return heardAt !== undefined && now - heardAt < SUSPECT_AFTER_MS;
  }

  private isDue(now: Millis): boolean {
    const { record } = this;
    const idle = now - this.recordSeenAt;
    const stagger = this.rank * RANK_STAGGER_MS;
    if (!record) return idle >= stagger;
    if (record.phase === 'fencing') return idle >= RANK_STAGGER_MS + stagger;
    if (this.isReachable(record, now)) return this.isStuckPromotion(record, idle, stagger);
    const heardAt = this.heardAt.get(record.primary ?? '') ?? this.recordSeenAt;
    const silent = now - heardAt >= SUSPECT_AFTER_MS + stagger;
    return silent && idle >= DAMPING_MS && this.hasZonesAgreed(record, now);
  }

  /** The named instance answers, but nobody promoted it. */
  private isStuckPromotion(record: GroupRecord, idle: Millis, stagger: Millis): boolean {
    const status = this.statuses.get(record.primary ?? '');
    const behind = status !== undefined && status.durable.term < record.term;
    return behind && idle >= DAMPING_MS + stagger;
  }

  private hasZonesAgreed(record: GroupRecord, now: Millis): boolean {
    const votes = new Map<string, boolean>([[this.options.zone, false]]);
    for (const { term, reachable, observedAt, zone } of this.observations.values()) {
      if (term !== record.term || now - observedAt > OBSERVATION_TTL_MS) continue;
      votes.set(zone, reachable || votes.get(zone) === true);
    }
    const reaching = [...votes.values()].filter(Boolean).length;
    return reaching * 2 < votes.size;
  }

  private claimTerm(now: Millis): readonly FailoverAction[] {
    const { vm, group, createAttempt } = this.options;
    const record: GroupRecord = {
      group: group.name,
      term: (this.record?.term ?? 0) + 1,
      phase: 'fencing',
      primary: null,
      attempt: createAttempt(),
      writer: vm,
    };
    this.fences.clear();
    this.updateStep({ kind: 'claiming', record }, now);
    return [{ kind: 'writeRecord', record, expectedVersion: this.version }];
  }

  /** Compares the record in the platform with the write in progress. */
  private settleWrite(now: Millis): readonly FailoverAction[] {
    const { step, record } = this;
    if (step.kind === 'watching') return [];
    if (record?.attempt !== step.record.attempt || record.phase !== step.record.phase) {
      if (record && record.term >= step.record.term) this.updateStep(WATCHING, now);
      return [];
    }
    if (step.kind === 'claiming') {
      this.updateStep({ kind: 'fencing', record }, now);
      return this.fenceAll(record);
    }
    if (step.kind === 'naming') {
      this.updateStep({ kind: 'promoting', record }, now);
      return this.promote(record);
    }
    return [];
  }

  private fenceAll({ term }: GroupRecord): readonly FailoverAction[] {
    return this.options.group.instances
      .filter(({ id }) => !this.fences.has(id))
      .map(({ id }) => ({ kind: 'fence', instance: id, term }));
  }

  private nameCandidate(claimed: GroupRecord, now: Millis): readonly FailoverAction[] {
    const best = [...this.fences.values()].reduce((a, b) => {
      const order = comparePositions(a.durable, b.durable) || b.instance.localeCompare(a.instance);
      return order >= 0 ? a : b;
    });
    const record: GroupRecord = { ...claimed, phase: 'named', primary: best.instance };
    this.updateStep({ kind: 'naming', record }, now);
    return [{ kind: 'writeRecord', record, expectedVersion: this.version }];
  }

  private promote({ primary, term }: GroupRecord): readonly FailoverAction[] {
    return primary ? [{ kind: 'promote', instance: primary, term }] : [];
  }

  /** Sends a step again that has had no answer for a while, and gives up after several times. */
  private repeatStep(now: Millis): readonly FailoverAction[] {
    const waited = now - this.stepSince;
    if (waited < RANK_STAGGER_MS) return [];
    const { step } = this;
    this.stepSince = now;
    return match(step)
      .with({ kind: 'fencing' }, ({ record }) => this.fenceAll(record))
      .with({ kind: 'promoting' }, ({ record }) => {
        if (now - this.recordSeenAt >= DAMPING_MS) this.updateStep(WATCHING, now);
        return this.promote(record);
      })
      .with({ kind: 'watching' }, () => [])
      .otherwise(() => [{ kind: 'readRecord', group: this.options.group.name } as const]);
  }

  private followPrimary(status: InstanceStatus): readonly FailoverAction[] {
    const { record } = this;
    if (record?.phase !== 'named' || !record.primary || this.rank !== 0) return [];
    if (status.instance === record.primary) return [];
    const primary = this.statuses.get(record.primary);
    if (!primary || !this.leads(primary)) return [];
    const follows = status.following === record.primary && status.fenceTerm >= record.term;
    if (follows && status.role === 'replica') return [];
    const { term } = record;
    return [{ kind: 'follow', instance: status.instance, term, primary: record.primary }];
  }
}
