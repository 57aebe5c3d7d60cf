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
}
