import type { Clock, LogPosition, Millis } from '@shallotpick/core';
import type { CommitConfirmation } from './commitconfirmation.js';
import type { InstanceConnection } from './connection.js';
import type { AdmittedWork, Dispatcher } from './dispatcher.js';
import type { Member } from './member.js';
import type { Reply } from './statement.js';

/** A connection held by one request or transaction until it is released. */
export interface Lease {
  readonly instance: string;
  readonly connection: InstanceConnection;
  readonly isLeader: boolean;
  /** Log position that a read requires; undefined when it requires confirmed leadership instead. */
  readonly after: LogPosition | undefined;
  /** Expected latency of one statement. */
  readonly latencyMs: Millis;
  /** Records the latency of a statement at the start of the instance that served it. */
  recordLatency(tookMs: Millis): void;
  /** Notes the reply of the instance to a statement. */
  handleReply(reply: Reply, tookMs: Millis): void;
  /** Notes a statement that got no answer. */
  handleLoss(tookMs: Millis): void;
  /** Clears the leadership of that start, which refused a statement as read-only. */
  handleDemotion(): void;
  /**
   * Waits until a commit that the instance has acknowledged may be handed on.
   *
   * @param position a log position that includes it, as the instance has told
   * @throws UnconfirmedCommitError when a takeover may lose it, or nothing proves in time that none can
   */
  confirmCommit(position: LogPosition | undefined, timeoutMs: Millis): Promise<void>;
  /** Records that a statement starts or has ended while the lease is held. */
  updateBusy(isBusy: boolean): void;
  /** Returns the connection and frees the slot; further calls have no effect. */
  release(): void;
}

/** The part of a lease that tells whether a statement runs. */
export type LeaseUse = Pick<Lease, 'updateBusy' | 'release'>;

/**
 * Creates the use of a connection, which begins with a running statement. The callbacks get only
 * real changes; `onRelease` is told whether the last statement had already ended.
 */
export function createLeaseUse(
  onBusy: (isBusy: boolean) => void,
  onRelease: (isIdle: boolean) => void,
): LeaseUse {
  let state: 'running' | 'idle' | 'released' = 'running';
  return {
    updateBusy: (isBusy) => {
      const next = isBusy ? 'running' : 'idle';
      if (state === 'released' || state === next) return;
      state = next;
      onBusy(isBusy);
    },
    release: () => {
      if (state === 'released') return;
      const isIdle = state === 'idle';
      state = 'released';
      onRelease(isIdle);
    },
  };
}

/** What a lease consists of. */
export interface LeaseParts {
  readonly admitted: AdmittedWork;
  readonly member: Member;
  readonly connection: InstanceConnection;
  readonly dispatcher: Dispatcher;
  readonly clock: Clock;
  readonly after: LogPosition | undefined;
  readonly confirmation: CommitConfirmation;
  /** Receives what the work came to; see `Lease`. */
  readonly results: Pick<Lease, 'recordLatency' | 'handleReply' | 'handleLoss'>;
}

/** Creates the lease of a member's connection for admitted work. */
export function createLease(parts: LeaseParts): Lease {
  const { admitted, member, connection, dispatcher, clock } = parts;
  const { after, confirmation, results } = parts;
  const use = createLeaseUse(
    (isBusy) => {
      member.updateRunning(isBusy);
      dispatcher.updateBusy(admitted, isBusy);
    },
    (isIdle) => {
      if (!isIdle) member.updateRunning(false);
      member.pool.release(connection);
      dispatcher.remove(admitted, isIdle);
    },
  );
  return {
    ...use,
    instance: member.id,
    connection,
    isLeader: member.probe.leads,
    after,
    latencyMs: member.estimateLatency(clock.readNow()),
    recordLatency: (tookMs) => results.recordLatency(tookMs),
    handleReply: (...reply) => results.handleReply(...reply),
    handleLoss: (tookMs) => results.handleLoss(tookMs),
    handleDemotion: () => member.probe.clearLeadership(),
    confirmCommit: (position, timeoutMs) => {
      const commit = { leader: member.id, connection, position, acknowledgedAt: clock.readNow() };
      return confirmation.confirm(commit, timeoutMs);
    },
  };
}
