import {
  type AcknowledgedCommit,
  type CommitGate,
  type ConnectionTrace,
  type FenceReport,
  isDurable,
  type LogPosition,
} from '@shallotpick/core';

/** A caller is told that the outcome is unknown when nothing has proved its commit by then. */
const CONFIRMATION_TIMEOUT_MS = 1_500;

/** The record is read when the instances have not proved a commit by then. */
const READ_AFTER_MS = 60;

/** A commit that has not been handed on yet. */
interface PendingCommit {
  readonly commit: AcknowledgedCommit;
  readonly confirm: () => void;
}

/** What a simulated VM does to have a commit proved. */
export interface ProofRequests {
  /** Asks an instance for its status. */
  readonly askStatus: (instance: string) => void;
  /** Reads the group's record. */
  readonly readRecord: () => void;
}

/** Holds the acknowledged commits of one VM's process until its gate lets them pass. */
export class HeldCommits {
  private pending: readonly PendingCommit[] = [];

  /** The last connection to each instance, by its description. */
  private readonly traces = new Map<string, ConnectionTrace & { readonly key: string }>();

  constructor(
    private readonly gate: CommitGate,
    private readonly actions: ProofRequests,
  ) {}

  /** Returns the connection to an instance, which lasts while its description stays the same. */
  findTrace(
    instance: string,
    describe: () => string,
    now: number,
  ): ConnectionTrace & { readonly key: string } {
    const key = describe();
    const known = this.traces.get(instance);
    if (known?.key === key) return known;
    const trace = { key, dialedAt: now, openedAt: now, isUsable: () => describe() === key };
    this.traces.set(instance, trace);
    return trace;
  }

  add(
    leader: string,
    connection: ConnectionTrace,
    position: LogPosition,
    now: number,
    confirm: () => void,
  ): void {
    const answer = { position, sentAt: now, receivedAt: now, provesLead: true };
    this.gate.handleAnswer(leader, connection, answer);
    const commit = { leader, connection, position, acknowledgedAt: now };
    this.pending = [...this.pending, { commit, confirm }];
    this.decide(now);
  }

  handleProbe(
    instance: string,
    connection: ConnectionTrace,
    probe: { readonly position: LogPosition | undefined; readonly leads: boolean },
    now: number,
  ): void {
    const { position, leads } = probe;
    const answer = { position, sentAt: now, receivedAt: now, provesLead: leads };
    this.gate.handleAnswer(instance, connection, answer);
  }

  handleReport(
    instance: string,
    connection: ConnectionTrace,
    report: FenceReport,
    sentAt: number,
    now: number,
  ): void {
    this.gate.handleReport(instance, connection, report, sentAt);
    this.decide(now);
  }

  handleSettledRecord(claim: string, readAt: number, now: number): void {
    this.gate.handleSettledRecord(claim, readAt, now);
    this.decide(now);
  }

  handleTick(members: readonly string[], now: number): void {
    this.gate.updateInstances(members);
    this.decide(now);
    const [first] = this.pending;
    if (!first) return;
    this.gate.listWitnesses(first.commit).forEach((id) => this.actions.askStatus(id));
    if (now - first.commit.acknowledgedAt >= READ_AFTER_MS) this.actions.readRecord();
  }

  private decide(now: number): void {
    const { gate, pending } = this;
    this.pending = [];
    const kept = pending.filter(({ commit, confirm }) => {
      const verdict = gate.decide(commit, now);
      if (isDurable(verdict)) confirm();
      const isOver = now - commit.acknowledgedAt >= CONFIRMATION_TIMEOUT_MS;
      return verdict === 'unproven' && !isOver;
    });
    this.pending = [...kept, ...this.pending];
  }
}
