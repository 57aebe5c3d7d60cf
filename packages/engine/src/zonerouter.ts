import { type Millis, ZoneBalance, type ZoneBudget, type ZoneCandidate } from '@shallotpick/core';
import type { Log } from './log.js';
import type { Member } from './member.js';
import type { Metrics } from './metrics.js';
import type { Reply } from './statement.js';

/** Bytes of a read besides its rows: the statement and the frame of the reply. */
const FRAME_BYTES = 200;
/** Smallest change of the share that is logged. */
const LOGGED_CHANGE = 0.1;

/** Properties and services of a group's zone router. */
export interface ZoneRouterOptions {
  /** Name of the group. */
  readonly group: string;
  /** Zone of this VM. */
  readonly zone: string;
  /** Budget that all groups of this VM share. */
  readonly budget: ZoneBudget;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** What a read tells of its objective, and the margin within which expected finishes are equal. */
export interface ZoneRequest {
  readonly objective: Millis;
  readonly marginMs: Millis;
}

/** Estimates the bytes that a read and its reply take on the network. */
function estimateBytes({ rows }: Reply): number {
  return rows.reduce((sum, row) => sum + Buffer.byteLength(row), FRAME_BYTES);
}

/** Decides which reads of one group leave the VM's zone. */
export class ZoneRouter {
  private readonly balance: ZoneBalance;

  private loggedShare = 0;

  constructor(private readonly options: ZoneRouterOptions) {
    this.balance = new ZoneBalance(options.zone, options.budget);
  }

  /** Ranks the replicas that may serve a read, the one first that it is sent to. */
  rank(
    replicas: readonly Member[],
    { objective, marginMs }: ZoneRequest,
    now: Millis,
  ): readonly string[] {
    const candidates = replicas.map((member) => this.describe(member, now));
    const remainingMs = objective - now;
    this.balance.handleMeasurement(candidates, remainingMs, marginMs, now);
    this.reportShare();
    return this.balance.rank(candidates, now).map(({ id }) => id);
  }

  /** Notes that a read starts on an instance. */
  handleStart({ instance }: Member, now: Millis): void {
    const { zone, metrics } = this.options;
    this.balance.handleStart(instance.zone, now);
    metrics.zoneReads.inc({ zone: instance.zone === zone ? 'own' : 'other' });
  }

  /** Notes the reply of an instance to a read. */
  handleReply({ instance }: Member, reply: Reply): void {
    const { zone, budget, metrics } = this.options;
    const bytes = estimateBytes(reply);
    budget.handleRead(bytes);
    if (instance.zone !== zone) metrics.zoneBytes.inc(bytes);
  }

  private describe(member: Member, now: Millis): ZoneCandidate {
    const { id, measuredAt, instance } = member;
    return {
      ...{ id, measuredAt, zone: instance.zone },
      workMs: member.estimateWork(now),
      pathMs: member.estimatePath(),
    };
  }

  private reportShare(): void {
    const { group, log, metrics } = this.options;
    const share = this.balance.readShare();
    metrics.zoneShare.set({ group }, share);
    const isLogged = Math.abs(share - this.loggedShare) >= LOGGED_CHANGE;
    const hasEnded = share === 0 && this.loggedShare > 0;
    if (!isLogged && !hasEnded) return;
    log.info('share of reads that may leave the zone', { group, share, before: this.loggedShare });
    this.loggedShare = share;
  }
}
