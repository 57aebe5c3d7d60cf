import type { Millis } from '../clock.js';
import { chooseLater, formatPosition, hasPosition, type LogPosition } from '../position.js';
import { type ConnectionTrace, ProcessContinuity } from './processcontinuity.js';
import { LATE_CALL_MS } from './takeoverstep.js';
import type { FenceReport } from './takeovertypes.js';

/** A commit that the leader has acknowledged to this VM. */
export interface AcknowledgedCommit {
  /** Id of the leader. */
  readonly leader: string;
  /** The connection on which the leader acknowledged it. */
  readonly connection: ConnectionTrace;
  /** A position of the leader's log that includes it; undefined if the leader told none. */
  readonly position: LogPosition | undefined;
  /** When this VM received the acknowledgement. */
  readonly acknowledgedAt: Millis;
}

/**
 * What is known of an acknowledged commit. It is durable, so that every instance which a takeover may
 * promote holds it:
 * - `settled`: since no claim was open after the acknowledgement;
 * - `everywhere`: since every other instance has received it;
 * - `counted`: since a replica has received it whose report any later takeover needs.
 *
 * Or it is not known to be:
 * - `threatened`: an instance tells of a takeover that may promote one without it;
 * - `unproven`: nothing tells of one.
 */
export type CommitVerdict = 'settled' | 'everywhere' | 'counted' | 'threatened' | 'unproven';

/** True for a commit that no takeover can lose. */
export function isDurable(verdict: CommitVerdict): boolean {
  return verdict !== 'threatened' && verdict !== 'unproven';
}

/** What a reply of an instance tells. */
export interface InstanceAnswer {
  /** End of the log, or an earlier position of it. */
  readonly position: LogPosition | undefined;
  /** When the request was sent, and when the reply arrived. */
  readonly sentAt: Millis;
  readonly receivedAt: Millis;
  /** True when only a leader answers like this. */
  readonly provesLead: boolean;
}

/** What the present process of an instance has told. */
class InstanceEvidence {
  readonly process = new ProcessContinuity();

  /** A position that its log has reached. */
  reached: LogPosition | undefined;

  /** The term in which it leads, and since when it is known to lead in it. */
  lead: { readonly term: number; readonly since: Millis } | undefined;

  /** Its last answer to an order or status request, and when that was sent. */
  report: (FenceReport & { readonly sentAt: Millis }) | undefined;

  /** Returns false if the reply may be of another process than the one that is followed. */
  handleReply(connection: ConnectionTrace, sentAt: Millis): boolean {
    const continuity = this.process.handleReply(connection, sentAt);
    if (continuity === 'new') {
      this.reached = undefined;
      this.lead = undefined;
      this.report = undefined;
    }
    return continuity !== 'unknown';
  }

  raisePosition(position: LogPosition): void {
    this.reached = this.reached ? chooseLater(this.reached, position) : position;
  }

  hasReached(position: LogPosition): boolean {
    return this.reached?.term === position.term && hasPosition(this.reached, position);
  }

  /** True when it has told since `time` that it is stopped, or knows a newer leader. */
  tellsOfTakeover({ term }: LogPosition, time: Millis): boolean {
    const { report } = this;
    if (!report || report.sentAt < time) return false;
    return report.heldTerm > term || report.term > term;
  }
}

/**
 * Decides whether an acknowledged commit may be handed on to its caller. A leader acknowledges it
 * once one replica has received it, and a replica that starts again has forgotten the order to stop;
 * so an acknowledgement alone doesn't show that a promotion in progress keeps the commit. One of
 * these must show it, each of which stays true once it is:
 * - no claim of the group's record was open when it was read after the acknowledgement: what stops
 *   the replicas for a later claim finds the commit on one of them;
 * - every other instance has received it;
 * - a replica that runs since a time when no claim was open has received it, from a leader that has
 *   led in this term since before that time: any claim since needs this replica's report, which
 *   includes the commit, or would have kept it from receiving it.
 *
 * docs/failover.md gives the argument.
 */
export class CommitGate {
  private readonly instances = new Map<string, InstanceEvidence>();

  /** Every claim that was made before this time has been settled. */
  private settledAt: Millis = Number.NEGATIVE_INFINITY;

  /** The settled claim, and when this VM first knew that it was. */
  private settled: { readonly claim: string; readonly since: Millis } | undefined;

  /** Sets the instances of the group by id; what is known of others is dropped. */
  updateInstances(ids: readonly string[]): void {
    const present = new Set(ids);
    this.instances.forEach((_, id) => {
      if (!present.has(id)) this.instances.delete(id);
    });
    ids.forEach((id) => {
      if (!this.instances.has(id)) this.instances.set(id, new InstanceEvidence());
    });
  }

  /**
   * Notes that the group's record was read as settled.
   *
   * @param claim identifies the settled claim
   * @param readAt when the request was sent that returned it
   */
  handleSettledRecord(claim: string, readAt: Millis, now: Millis): void {
    this.settledAt = Math.max(this.settledAt, readAt);
    if (this.settled?.claim !== claim) this.settled = { claim, since: now };
  }

  /** Handles any reply of an instance. */
  handleAnswer(instance: string, connection: ConnectionTrace, answer: InstanceAnswer): void {
    const evidence = this.instances.get(instance);
    const { position, sentAt, receivedAt, provesLead } = answer;
    if (!evidence?.handleReply(connection, sentAt) || !position) return;
    evidence.raisePosition(position);
    const { term } = position;
    if (provesLead && evidence.lead?.term !== term) evidence.lead = { term, since: receivedAt };
  }

  /** Handles an instance's answer to an order or status request that was sent at `sentAt`. */
  handleReport(
    instance: string,
    connection: ConnectionTrace,
    report: FenceReport,
    sentAt: Millis,
  ): void {
    const evidence = this.instances.get(instance);
    if (!evidence?.handleReply(connection, sentAt)) return;
    evidence.raisePosition(report.received);
    if ((evidence.report?.sentAt ?? sentAt) <= sentAt) evidence.report = { ...report, sentAt };
  }

  /** Describes what decisions rest on, for the log. */
  describe(now: Millis): Readonly<Record<string, unknown>> {
    const instances = [...this.instances].map(([id, { process, reached, lead, report }]) => ({
      ...{ id, runsSince: Math.round(process.since) },
      reached: reached && formatPosition(reached),
      lead,
      heldTerm: report?.heldTerm,
    }));
    return { now, settledAt: this.settledAt, settled: this.settled, instances };
  }

  /** Decides what is known of a commit now. */
  decide(commit: AcknowledgedCommit, now: Millis): CommitVerdict {
    if (this.wasSettledAfter(commit)) return 'settled';
    if (this.isEverywhere(commit)) return 'everywhere';
    if (this.isCounted(commit, now)) return 'counted';
    return this.isThreatened(commit) ? 'threatened' : 'unproven';
  }

  /**
   * True when replicas may prove a commit of the leader: one that any later takeover counts, or all
   * of them, if each one answers.
   */
  canReplicasProve(
    commit: AcknowledgedCommit,
    isAnswering: (id: string) => boolean,
    now: Millis,
  ): boolean {
    const { leader, position } = commit;
    if (!position) return false;
    const others = this.listOthers(leader);
    if (others.length > 0 && others.every(([id]) => isAnswering(id))) return true;
    if (!this.mayOneProve(commit, now)) return false;
    return others.some(([id, evidence]) => isAnswering(id) && this.isCountable(evidence));
  }

  /** True for a connection to the process of an instance whose replies are followed. */
  isFollowed(id: string, connection: ConnectionTrace): boolean {
    return this.instances.get(id)?.process.hasConnection(connection) ?? false;
  }

  /** True when one replica may prove a commit, so that the others need not be asked at once. */
  mayOneProve(commit: AcknowledgedCommit, now: Millis): boolean {
    const { position } = commit;
    return position !== undefined && this.mayCount(now) && this.hasLedSince(commit, position);
  }

  /**
   * Lists the instances that are not known to hold the commit: first those that may prove it alone,
   * and among these the one that has not answered for the longest time.
   *
   * @param findAnswerTime when an instance last answered
   */
  listWitnesses(
    { leader, position }: AcknowledgedCommit,
    findAnswerTime: (id: string) => Millis = () => 0,
  ): readonly string[] {
    if (!position) return [];
    const others = this.listOthers(leader).filter(([, one]) => !one.hasReached(position));
    const rank = ([, evidence]: (typeof others)[number]): number =>
      this.isCountable(evidence) && evidence.reached?.term === position.term ? 0 : 1;
    return others
      .sort((a, b) => rank(a) - rank(b) || findAnswerTime(a[0]) - findAnswerTime(b[0]))
      .map(([id]) => id);
  }

  /** True for a replica that runs since a time when no claim was open. */
  protected isCountable({ process }: InstanceEvidence): boolean {
    return process.since <= this.settledAt;
  }

  /** True when no claim was open after the acknowledgement. */
  protected wasSettledAfter({ acknowledgedAt }: AcknowledgedCommit): boolean {
    return this.settledAt >= acknowledgedAt;
  }

  /** True when every other instance has received the commit. */
  protected isEverywhere({ leader, position }: AcknowledgedCommit): boolean {
    const others = this.listOthers(leader);
    if (!position || others.length === 0) return false;
    return others.every(([, evidence]) => evidence.hasReached(position));
  }

  /** True when a replica holds the commit whose report every claim since the settled one needs. */
  protected isCounted(commit: AcknowledgedCommit, now: Millis): boolean {
    const { leader, position } = commit;
    if (!position || !this.mayOneProve(commit, now)) return false;
    return this.listHolders(leader, position).some((holder) => this.isCountable(holder));
  }

  /** Lists the instances but the leader that have received the log up to the position. */
  protected listHolders(leader: string, position: LogPosition): readonly InstanceEvidence[] {
    return this.listOthers(leader)
      .map(([, evidence]) => evidence)
      .filter((evidence) => evidence.hasReached(position));
  }

  private listOthers(leader: string): readonly (readonly [string, InstanceEvidence])[] {
    return [...this.instances].filter(([id]) => id !== leader);
  }

  /** False while orders to receive again that the settled claim has sent may still be in flight. */
  protected mayCount(now: Millis): boolean {
    return this.settled !== undefined && now - this.settled.since >= LATE_CALL_MS;
  }

  /** True when the leader has led in the commit's term since before the last settled record. */
  protected hasLedSince(
    { leader, connection }: AcknowledgedCommit,
    { term }: LogPosition,
  ): boolean {
    const evidence = this.instances.get(leader);
    if (evidence?.lead?.term !== term || evidence.lead.since > this.settledAt) return false;
    return evidence.process.hasConnection(connection);
  }

  private isThreatened({ leader, position, acknowledgedAt }: AcknowledgedCommit): boolean {
    if (!position) return false;
    return this.listOthers(leader).some(([, evidence]) =>
      evidence.tellsOfTakeover(position, acknowledgedAt),
    );
  }
}
