import {
  type AcknowledgedCommit,
  type Clock,
  CommitGate,
  type CommitVerdict,
  type ConnectionTrace,
  formatPosition,
  isDurable,
  type Millis,
} from '@shallotpick/core';
import type { InstanceConnector } from './connection.js';
import { UnconfirmedCommitError } from './errors.js';
import type { Log } from './log.js';
import type { Member } from './member.js';
import type { Metrics } from './metrics.js';
import type { Command, Reply } from './statement.js';

/** Gap between two looks at the commits that wait. */
const POLL_MS: Millis = 8;
const STATUS_TIMEOUT_MS: Millis = 250;
/** One replica is asked first, the others when it has not proved the commit by then. */
const ASK_ALL_AFTER_MS: Millis = 12;
/** The record is read when replicas that may prove a commit have not done so by then. */
const READ_AFTER_MS: Millis = 60;
/** Gap between two reads of the record. */
const READ_GAP_MS: Millis = 30;
/** The same after a read has failed. */
const FAILED_READ_GAP_MS: Millis = 250;
/** A threatened commit waits for the record no longer than this. */
const THREAT_LIMIT_MS: Millis = 150;
/** How long no work is sent to a leader after an instance has told of its takeover. */
const DOUBT_MS: Millis = 250;

/** A commit that waits for its proof. */
interface WaitingCommit {
  readonly commit: AcknowledgedCommit;
  readonly deadline: Millis;
  readonly resolve: () => void;
  readonly reject: (error: Error) => void;
}

/** Services of a group's commit confirmation. */
export interface CommitConfirmationOptions {
  /** Name of the group. */
  readonly group: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly connector: InstanceConnector;
  /** False for a group whose leader acknowledges commits that no replica has received. */
  readonly hasSynchronousReplica: () => boolean;
  /** Members that count for decisions. */
  readonly listMembers: () => readonly Member[];
  /** Reads the group's promotion record; `handleSettledRecord` is told if no claim is open. */
  readonly readRecord: () => Promise<void>;
}

/**
 * Holds the commits that the leader of a group has acknowledged until it is proved that no takeover
 * can lose them: asks replicas, and reads the promotion record when they don't suffice. A commit that
 * nothing proves ends with an unknown outcome.
 */
export class CommitConfirmation {
  private readonly gate = new CommitGate();

  private readonly waiting = new Set<WaitingCommit>();

  /** Instances that are being asked for their status. */
  private readonly asked = new Set<string>();

  private timer: NodeJS.Timeout | undefined;

  /** When the last read was sent that has ended. */
  private endedReadSentAt: Millis = Number.NEGATIVE_INFINITY;

  /** When the record may be read again; infinite during a read. */
  private mayReadAt: Millis = Number.NEGATIVE_INFINITY;

  private doubtedUntil: Millis = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: CommitConfirmationOptions) {}

  /** True for a short while after an instance has told of a takeover that may lose commits. */
  isLeaderDoubted(now: Millis): boolean {
    return now < this.doubtedUntil;
  }

  /**
   * Waits until a commit is proved to be durable.
   *
   * @throws UnconfirmedCommitError when a takeover may lose it, or nothing proves it in time.
   */
  async confirm(commit: AcknowledgedCommit, timeoutMs: Millis): Promise<void> {
    if (!this.options.hasSynchronousReplica()) return;
    const now = this.options.clock.readNow();
    const verdict = this.gate.decide(commit, now);
    if (isDurable(verdict)) {
      this.options.metrics.commits.inc({ verdict });
      return;
    }
    await new Promise<void>((resolve, reject) => {
      this.waiting.add({ commit, deadline: now + timeoutMs, resolve, reject });
      this.handleWaiting();
    });
  }

  /** Ends the waits: nothing proves the commits in time. */
  stop(): void {
    clearTimeout(this.timer);
    const now = this.options.clock.readNow();
    this.waiting.forEach((one) => this.end(one, this.gate.decide(one.commit, now)));
  }

  /** Notes that a request sent at `readAt` has found no claim open, but this settled one. */
  handleSettledRecord(claim: string, readAt: Millis): void {
    this.gate.handleSettledRecord(claim, readAt, this.options.clock.readNow());
    this.decideAll();
  }

  /** Notes what a reply of an instance tells; `sentAt` is when its request was sent. */
  handleReply(
    instance: string,
    connection: ConnectionTrace,
    command: Command,
    reply: Reply,
    sentAt: Millis,
  ): void {
    const { operation } = command;
    const { position, failure } = reply;
    const isPlainBegin = operation.kind === 'begin' && !operation.isReadOnly;
    const provesLead = !failure && (isPlainBegin || operation.kind === 'write');
    const receivedAt = this.options.clock.readNow();
    this.gate.handleAnswer(instance, connection, { position, sentAt, receivedAt, provesLead });
    const isReport = ['status', 'pause', 'stepDown'].includes(operation.kind);
    const report = isReport ? this.options.connector.parseFenceReport(reply) : undefined;
    if (report) this.gate.handleReport(instance, connection, report, sentAt);
    this.decideAll();
  }

  /** Follows the replies of the group's present instances. */
  handleTick(): void {
    this.gate.updateInstances(this.options.listMembers().map(({ id }) => id));
  }

  /** Has the waiting commits proved, and looks at them again soon. */
  private handleWaiting(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.handleTick();
    this.decideAll();
    if (this.waiting.size === 0) return;
    this.timer = setTimeout(() => this.handleWaiting(), POLL_MS);
    const now = this.options.clock.readNow();
    [...this.waiting].forEach(({ commit }) => this.requestProof(commit, now));
  }

  private decideAll(): void {
    const now = this.options.clock.readNow();
    this.waiting.forEach((one) => {
      const verdict = this.gate.decide(one.commit, now);
      if (isDurable(verdict) || now >= one.deadline || this.isLost(one, verdict, now)) {
        this.end(one, verdict);
      }
    });
  }

  /** True for a threatened commit that the record does not prove either. */
  private isLost({ commit }: WaitingCommit, verdict: CommitVerdict, now: Millis): boolean {
    if (verdict !== 'threatened') return false;
    const { acknowledgedAt } = commit;
    return this.endedReadSentAt >= acknowledgedAt || now - acknowledgedAt >= THREAT_LIMIT_MS;
  }

  private end(one: WaitingCommit, verdict: CommitVerdict): void {
    const { clock, log, metrics, group } = this.options;
    const { commit } = one;
    this.waiting.delete(one);
    metrics.commits.inc({ verdict });
    if (isDurable(verdict)) {
      one.resolve();
      return;
    }
    const now = clock.readNow();
    if (verdict === 'threatened') this.doubtedUntil = now + DOUBT_MS;
    const position = commit.position ? formatPosition(commit.position) : undefined;
    const waitedMs = Math.round(now - commit.acknowledgedAt);
    log.warn('commit not handed on', {
      ...{ group, leader: commit.leader, position, verdict, waitedMs },
      evidence: this.gate.describe(now),
    });
    one.reject(new UnconfirmedCommitError(`a takeover may lose the commit (${verdict})`));
  }

  /** Asks for what may prove a commit. */
  private requestProof(commit: AcknowledgedCommit, now: Millis): void {
    const { gate } = this;
    const members = new Map(this.options.listMembers().map((member) => [member.id, member]));
    const isAnswering = (id: string): boolean => members.get(id)?.probe.isAnswering() === true;
    const waitedMs = now - commit.acknowledgedAt;
    const witnesses = gate.listWitnesses(commit, (id) => members.get(id)?.probe.answeredAt ?? 0);
    const isOneEnough = waitedMs < ASK_ALL_AFTER_MS && gate.mayOneProve(commit, now);
    const due = isOneEnough ? witnesses.slice(0, 1) : witnesses;
    due.forEach((id) => this.askStatus(members.get(id)));
    const isThreatened = gate.decide(commit, now) === 'threatened';
    const isHopeful = !isThreatened && gate.canReplicasProve(commit, isAnswering, now);
    if (!isHopeful || waitedMs >= READ_AFTER_MS) this.readRecord(now);
  }

  private askStatus(member: Member | undefined): void {
    if (!member || this.asked.has(member.id)) return;
    const { id, probe } = member;
    this.asked.add(id);
    this.options.metrics.proofRequests.inc();
    const isPreferred = (connection: ConnectionTrace): boolean =>
      this.gate.isFollowed(id, connection);
    probe
      .askStatus(isPreferred, STATUS_TIMEOUT_MS)
      .catch((error: unknown) =>
        this.options.log.info('status request failed', { instance: id, error: String(error) }),
      )
      .finally(() => this.asked.delete(id));
  }

  private readRecord(now: Millis): void {
    if (now < this.mayReadAt) return;
    this.mayReadAt = Number.POSITIVE_INFINITY;
    this.options
      .readRecord()
      .then(
        () => READ_GAP_MS,
        () => FAILED_READ_GAP_MS,
      )
      .then((gap) => {
        this.endedReadSentAt = now;
        this.mayReadAt = this.options.clock.readNow() + gap;
        this.decideAll();
      })
      .catch((error: unknown) => this.options.log.error('read failed', { error: String(error) }));
  }
}
