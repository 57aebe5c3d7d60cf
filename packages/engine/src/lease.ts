import type { Clock, LogPosition, Millis } from '@shallotpick/core';
import type { InstanceConnection } from './connection.js';
import type { AdmittedWork, Dispatcher } from './dispatcher.js';
import type { Member } from './member.js';

/** A connection that is bound to one request or transaction. */
export interface Lease {
  readonly instance: string;
  readonly connection: InstanceConnection;
  readonly isLeader: boolean;
  /** Position that the instance must prove with a read; undefined: the lead must be proven. */
  readonly after: LogPosition | undefined;
  /** Expected time of one statement. */
  readonly latencyMs: Millis;
  /** Tells that a statement starts or has ended, while the lease is kept. */
  updateBusy(isBusy: boolean): void;
  /** May be called more than once. */
  release(): void;
}

export interface LeaseParts {
  readonly admitted: AdmittedWork;
  readonly member: Member;
  readonly connection: InstanceConnection;
  readonly dispatcher: Dispatcher;
  readonly clock: Clock;
  readonly after: LogPosition | undefined;
}

/** Binds a connection of a member to admitted work. */
export function createLease(parts: LeaseParts): Lease {
  const { admitted, member, connection, dispatcher, clock, after } = parts;
  let state: 'running' | 'idle' | 'released' = 'running';
  return {
    instance: member.id,
    connection,
    isLeader: member.probe.leads,
    after,
    latencyMs: member.readLatency(clock.readNow()),
    updateBusy: (isBusy) => {
      const next = isBusy ? 'running' : 'idle';
      if (state === 'released' || state === next) return;
      state = next;
      member.updateRunning(isBusy);
      dispatcher.updateBusy(admitted, isBusy);
    },
    release: () => {
      if (state === 'released') return;
      const isIdle = state === 'idle';
      state = 'released';
      if (!isIdle) member.updateRunning(false);
      member.pool.release(connection);
      dispatcher.remove(admitted, isIdle);
    },
  };
}
