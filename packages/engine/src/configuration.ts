import type { Contract, Millis } from '@shallotpick/core';
import type { OrganisationIndex } from './organisations.js';

/** Routing and time limits for the callers of one database. */
export interface DatabaseRoute {
  /** Database name that callers give when they connect. */
  readonly database: string;
  readonly group: string;
  /** Consistency contract; a `maxAgeMs` of 0 sends reads to the leader. */
  readonly contract: Contract;
  /** True when reads must also return the session's own commits. */
  readonly readsOwnWrites: boolean;
  /** Time limit of a single statement. */
  readonly timeoutMs: Millis;
  /** Latency objective of a whole operation. */
  readonly targetLatencyMs: Millis;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** True when callers need no key. */
  readonly isAnonymous?: boolean;
}

/** Configuration of a database group. */
export interface GroupSettings {
  readonly name: string;
  /** Maximum number of connections to one instance, over all proxies. */
  readonly connectionLimit: number;
  /** Number of replicas that must hold a commit before it is acknowledged. */
  readonly synchronousReplicas: number;
}

/** A version of the configuration; version numbers only increase. */
export interface ServiceConfiguration {
  readonly version: number;
  readonly routes: ReadonlyMap<string, DatabaseRoute>;
  readonly groups: ReadonlyMap<string, GroupSettings>;
  /** A transaction that is idle for longer is rolled back. */
  readonly transactionIdleMs: Millis;
  /** The organisations that may call; absent when callers need no key. */
  readonly organisations?: OrganisationIndex | undefined;
}

/**
 * Finds the priority of a group's routes that goes before the others; undefined when they all have
 * the same, or no organisations share the group, so that no work goes before other.
 */
export function findUrgentPriority(
  { routes, organisations }: ServiceConfiguration,
  group: string,
): number | undefined {
  if (!organisations) return undefined;
  const own = [...routes.values()].filter((route) => route.group === group);
  const priorities = new Set(own.map(({ priority }) => priority));
  return priorities.size > 1 ? Math.min(...priorities) : undefined;
}

/** Receives each configuration that is put in force. */
type Listener = (configuration: ServiceConfiguration) => void;

/** Holds the configuration with the highest version received; older versions are ignored. */
export class ConfigurationHolder {
  private current: ServiceConfiguration | undefined;

  private readonly listeners: Listener[] = [];

  read(): ServiceConfiguration | undefined {
    return this.current;
  }

  findRoute(database: string): DatabaseRoute | undefined {
    return this.current?.routes.get(database);
  }

  /** Waits up to `limitMs` for the first configuration. */
  async waitUntilKnown(limitMs: Millis): Promise<void> {
    if (this.current) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, limitMs);
      this.addListener(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  addListener(listener: Listener): void {
    this.listeners.push(listener);
  }

  /** Puts a configuration in force; false when it isn't newer than the current one. */
  update(next: ServiceConfiguration): boolean {
    if (this.current && next.version <= this.current.version) return false;
    this.current = next;
    this.listeners.forEach((listener) => listener(next));
    return true;
  }
}
