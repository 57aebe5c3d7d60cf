/** The capacity of an instance that this proxy may use at present. */
export interface Capacity {
  /** Number of connections that may be in use at the same time. */
  readonly connections: number;
  /** Short statements at the same time. */
  readonly concurrency: number;
  /** Long statements at the same time. */
  readonly longPermits: number;
}

/** Expected length of a statement. */
export type WorkLength = 'short' | 'long';

/** Running statements by length, and connections in use, including those of idle transactions. */
interface Load {
  short: number;
  long: number;
  connections: number;
}

const NO_CAPACITY: Capacity = { connections: 0, concurrency: 0, longPermits: 0 };
const NO_LOAD: Readonly<Load> = { short: 0, long: 0, connections: 0 };

/** The capacity of a group's instances and the work that runs on them. */
export class SlotTable {
  private readonly capacities = new Map<string, Capacity>();

  private readonly loads = new Map<string, Load>();

  /** Sets the capacity of an instance; false when it was the same before. */
  updateCapacity(instance: string, capacity: Capacity): boolean {
    const before = this.capacities.get(instance);
    this.capacities.set(instance, capacity);
    return (
      before?.connections !== capacity.connections ||
      before.concurrency !== capacity.concurrency ||
      before.longPermits !== capacity.longPermits
    );
  }

  /** Removes an instance with its load; the end of work that it ran must not be reported. */
  removeInstance(instance: string): void {
    this.capacities.delete(instance);
    this.loads.delete(instance);
  }

  listInstances(): readonly string[] {
    return [...this.capacities.keys()];
  }

  readCapacity(instance: string): Capacity {
    return this.capacities.get(instance) ?? NO_CAPACITY;
  }

  /** Returns the number of statements running on the instance, of one length if given. */
  countRunning(instance: string, length?: WorkLength): number {
    const load = this.readLoad(instance);
    return length ? load[length] : load.short + load.long;
  }

  /** Returns the number of connections to the instance that are in use. */
  countConnections(instance: string): number {
    return this.readLoad(instance).connections;
  }

  /** Occupies a connection and a slot of the instance. */
  occupy(instance: string, length: WorkLength): void {
    const load = this.loads.get(instance) ?? { ...NO_LOAD };
    load[length] += 1;
    load.connections += 1;
    this.loads.set(instance, load);
  }

  /** Frees the connection, and the slot unless the statement had already ended. */
  release(instance: string, length: WorkLength, isIdle: boolean): void {
    const load = this.loads.get(instance);
    if (!load) return;
    load.connections -= 1;
    if (!isIdle) load[length] -= 1;
  }

  /** Adds a statement to the load of a connection in use, or takes it away. */
  updateRunning(instance: string, length: WorkLength, change: 1 | -1): void {
    const load = this.loads.get(instance);
    if (load) load[length] += change;
  }

  private readLoad(instance: string): Readonly<Load> {
    return this.loads.get(instance) ?? NO_LOAD;
  }
}
