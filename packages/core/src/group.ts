import type { Millis } from './clock.js';
import type { Incarnations } from './takeover/incarnations.js';
import type { LogPosition } from './position.js';

/** One database server of a group, as release notes describe it. */
export interface DatabaseInstance {
  readonly id: string;
  readonly zone: string;
  readonly host: string;
  readonly port: number;
  /** Statements that the instance runs well concurrently, over all proxies. */
  readonly slots: number;
  /** Connections that the instance accepts, over all proxies. */
  readonly connectionLimit: number;
  /** True once an operator or the platform has announced that the instance will be removed. */
  readonly leaving?: boolean;
}

/** A primary and its replicas. Callers address it by name, as the database of the connection. */
export interface DatabaseGroup {
  readonly name: string;
  readonly instances: readonly DatabaseInstance[];
}

/** The role of an instance in its group. */
export type InstanceRole = 'primary' | 'replica';

/** An instance's answer to a status request. */
export interface InstanceStatus {
  readonly instance: string;
  /** Id of the life of the instance's data; empty for an instance that reports none. */
  readonly incarnation: string;
  readonly role: InstanceRole;
  /** Highest term below which the instance refuses streams, promotion and following. */
  readonly fenceTerm: number;
  /** Last entry on stable storage; counts for acknowledgement and election. */
  readonly durable: LogPosition;
  /** Last entry visible to reads. */
  readonly applied: LogPosition;
  /** The primary that the instance follows, or itself when it is the primary. */
  readonly following: string;
  readonly connections: number;
  readonly running: number;
  /** Time at which the request was sent, on the requester's clock. */
  readonly requestedAt: Millis;
}

/**
 * The group's object in the platform. `fencing`: term is claimed, no primary yet.
 * `named`: `primary` may be promoted in `term`.
 */
export interface GroupRecord {
  readonly group: string;
  readonly term: number;
  readonly phase: 'fencing' | 'named';
  readonly primary: string | null;
  /** Identifies the write, so that reading back shows the outcome when the answer was lost. */
  readonly attempt: string;
  /** The VM that wrote the record. */
  readonly writer: string;
  /** The lives of the instances that count; all do while the record lists none. */
  readonly incarnations?: Incarnations;
}

/** Returns the number of instances that form a majority of a group of `size`. */
export function countMajority(size: number): number {
  return Math.floor(size / 2) + 1;
}
