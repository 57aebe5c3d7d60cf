import type {
  FailoverActions,
  FailoverAction,
  FailoverOptions,
  FenceAnswer,
  FailoverStep,
  WriteAction,
  WriteOutcome,
} from './failovertypes.js';
import { Backoff } from './backoff.js';
import type { Millis } from './clock.js';
import { FollowerDirector, isLeading } from './follower.js';
import type { GroupRecord, InstanceStatus } from './group.js';
import { PrimaryMonitor, type PrimaryObservation, UNREACHABLE_AFTER_MS } from './primarymonitor.js';
import { RepeatLimiter } from './repeatlimiter.js';
import { FenceQuorum } from './fencequorum.js';

/** The next rank steps in when a failover has not progressed for this long times its rank. */
export const RANK_STAGGER_MS: Millis = 250;
/** A primary that has led is not replaced within this time of its naming. */
export const COOLDOWN_MS: Millis = 1_000;
/** Time for the other instances to grant a fence before the suspected primary counts again. */
const PREFER_OTHERS_MS: Millis = 100;
/** A step that has not finished after this time is left to the rules for a lost primary. */
const STEP_TIMEOUT_MS: Millis = 1_000;

const WATCHING: FailoverStep = { kind: 'watching' };

/**
 * Replaces the primary of one group. Every step is guarded by a conditional update of the
 * group's record or by a fence term, so that a step that comes late, twice or after a pause
 * changes nothing. docs/failover.md has the argument.
 */
export class FailoverCoordinator {
  protected record: GroupRecord | undefined;

  protected version = 0;

  private readonly monitor: PrimaryMonitor;

  private readonly repeats = new RepeatLimiter();

  private readonly followers = new FollowerDirector();

  private readonly backoff: Backoff;

  private readonly readBackoff: Backoff;

  private recordSeenAt: Millis = 0;

  /** False until the platform or a peer has told whether there is a record. */
  private isKnown = false;

  /** The record's primary has been seen leading in the record's term. */
  private hasLed = false;

  /** Since when most zones have agreed that the primary is lost. */
  private agreedAt: Millis | undefined;

  private suspect: string | null = null;

  private rank = 0;

  private step: FailoverStep = WATCHING;

  private stepSince: Millis = 0;

  constructor(
    protected readonly options: FailoverOptions,
    private readonly tally: FenceQuorum = new FenceQuorum(options),
  ) {
    this.monitor = new PrimaryMonitor(options);
    this.backoff = new Backoff(options.random);
    this.readBackoff = new Backoff(options.random);
  }

  /** This VM's place among the watchers of the group (0 acts first) and the zones that vote. */
  updateWatchers(rank: number, zones: readonly string[]): void {
    this.rank = rank;
    this.monitor.updateZones(zones);
  }

  /** Takes in the group's record, or its absence (version 0), from the platform or a peer. */
  handleRecord(record: GroupRecord | undefined, version: number, now: Millis): FailoverActions {
    if (version < this.version) return [];
    const changed = version > this.version || !this.isKnown;
    this.isKnown = true;
    if (!changed) return [];
    this.readBackoff.reset();
    this.version = version;
    this.record = record;
    this.recordSeenAt = now;
    this.hasLed = false;
    this.agreedAt = undefined;
    this.followers.reset();
    return this.settleStep(now);
  }

  handleStatus(status: InstanceStatus, now: Millis): FailoverActions {
    if (!this.monitor.updateStatus(status, now)) return [];
    const { record } = this;
    if (status.fenceTerm > (record?.term ?? 0)) return this.readRecord(now);
    if (status.instance !== record?.primary) {
      const primary = this.monitor.findStatus(record?.primary ?? '');
      if (!record || !primary || !isLeading(primary, record)) return [];
      return this.followers.handleStatus(status, record, this.rank * RANK_STAGGER_MS, now);
    }
    if (!isLeading(status, record)) return [];
    this.hasLed = true;
    this.backoff.reset();
    if (this.step.kind === 'promoting') this.updateStep(WATCHING, now);
    return [];
  }

  handleObservation(observation: PrimaryObservation, now: Millis): void {
    this.monitor.updateObservation(observation, now);
  }

  handleFence(answer: FenceAnswer, now: Millis): FailoverActions {
    const { step } = this;
    if (step.kind !== 'fencing' || answer.term !== step.record.term) return [];
    this.tally.add(answer);
    if (answer.granted) return this.nameCandidate(step.record, now);
    // Answers were lost after the grant, or the instances know a later term.
    if (!this.tally.isUnattainable()) return [];
    this.updateStep(WATCHING, now);
    return [...this.readRecord(now), ...(this.backoff.isDue(now) ? this.claimTerm(now) : [])];
  }

  /** Takes in the outcome of `write`, at any time after it was requested. */
  handleWrite(write: WriteAction, outcome: WriteOutcome, now: Millis): FailoverActions {
    if (outcome.kind === 'written') return this.handleRecord(write.record, outcome.version, now);
    const { step } = this;
    return 'write' in step && step.write.record === write.record ? [this.createRead()] : [];
  }

  /** Takes in the answer to a promotion; the others need not wait for a probe to follow. */
  handlePromotion(instance: string, term: number, done: boolean, now: Millis): FailoverActions {
    const { record, options } = this;
    const isNamed = record?.phase === 'named' && record.primary === instance;
    if (!isNamed || record.term !== term) return [];
    if (!done) return this.readRecord(now);
    if (this.step.kind === 'promoting') this.updateStep(WATCHING, now);
    return options.group.instances
      .filter(({ id }) => id !== instance)
      .flatMap(({ id }) => this.followers.follow(id, record, now));
  }

  /** What this VM sees of the primary, for its peers. */
  findObservation(now: Millis): PrimaryObservation | undefined {
    return this.record && this.monitor.findObservation(this.record, this.options.vm, now);
  }

  handleTick(now: Millis): FailoverActions {
    this.monitor.handleTick(now);
    if (!this.isKnown) return this.readRecord(now);
    if (this.step.kind !== 'watching') return this.repeatStep(now);
    if (this.isDue(now)) return this.backoff.isDue(now) ? this.claimTerm(now) : [];
    return this.promoteStuck(now);
  }

  private updateStep(step: FailoverStep, now: Millis): void {
    this.step = step;
    this.stepSince = now;
  }

  private isDue(now: Millis): boolean {
    const { record, monitor } = this;
    const idle = now - this.recordSeenAt;
    const stagger = this.rank * RANK_STAGGER_MS;
    if (!monitor.hasMajority(now)) return false;
    if (!record) return idle >= stagger;
    if (record.phase === 'fencing') return idle >= RANK_STAGGER_MS + stagger;
    if (idle < (this.hasLed ? COOLDOWN_MS : RANK_STAGGER_MS + stagger)) return false;
    const primary = record.primary ?? '';
    const isReachable = monitor.isReachable(primary, now);
    const status = monitor.findStatus(primary);
    if (isReachable && status && !isLeading(status, record)) return idle >= COOLDOWN_MS + stagger;
    const silence = monitor.computeSilence(primary, this.recordSeenAt, now);
    const isLost = isReachable || silence >= UNREACHABLE_AFTER_MS;
    if (!isLost || !monitor.isLostForMostZones(record, now)) this.agreedAt = undefined;
    else this.agreedAt ??= now;
    return this.agreedAt !== undefined && now - this.agreedAt >= stagger;
  }

  /** Finishes the failover of a VM that was lost between naming and promotion. */
  private promoteStuck(now: Millis): FailoverActions {
    const { record } = this;
    if (record?.phase !== 'named' || now - this.recordSeenAt < this.rank * RANK_STAGGER_MS) {
      return [];
    }
    const status = this.monitor.findStatus(record.primary ?? '');
    if (!status || status.role === 'primary' || status.fenceTerm !== record.term) return [];
    return this.repeats.isDue('promote', now) ? this.promote(record) : [];
  }

  private claimTerm(now: Millis): FailoverActions {
    const { vm, group, createAttempt } = this.options;
    // An instance refuses a fence at or below the term that it has granted.
    const term = Math.max(this.record?.term ?? 0, this.monitor.findFenceTerm()) + 1;
    const record: GroupRecord = {
      group: group.name,
      term,
      phase: 'fencing',
      primary: null,
      attempt: createAttempt(),
      writer: vm,
    };
    this.suspect = this.record?.primary ?? this.suspect;
    this.tally.reset();
    return this.write('claiming', record, now);
  }

  private write(kind: 'claiming' | 'naming', record: GroupRecord, now: Millis): FailoverActions {
    const write: WriteAction = { kind: 'writeRecord', record, expectedVersion: this.version };
    this.backoff.schedule(now);
    this.updateStep({ kind, write }, now);
    return [write];
  }

  /** Compares a changed record with the step in progress; any other writer's change ends it. */
  private settleStep(now: Millis): FailoverActions {
    const { step, record } = this;
    if (step.kind === 'watching') return [];
    const own = 'write' in step ? step.write.record : step.record;
    if (!record || record.attempt !== own.attempt || record.phase !== own.phase) {
      this.updateStep(WATCHING, now);
      return [];
    }
    if (step.kind === 'claiming') {
      this.updateStep({ kind: 'fencing', record }, now);
      return this.fenceAll(record);
    }
    if (step.kind !== 'naming') return [];
    this.updateStep({ kind: 'promoting', record }, now);
    this.repeats.isDue('promote', now);
    return this.promote(record);
  }

  private fenceAll({ term }: GroupRecord): FailoverActions {
    return this.tally.listMissing().map((instance) => ({ kind: 'fence', instance, term }));
  }

  /**
   * Leaves the suspected primary out at first: its log may be longest by entries that nobody
   * acknowledged, and naming it again would not help the zones that cannot reach it.
   */
  private nameCandidate(claimed: GroupRecord, now: Millis): FailoverActions {
    const isEarly = now - this.stepSince < PREFER_OTHERS_MS;
    const primary = this.tally.findCandidate(isEarly ? this.suspect : null);
    if (!primary) return [];
    return this.write('naming', { ...claimed, phase: 'named', primary }, now);
  }

  private promote({ primary, term }: GroupRecord): FailoverActions {
    return primary ? [{ kind: 'promote', instance: primary, term }] : [];
  }

  private createRead(): FailoverAction {
    return { kind: 'readRecord', group: this.options.group.name };
  }

  private readRecord(now: Millis): FailoverActions {
    if (!this.readBackoff.isDue(now)) return [];
    this.readBackoff.schedule(now);
    return [this.createRead()];
  }

  /** Sends a step again that has had no answer for a while, and gives up in the end. */
  private repeatStep(now: Millis): FailoverActions {
    const { step } = this;
    if ('write' in step) return this.repeatWrite(step, now);
    if (step.kind === 'watching') return [];
    if (now - this.stepSince >= STEP_TIMEOUT_MS) {
      this.updateStep(WATCHING, now);
      return [];
    }
    if (step.kind === 'promoting') {
      // The candidate may be lost as well; the rules for a lost primary then start again.
      if (this.isDue(now)) this.updateStep(WATCHING, now);
      return this.repeats.isDue('promote', now) ? this.promote(step.record) : [];
    }
    const named = this.nameCandidate(step.record, now);
    if (named.length > 0) return named;
    return this.repeats.isDue('fence', now) ? this.fenceAll(step.record) : [];
  }

  /** The same conditional write may be sent any number of times: it takes effect once at most. */
  private repeatWrite(
    step: FailoverStep & { readonly write: WriteAction },
    now: Millis,
  ): FailoverActions {
    if (!this.backoff.isDue(now)) return [];
    if (step.kind === 'claiming' && !this.isDue(now)) {
      // The primary has come back while the platform was down.
      this.updateStep(WATCHING, now);
      return [this.createRead()];
    }
    this.backoff.schedule(now);
    return [step.write];
  }
}
