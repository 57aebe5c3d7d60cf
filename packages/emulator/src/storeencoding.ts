import type { DatabaseRoute, GroupSettings, KeyedOrganisation } from '@shallotpick/engine';
import type { EmulatedInstance } from './instance.js';

/** The configuration that the operator writes. */
export interface EmulatedConfiguration {
  readonly version: number;
  readonly routes: readonly DatabaseRoute[];
  readonly groups: readonly GroupSettings[];
  readonly transactionIdleMs: number;
  /** Absent where callers need no key. */
  readonly organisations?: readonly KeyedOrganisation[] | undefined;
}

function findRouteType({ contract, readsOwnWrites }: DatabaseRoute): string {
  if (contract.maxAgeMs <= 0) return 'primary';
  return readsOwnWrites ? 'read_your_writes' : 'bounded_staleness';
}

function encodeOrganisation({ name, keys, rateLimit }: KeyedOrganisation): unknown {
  const limit = rateLimit && { rate_per_s: rateLimit.ratePerSecond, burst: rateLimit.burst };
  return { name, api_keys: keys, ...limit };
}

/** Encodes a configuration as its object in the store. */
export function encodeConfiguration(configuration: EmulatedConfiguration): unknown {
  const { version, routes, groups, transactionIdleMs, organisations } = configuration;
  return {
    version,
    routes: routes.map((route) => ({
      host: route.database,
      service: route.group,
      route_type: findRouteType(route),
      max_staleness_ms: route.contract.maxAgeMs,
      timeout_ms: route.timeoutMs,
      target_latency_ms: route.targetLatencyMs,
      priority: route.priority,
    })),
    services: groups.map(({ name, connectionLimit, synchronousReplicas }) => ({
      name,
      max_conns: connectionLimit,
      sync_replicas: synchronousReplicas,
    })),
    limits: { tx_idle_ms: transactionIdleMs },
    ...(organisations ? { tenants: organisations.map(encodeOrganisation) } : {}),
  };
}

/** Encodes the store entry of an instance that is reached at `address`. */
export function encodeInstance(instance: EmulatedInstance, address: string): unknown {
  const { options, isLeaving: leaving, role, startedAt, sequence, group } = instance;
  return {
    service: group.name,
    addr: address,
    zone: options.zone,
    version: 'v1',
    slots: options.slots,
    state: leaving ? 'draining' : 'ready',
    cold_left_ms: 0,
    db_role: role,
    born: startedAt,
    // The report number is reduced to 0 or 1, as it alone must not change the entry.
    sequence: sequence > 0 ? 1 : 0,
  };
}
