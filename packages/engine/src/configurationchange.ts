import type { OperationRate } from '@shallotpick/core';
import type { DatabaseRoute, GroupSettings } from './configuration.js';
import type { ConfigurationDraft } from './configurationcheck.js';
import type { KeyedOrganisation } from './organisations.js';

/** A difference between two configurations and what it means for callers. */
export interface ConfigurationEffect {
  /** What differs, such as `route orders`. */
  readonly subject: string;
  readonly change: 'added' | 'removed' | 'changed';
  readonly effect: string;
}

interface Named {
  readonly name: string;
}

/** How to describe one kind of entry. */
interface Description<T> {
  readonly kind: string;
  readonly added: string;
  readonly removed: string;
  /** Describes each change of an entry that both configurations have. */
  readonly describe: (before: T, after: T) => readonly string[];
}

function compareEntries<T extends Named>(
  before: readonly T[],
  after: readonly T[],
  { kind, added, removed, describe }: Description<T>,
): readonly ConfigurationEffect[] {
  const old = new Map(before.map((one) => [one.name, one]));
  const current = new Map(after.map((one) => [one.name, one]));
  const kept = [...current].flatMap(([name, next]): readonly ConfigurationEffect[] => {
    const subject = `${kind} ${name}`;
    const known = old.get(name);
    if (!known) return [{ subject, change: 'added', effect: added }];
    return describe(known, next).map((effect) => ({ subject, change: 'changed', effect }));
  });
  const gone = [...old.keys()]
    .filter((name) => !current.has(name))
    .map((name) => ({ subject: `${kind} ${name}`, change: 'removed' as const, effect: removed }));
  return [...kept, ...gone];
}

/** Describes one value that differs; nothing when it is the same. */
function describeValue(label: string, before: unknown, after: unknown): readonly string[] {
  return before === after ? [] : [`${label}: ${String(before)} -> ${String(after)}`];
}

function describeRoute(before: DatabaseRoute, after: DatabaseRoute): readonly string[] {
  return [
    ...describeValue('served by group, from the next transaction', before.group, after.group),
    ...describeValue('kind', before.contract.name, after.contract.name),
    ...describeValue('age of reads in ms', before.contract.maxAgeMs, after.contract.maxAgeMs),
    ...describeValue('time limit in ms', before.timeoutMs, after.timeoutMs),
    ...describeValue('objective in ms', before.targetLatencyMs, after.targetLatencyMs),
    ...describeValue('priority', before.priority, after.priority),
    ...describeValue('callers need a key', !before.isAnonymous, !after.isAnonymous),
  ];
}

function describeGroup(before: GroupSettings, after: GroupSettings): readonly string[] {
  return [
    ...describeValue('connections of an instance', before.connectionLimit, after.connectionLimit),
    ...describeValue('synchronous replicas', before.synchronousReplicas, after.synchronousReplicas),
  ];
}

const formatLimit = (limit: OperationRate | undefined): string =>
  limit ? `${limit.ratePerSecond}/s, burst ${limit.burst}` : 'none';

function describeOrganisation(
  before: KeyedOrganisation,
  after: KeyedOrganisation,
): readonly string[] {
  const revoked = before.keys.filter((key) => !after.keys.includes(key)).length;
  const granted = after.keys.filter((key) => !before.keys.includes(key)).length;
  return [
    ...(revoked > 0 ? [`${revoked} keys revoked; open sessions lose their right with them`] : []),
    ...(granted > 0 ? [`${granted} keys granted`] : []),
    ...describeValue('rate limit', formatLimit(before.rateLimit), formatLimit(after.rateLimit)),
  ];
}

const toNamedRoutes = (routes: readonly DatabaseRoute[]): readonly (DatabaseRoute & Named)[] =>
  routes.map((route) => ({ ...route, name: route.database }));

function compareVersions(before: number, after: number): readonly ConfigurationEffect[] {
  const effect =
    after > before
      ? `${before} -> ${after}`
      : `${before} -> ${after}: not above the version in force, so it will be ignored`;
  return [{ subject: 'version', change: 'changed', effect }];
}

/** Lists what differs between the configuration in force and its successor, for callers. */
export function compareDrafts(
  before: ConfigurationDraft,
  after: ConfigurationDraft,
): readonly ConfigurationEffect[] {
  const needsKeys = (draft: ConfigurationDraft): boolean => draft.organisations !== undefined;
  const idle = describeValue(
    'idle transactions end after ms',
    before.transactionIdleMs,
    after.transactionIdleMs,
  );
  const keys = describeValue('callers need keys', needsKeys(before), needsKeys(after));
  return [
    ...compareVersions(before.version, after.version),
    ...[...idle, ...keys].map((effect) => ({
      ...{ subject: 'limits', change: 'changed' as const, effect },
    })),
    ...compareEntries(toNamedRoutes(before.routes), toNamedRoutes(after.routes), {
      ...{ kind: 'route', added: 'callers may connect', removed: 'new sessions are refused' },
      describe: describeRoute,
    }),
    ...compareEntries(before.groups, after.groups, {
      ...{ kind: 'group', added: 'its instances are watched', removed: 'no work is sent to it' },
      describe: describeGroup,
    }),
    ...compareEntries(before.organisations ?? [], after.organisations ?? [], {
      ...{ kind: 'organisation', added: 'its keys may be used' },
      ...{ removed: 'its keys are revoked', describe: describeOrganisation },
    }),
  ];
}
