import type {
  FailoverActions,
  FailoverAction,
  FailoverOptions,
  FenceAnswer,
  FailoverStep,
  WriteAction,
  WriteOutcome,
} from './failovertypes.js';
import { Backoff } from '../admission/backoff.js';
import type { Millis } from '../clock.js';
import { FollowerDirector, isLeading } from '../configuration/follower.js';
import type { GroupRecord, InstanceStatus } from '../group.js';
import { isCounted } from './incarnations.js';
import { FailoverTrigger } from './failovertrigger.js';
import { PrimaryMonitor, type PrimaryObservation } from './primarymonitor.js';
import { RejoinTracker } from './rejoin.js';
import { RepeatLimiter } from '../configuration/repeatlimiter.js';
import { FenceQuorum } from './fencequorum.js';
import { decodeStoreVersion } from '../configuration/storeversion.js';

/** For this long after the start of fencing, the suspected primary is no candidate. */
const PREFER_OTHERS_MS: Millis = 100;
/** An unfinished fencing or promotion is abandoned after this time and detection starts over. */
const STEP_TIMEOUT_MS: Millis = 1_000;

const WATCHING: FailoverStep = { kind: 'watching' };

/**
 * Fails one group over to a new primary. Every step is guarded by a conditional update of the
 * group's record or by a fence term, so that a step that arrives late, twice or after a process
 * pause has no effect. docs/failover.md explains why this is safe.
 */
export class FailoverCoordinator {
  private record: GroupRecord | undefined;

  private version = 0;

  /** The newest record seen, also after the platform has lost it. */
  private lastRecord: GroupRecord | undefined;

  private readonly monitor: PrimaryMonitor;

  private readonly trigger: FailoverTrigger;

  private readonly repeatLimiter = new RepeatLimiter();

  private readonly followers = new FollowerDirector();

  private readonly backoff: Backoff;

  private readonly readBackoff: Backoff;

  /** False until the platform or a peer has reported whether a record exists. */
  private isKnown = false;

  private suspectedPrimary: string | null = null;

  private step: FailoverStep = WATCHING;

  private stepSince: Millis = 0;

  constructor(
    private readonly options: FailoverOptions,
    private readonly quorum: FenceQuorum = new FenceQuorum(options),
    private readonly rejoins: RejoinTracker = new RejoinTracker(options),
  ) {
    this.monitor = new PrimaryMonitor(options);
    this.trigger = new FailoverTrigger(this.monitor, rejoins);
    this.backoff = new Backoff(options.random);
    this.readBackoff = new Backoff(options.random);
  }

  /** Sets this VM's rank among the watchers of the group (0 acts first) and the voting zones. */
  updateWatchers(rank: number, zones: readonly string[]): void {
    this.trigger.updateRank(rank);
    this.monitor.updateZones(zones);
  }

  /**
   * Handles the group's record, or its absence, from the platform or a peer.
   *
   * @param version encoded store version; its revision is 0 when the record is absent
   */
  handleRecord(record: GroupRecord | undefined, version: number, now: Millis): FailoverActions {
    if (version < this.version) return [];
    const changed = version > this.version || !this.isKnown;
    this.isKnown = true;
    if (!changed) return [];
    const { record: known, version: knownVersion } = this;
    this.readBackoff.reset();
    this.rejoins.handleRecord(record, now);
    this.version = version;
    this.record = record;
    this.lastRecord = record ?? this.lastRecord;
    this.trigger.handleRecord(record, now);
    this.followers.reset();
    const actions = this.advanceStep(now);
    const isNewEra = decodeStoreVersion(version).era > decodeStoreVersion(knownVersion).era;
    return isNewEra && known ? [...actions, ...this.rewriteLost(known, record)] : actions;
  }

  handleStatus(status: InstanceStatus, now: Millis): FailoverActions {
    if (!this.monitor.updateStatus(status, now)) return [];
    this.rejoins.handleStatus(status, now);
    const { record } = this;
    if (status.fenceTerm > (record?.term ?? 0)) return this.readRecord(now);
    if (status.instance !== record?.primary) {
      const primary = this.monitor.findStatus(record?.primary ?? '');
      if (!record || !primary || !isLeading(primary, record)) return [];
      return this.followers.handleStatus(status, record, this.trigger.computeStagger(), now);
    }
    if (!isLeading(status, record)) return [];
    this.trigger.handleLeading();
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
    this.quorum.add(answer);
    if (answer.granted) return this.nameCandidate(step.record, now);
    // Answers that carried a grant were lost, or the instances know a later term.
    if (!this.quorum.isUnattainable()) return [];
    this.updateStep(WATCHING, now);
    return [...this.readRecord(now), ...(this.backoff.isDue(now) ? this.claimTerm(now) : [])];
  }

  /** Handles the outcome of `write`, which may arrive at any time after the request. */
  handleWrite(write: WriteAction, outcome: WriteOutcome, now: Millis): FailoverActions {
    if (outcome.kind === 'written') return this.handleRecord(write.record, outcome.version, now);
    const { step } = this;
    return 'write' in step && step.write.record === write.record ? [this.createRead()] : [];
  }

  /** Handles the answer to a promotion; the other instances are ordered to follow at once. */
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

  /** Returns this VM's view of the primary, for its peers. */
  findObservation(now: Millis): PrimaryObservation | undefined {
    return this.record && this.monitor.findObservation(this.record, this.options.vm, now);
  }

  handleTick(now: Millis): FailoverActions {
    this.monitor.handleTick(now);
    if (!this.isKnown) return this.readRecord(now);
    if (this.step.kind !== 'watching') return this.repeatStep(now);
    if (this.trigger.isDue(now)) return this.backoff.isDue(now) ? this.claimTerm(now) : [];
    return [...this.resumePromotion(now), ...this.recordRejoined(now)];
  }

  private updateStep(step: FailoverStep, now: Millis): void {
    this.step = step;
    this.stepSince = now;
  }

  /** Completes a failover whose VM failed between naming and promotion. */
  private resumePromotion(now: Millis): FailoverActions {
    const { record } = this;
    if (record?.phase !== 'named' || !this.trigger.isTurn(now)) return [];
    const status = this.monitor.findStatus(record.primary ?? '');
    if (!status || status.role === 'primary' || status.fenceTerm !== record.term) return [];
    if (!isCounted(record.incarnations, status)) return [];
    return this.repeatLimiter.isDue('promote', now) ? this.promote(record) : [];
  }

  /** Lists an instance that came back without its data in the record, once it has caught up. */
  private recordRejoined(now: Millis): FailoverActions {
    const { record, version: expectedVersion } = this;
    if (!record || !this.trigger.isTurn(now)) return [];
    const updated = this.rejoins.findUpdate(record, now);
    return updated ? [{ kind: 'writeRecord', record: updated, expectedVersion }] : [];
  }

  private claimTerm(now: Millis): FailoverActions {
    const { vm, group, createAttempt } = this.options;
    const known = this.record ?? this.lastRecord;
    const incarnations = this.rejoins.restoreListed(known?.incarnations);
    // An instance refuses a fence at or below the term that it has granted.
    const term = Math.max(this.record?.term ?? 0, this.monitor.findFenceTerm()) + 1;
    const record: GroupRecord = {
      group: group.name,
      term,
      phase: 'fencing',
      primary: null,
      attempt: createAttempt(),
      writer: vm,
      ...(incarnations && { incarnations }),
    };
    this.suspectedPrimary = this.record?.primary ?? this.suspectedPrimary;
    this.quorum.reset(incarnations);
    return this.write('claiming', record, now);
  }

  /**
   * Writes a record again that a platform restored from an older copy has lost. A majority of the
   * instances has granted its term, so no other attempt of that term can name a primary.
   */
  private rewriteLost(lost: GroupRecord, found: GroupRecord | undefined): FailoverActions {
    if (lost.phase !== 'named' || (found?.term ?? 0) >= lost.term) return [];
    const { vm: writer, createAttempt } = this.options;
    const record: GroupRecord = { ...lost, attempt: createAttempt(), writer };
    return [{ kind: 'writeRecord', record, expectedVersion: this.version }];
  }

  private write(kind: 'claiming' | 'naming', record: GroupRecord, now: Millis): FailoverActions {
    const write: WriteAction = { kind: 'writeRecord', record, expectedVersion: this.version };
    this.backoff.schedule(now);
    this.updateStep({ kind, write }, now);
    return [write];
  }

  /** Advances the step that wrote the changed record; another writer's change ends the step. */
  private advanceStep(now: Millis): FailoverActions {
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
    this.repeatLimiter.isDue('promote', now);
    return this.promote(record);
  }

  private fenceAll({ term }: GroupRecord): FailoverActions {
    return this.quorum.listMissing().map((instance) => ({ kind: 'fence', instance, term }));
  }

  /**
   * Excludes the suspected primary at first: its log may be the longest only because of entries
   * that were never acknowledged, and zones that cannot reach it gain nothing if it is named again.
   */
  private nameCandidate(claimed: GroupRecord, now: Millis): FailoverActions {
    const isEarly = now - this.stepSince < PREFER_OTHERS_MS;
    const primary = this.quorum.findCandidate(isEarly ? this.suspectedPrimary : null);
    if (!primary) return [];
    return this.write('naming', { ...claimed, phase: 'named', primary }, now);
  }

  private promote({ primary, term, incarnations }: GroupRecord): FailoverActions {
    if (!primary) return [];
    const incarnation = incarnations?.[primary];
    return [{ kind: 'promote', instance: primary, term, ...(incarnation && { incarnation }) }];
  }

  private createRead(): FailoverAction {
    return { kind: 'readRecord', group: this.options.group.name };
  }

  private readRecord(now: Millis): FailoverActions {
    if (!this.readBackoff.isDue(now)) return [];
    this.readBackoff.schedule(now);
    return [this.createRead()];
  }

  /** Resends the request of a step that has had no answer, and abandons the step in the end. */
  private repeatStep(now: Millis): FailoverActions {
    const { step } = this;
    if ('write' in step) return this.repeatWrite(step, now);
    if (step.kind === 'watching') return [];
    if (now - this.stepSince >= STEP_TIMEOUT_MS) {
      this.updateStep(WATCHING, now);
      return [];
    }
    if (step.kind === 'promoting') {
      // The candidate may have failed as well; detection then starts over.
      if (this.trigger.isDue(now)) this.updateStep(WATCHING, now);
      return this.repeatLimiter.isDue('promote', now) ? this.promote(step.record) : [];
    }
    const named = this.nameCandidate(step.record, now);
    if (named.length > 0) return named;
    return this.repeatLimiter.isDue('fence', now) ? this.fenceAll(step.record) : [];
  }

  /** Resends a conditional write, which takes effect at most once. */
  private repeatWrite(
    step: FailoverStep & { readonly write: WriteAction },
    now: Millis,
  ): FailoverActions {
    if (!this.backoff.isDue(now)) return [];
    if (step.kind === 'claiming' && !this.trigger.isDue(now)) {
      // The primary recovered while the platform was unreachable.
      this.updateStep(WATCHING, now);
      return [this.createRead()];
    }
    this.backoff.schedule(now);
    return [step.write];
  }
}
