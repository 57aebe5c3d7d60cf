import { OrganisationIndex, type ServiceConfiguration } from '@shallotpick/engine';
import * as z from 'zod';

/** Bounds the entries of one message; a frame holds fewer. */
const MAX_ENTRIES = 1_000_000;

const count = z.number().int().nonnegative();
const duration = z.number().nonnegative();

const contract = z.object({
  name: z.string(),
  match: z.record(z.string(), z.string()),
  maxAgeMs: duration,
  length: z.enum(['short', 'long']),
  repeat: z.enum(['allowed', 'never']),
});

const route = z.object({
  database: z.string(),
  group: z.string(),
  contract,
  readsOwnWrites: z.boolean(),
  timeoutMs: duration,
  targetLatencyMs: duration,
  priority: z.number(),
  isAnonymous: z.boolean().optional(),
});

const group = z.object({
  name: z.string(),
  connectionLimit: count,
  synchronousReplicas: count,
});

/** Keys stand in no message between VMs; their digests do. */
const organisation = z.object({
  name: z.string(),
  keyDigests: z.array(z.string()).max(MAX_ENTRIES).readonly(),
  rateLimit: z.object({ ratePerSecond: duration, burst: duration }).optional(),
});

/** A version of the configuration that one VM passes on to another. */
export const passedConfiguration = z.object({
  version: count,
  routes: z.array(route).max(MAX_ENTRIES).readonly(),
  groups: z.array(group).max(MAX_ENTRIES).readonly(),
  transactionIdleMs: duration,
  organisations: z.array(organisation).max(MAX_ENTRIES).readonly().optional(),
});

/** A version of the configuration as it stands in a message. */
export type PassedConfiguration = z.infer<typeof passedConfiguration>;

/** Converts a configuration for a link. */
export function toPassedConfiguration(configuration: ServiceConfiguration): PassedConfiguration {
  const { version, routes, groups, transactionIdleMs, organisations } = configuration;
  return {
    ...{ version, transactionIdleMs },
    routes: [...routes.values()].map((one) => ({
      ...one,
      contract: { ...one.contract, match: { ...one.contract.match } },
    })),
    groups: [...groups.values()],
    ...(organisations ? { organisations: [...organisations.list()] } : {}),
  };
}

/** Converts a configuration that came over a link. */
export function toServiceConfiguration(passed: PassedConfiguration): ServiceConfiguration {
  const { version, routes, groups, transactionIdleMs, organisations } = passed;
  return {
    ...{ version, transactionIdleMs },
    routes: new Map(
      routes.map(({ isAnonymous, ...one }) => [
        one.database,
        { ...one, ...(isAnonymous ? { isAnonymous } : {}) },
      ]),
    ),
    groups: new Map(groups.map((one) => [one.name, one])),
    ...(organisations
      ? {
          organisations: new OrganisationIndex(
            organisations.map(({ name, keyDigests, rateLimit }) => ({
              ...{ name, keyDigests, rateLimit },
            })),
          ),
        }
      : {}),
  };
}
