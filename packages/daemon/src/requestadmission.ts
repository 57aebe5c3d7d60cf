import type { Contract, LogPosition, Millis } from '@shallotpick/core';
import type { SessionContext, WaitInterruption } from './context.js';
import type { GroupServer, Lease } from './group.js';
import { createNotRunError, type Refusal } from './refusal.js';
import { SQLSTATE } from './sqlstate.js';
import type { RequestSummary } from './summary.js';

const STOPPING = 'the proxy is shutting down';

/** Admits one request of a session: finds what it requires and waits for a connection. */
export class RequestAdmission {
  readonly contract: Contract;

  constructor(
    private readonly context: SessionContext,
    private readonly summary: RequestSummary,
  ) {
    this.contract = context.findContract(summary.contractStatements);
  }

  /**
   * Waits for a connection. Returns undefined when the caller has disconnected or `refuse` has
   * answered the request.
   */
  async admit(
    kind: 'read' | 'write',
    deadline: Millis,
    refuse: (error: Refusal) => void,
  ): Promise<Lease | undefined> {
    const { context, contract } = this;
    const { group, options } = context;
    // All sessions of one user on one host share a queue, so opening more gains no advantage.
    const caller = `${context.user}@${options.caller.address}`;
    if (context.isClosed) return undefined;
    if (context.isStopping) {
      refuse(createNotRunError(STOPPING));
      return undefined;
    }
    if (!group) {
      refuse(createNotRunError(`database group "${context.groupName}" is no longer served`));
      return undefined;
    }
    const admission = this.findMinPosition(group, deadline).then((minPosition) =>
      group.admit({
        kind,
        contract,
        minPosition,
        caller,
        deadline,
        statement: this.findCostStatement(),
      }),
    );
    const interruption = new Promise<WaitInterruption>((resolve) => {
      context.interruptWait = resolve;
    });
    try {
      const first = await Promise.race([admission, interruption]);
      if (typeof first !== 'string') return first;
      admission.then((late) => late.release()).catch(() => undefined);
      const message = 'cancelled before the request was sent; it did not run';
      if (first === 'cancelled') refuse({ code: SQLSTATE.cancelled, message });
      if (first === 'stopped') refuse(createNotRunError(STOPPING));
    } catch (error) {
      refuse(createNotRunError(error instanceof Error ? error.message : 'refused'));
    } finally {
      context.interruptWait = undefined;
    }
    return undefined;
  }

  /** The statement whose cost is learned; a transaction's statements are not known in advance. */
  private findCostStatement(): string | undefined {
    const { begins, contractStatements } = this.summary;
    return begins || contractStatements.length !== 1 ? undefined : contractStatements[0]?.text;
  }

  private async findMinPosition(group: GroupServer, deadline: Millis): Promise<LogPosition> {
    const { positions, groupName } = this.context;
    const knownPosition = positions.findPosition(groupName);
    return knownPosition ?? positions.update(groupName, await group.findInitialPosition(deadline));
  }
}
