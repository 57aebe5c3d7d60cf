import type { Contract, Millis } from '@shallotpick/core';

/** How callers of one database are served. */
export interface DatabaseRoute {
  /** The name that callers give when they connect. */
  readonly database: string;
  readonly group: string;
  /** Accepted age of reads; 0 asks for the leader. */
  readonly contract: Contract;
  /** True when reads must also show the session's own commits. */
  readonly readsOwnWrites: boolean;
  /** Limit of a single statement. */
  readonly timeoutMs: Millis;
  /** Objective for a whole operation. */
  readonly targetLatencyMs: Millis;
  /** 0 is the most important. */
  readonly priority: number;
}

export interface GroupSettings {
  readonly name: string;
  /** Connections that one instance accepts, from all proxies together. */
  readonly connectionLimit: number;
  /** Replicas that hold a commit before it is acknowledged. */
  readonly synchronousReplicas: number;
}

/** The configuration in force; versions only rise. */
export interface ServiceConfiguration {
  readonly version: number;
  readonly routes: ReadonlyMap<string, DatabaseRoute>;
  readonly groups: ReadonlyMap<string, GroupSettings>;
  /** A transaction that rests for longer is rolled back. */
  readonly transactionIdleMs: Millis;
}

type Listener = (configuration: ServiceConfiguration) => void;

/** Holds the newest configuration that was seen, whatever order copies arrive in. */
export class ConfigurationHolder {
  private current: ServiceConfiguration | undefined;

  private readonly listeners: Listener[] = [];

  read(): ServiceConfiguration | undefined {
    return this.current;
  }

  findRoute(database: string): DatabaseRoute | undefined {
    return this.current?.routes.get(database);
  }

  /** Waits for the first configuration, up to `limitMs`. */
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

  /** Takes in a configuration; false when it is not newer than the one in force. */
  update(next: ServiceConfiguration): boolean {
    if (this.current && next.version <= this.current.version) return false;
    this.current = next;
    this.listeners.forEach((listener) => listener(next));
    return true;
  }
}
