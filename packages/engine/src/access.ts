import type { Millis } from '@shallotpick/core';
import type { WorkRequest } from './dispatcher.js';
import type { Lease } from './lease.js';

/** How sessions reach a database group: on this VM, or through a VM that serves it. */
export abstract class GroupAccess {
  /**
   * Waits for a slot and a connection.
   *
   * @throws NotRunError when the work isn't admitted in time or no instance can serve it.
   */
  abstract admit(request: WorkRequest): Promise<Lease>;

  /** Clears the leadership of an instance that refused a statement as read-only. */
  abstract handleDemotion(instance: string): void;

  /** Records the latency of a statement on an instance. */
  abstract recordLatency(instance: string, tookMs: Millis): void;
}
