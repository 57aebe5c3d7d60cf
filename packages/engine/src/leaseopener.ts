import type { Clock } from '@shallotpick/core';
import type { CommitConfirmation } from './commitconfirmation.js';
import type { AdmittedWork, Dispatcher, WorkRequest } from './dispatcher.js';
import { ConnectionLimitError, NotRunError } from './errors.js';
import { createLease, type Lease, type LeaseParts } from './lease.js';
import type { Log } from './log.js';
import type { Member } from './member.js';
import type { GroupMembers } from './members.js';
import { waitAtMost } from './timing.js';
import type { WorkEvidence } from './workevidence.js';
import type { WorkRouter } from './workrouter.js';
import type { ZoneRouter } from './zonerouter.js';

/** Services of a lease opener. */
export interface LeaseOpenerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly members: GroupMembers;
  readonly dispatcher: Dispatcher;
  readonly router: WorkRouter;
  readonly confirmation: CommitConfirmation;
  readonly evidence: WorkEvidence;
  readonly zoneRouter: ZoneRouter | undefined;
}

/** Connects admitted work to its instance, and passes on what the work came to. */
export class LeaseOpener {
  constructor(private readonly options: LeaseOpenerOptions) {}

  /**
   * Connects to the assigned instance; undefined when that fails. A connection that takes longer
   * keeps the slot until it is open, and is left to later work.
   *
   * @throws NotRunError when there is no connection by the work's deadline.
   */
  async open(admitted: AdmittedWork, request: WorkRequest): Promise<Lease | undefined> {
    const { clock, members, dispatcher } = this.options;
    const member = members.find(admitted.instance);
    if (!member) {
      dispatcher.withdraw(admitted);
      return undefined;
    }
    const opening = this.openOn(member, admitted, request);
    try {
      return await waitAtMost(opening, request.deadline - clock.readNow());
    } catch {
      opening.then((lease) => this.withdraw(admitted, lease)).catch(() => undefined);
      throw new NotRunError('no connection in time');
    }
  }

  private async openOn(
    member: Member,
    admitted: AdmittedWork,
    request: WorkRequest,
  ): Promise<Lease | undefined> {
    const { clock, log, dispatcher, router, confirmation } = this.options;
    const { instance } = admitted;
    member.updateRunning(true);
    try {
      const connection = await member.pool.connectFor(request.organisation);
      const { after } = router.findPositions(request);
      const results = this.createResults(member, admitted, request);
      const common = { dispatcher, clock, confirmation, results };
      return createLease({ ...common, admitted, member, connection, after });
    } catch (error) {
      member.updateRunning(false);
      member.handleConnectionFailure(error, clock.readNow());
      this.handleConnectionLoss(member, error);
      log.info('connection to instance failed', {
        request: request.requestId,
        instance,
        error: String(error),
      });
      dispatcher.withdraw(admitted);
      return undefined;
    }
  }

  /** Frees the slot and the connection of work that has not run. */
  private withdraw(admitted: AdmittedWork, lease: Lease | undefined): void {
    this.options.dispatcher.withdraw(admitted);
    lease?.release();
  }

  /** Creates the receiver of what a piece of work came to, which is no evidence once its member is removed. */
  private createResults(
    member: Member,
    admitted: AdmittedWork,
    request: WorkRequest,
  ): LeaseParts['results'] {
    const { clock, dispatcher, evidence, zoneRouter } = this.options;
    const isEvidence = (): boolean => request.kind === 'read' && this.isPresent(member);
    return {
      recordLatency: (tookMs) => {
        if (!this.isPresent(member)) return;
        member.recordLatency(tookMs, clock.readNow());
        dispatcher.recordLatency(admitted, request, tookMs);
      },
      handleReply: (reply, tookMs) => {
        if (isEvidence()) evidence.handleReply(member, reply, tookMs, clock.readNow());
        if (request.kind === 'read') zoneRouter?.handleReply(member, reply);
      },
      handleLoss: (tookMs) => {
        if (isEvidence()) evidence.handleLoss(member, tookMs, clock.readNow());
      },
    };
  }

  /** False for a removed member, also when a later start of its instance has taken its place. */
  private isPresent(member: Member): boolean {
    return this.options.members.find(member.id) === member;
  }

  /** Notes a failed connection, unless the instance has only reached its connection limit. */
  private handleConnectionLoss(member: Member, error: unknown): void {
    if (error instanceof ConnectionLimitError || !this.isPresent(member)) return;
    this.options.evidence.handleLoss(member, 0, this.options.clock.readNow());
  }
}
