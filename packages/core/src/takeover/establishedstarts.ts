import { formatIncarnation, type Incarnation } from './incarnation.js';
import type { InstanceView } from './takeovertypes.js';

/**
 * The starts of instances to which answers may be ascribed. An answer names an id only, and an
 * instance whose registration has expired stays a member while it answers: what answers may be a
 * later start that does not reach the store. A start is established once it has been seen registered
 * after a registration of a former start would have expired.
 */
export class EstablishedStarts {
  private established: ReadonlySet<string> = new Set();

  /** Adds the listed starts that `isProven` is true for, and keeps the others that are listed. */
  update(instances: readonly InstanceView[], isProven: (instance: InstanceView) => boolean): void {
    const found = instances.filter((one) => this.has(one) || isProven(one));
    this.established = new Set(found.map(formatIncarnation));
  }

  has(one: Incarnation): boolean {
    return this.established.has(formatIncarnation(one));
  }
}
