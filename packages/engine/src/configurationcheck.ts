import type { DatabaseRoute, GroupSettings } from './configuration.js';
import { type KeyedOrganisation, OrganisationIndex } from './organisations.js';

/** A configuration as its author wrote it, before duplicates are resolved. */
export interface ConfigurationDraft {
  readonly version: number;
  readonly routes: readonly DatabaseRoute[];
  readonly groups: readonly GroupSettings[];
  readonly transactionIdleMs: number;
  /** Absent when callers need no key. */
  readonly organisations?: readonly KeyedOrganisation[] | undefined;
}

/** Something about a configuration that its author should know before it is sent. */
export interface ConfigurationFinding {
  /** An error makes the configuration, or a part of it, useless; a warning may be meant. */
  readonly severity: 'error' | 'warning';
  readonly category: 'duplicate' | 'unreachable' | 'contradiction';
  /** Where it stands, such as `route orders`. */
  readonly subject: string;
  readonly reason: string;
}

type Category = ConfigurationFinding['category'];

const createError = (
  category: Category,
  subject: string,
  reason: string,
): ConfigurationFinding => ({ severity: 'error', category, subject, reason });

const createWarning = (
  category: Category,
  subject: string,
  reason: string,
): ConfigurationFinding => ({ severity: 'warning', category, subject, reason });

/** Lists the names that stand more than once. */
function listRepeated(names: readonly string[]): readonly string[] {
  return [...new Set(names.filter((name, index) => names.indexOf(name) !== index))];
}

function checkDuplicates({
  routes,
  groups,
  organisations = [],
}: ConfigurationDraft): readonly ConfigurationFinding[] {
  const find = (kind: string, names: readonly string[]): readonly ConfigurationFinding[] =>
    listRepeated(names).map((name) =>
      createError(
        'duplicate',
        `${kind} ${name}`,
        'stands more than once; only the last one counts',
      ),
    );
  return [
    ...find(
      'route',
      routes.map(({ database }) => database),
    ),
    ...find(
      'group',
      groups.map(({ name }) => name),
    ),
    ...find(
      'organisation',
      organisations.map(({ name }) => name),
    ),
  ];
}

function checkReachability({
  routes,
  groups,
}: ConfigurationDraft): readonly ConfigurationFinding[] {
  const names = new Set(groups.map(({ name }) => name));
  const used = new Set(routes.map(({ group }) => group));
  const lost = routes
    .filter(({ group }) => !names.has(group))
    .map(({ database, group }) =>
      createError('unreachable', `route ${database}`, `names the group ${group}, which is missing`),
    );
  const unused = groups
    .filter(({ name }) => !used.has(name))
    .map(({ name }) => createWarning('unreachable', `group ${name}`, 'no route names it'));
  return [...lost, ...unused];
}

function checkOrganisation({ name, keys, rateLimit }: KeyedOrganisation) {
  const subject = `organisation ${name}`;
  const findings: ConfigurationFinding[] = [];
  if (keys.length === 0) {
    findings.push(createWarning('unreachable', subject, 'has no usable key, so nobody can call'));
  }
  if (rateLimit && rateLimit.ratePerSecond <= 0) {
    findings.push(createWarning('contradiction', subject, 'has keys, but may start nothing'));
  } else if (rateLimit && rateLimit.burst < 1) {
    const reason = 'a burst below 1 permits no operation at any rate';
    findings.push(createError('contradiction', subject, reason));
  }
  return findings;
}

function checkOrganisations({
  routes,
  organisations,
}: ConfigurationDraft): readonly ConfigurationFinding[] {
  if (!organisations) return [];
  const { sharedKeys } = new OrganisationIndex(organisations);
  const shared =
    sharedKeys > 0
      ? [
          createError(
            'contradiction',
            'organisations',
            `${sharedKeys} keys stand in several of them and identify none`,
          ),
        ]
      : [];
  const isOpen = routes.length > 0 && routes.every(({ isAnonymous }) => isAnonymous === true);
  const needless = isOpen
    ? [createWarning('unreachable', 'organisations', 'every route is anonymous, so no key is used')]
    : [];
  return [...shared, ...needless, ...organisations.flatMap(checkOrganisation)];
}

function checkRoute(route: DatabaseRoute): readonly ConfigurationFinding[] {
  const { database, timeoutMs, targetLatencyMs, contract } = route;
  const subject = `route ${database}`;
  const findings: ConfigurationFinding[] = [];
  if (timeoutMs === 0) {
    findings.push(createError('contradiction', subject, 'a time limit of 0 ms serves nothing'));
  } else if (targetLatencyMs > timeoutMs) {
    const reason = `the objective of ${targetLatencyMs} ms is above the time limit of ${timeoutMs} ms`;
    findings.push(createWarning('contradiction', subject, reason));
  }
  if (contract.name !== 'primary' && contract.maxAgeMs <= 0) {
    const reason = 'its reads accept no age, so all of them go to the leader';
    findings.push(createWarning('contradiction', subject, reason));
  }
  return findings;
}

/** Lists what is wrong with a configuration, or probably not meant, errors first. */
export function checkConfiguration(draft: ConfigurationDraft): readonly ConfigurationFinding[] {
  const findings = [
    ...checkDuplicates(draft),
    ...checkReachability(draft),
    ...checkOrganisations(draft),
    ...draft.routes.flatMap(checkRoute),
  ];
  const idle =
    draft.transactionIdleMs === 0
      ? [createError('contradiction', 'limits', 'every transaction ends at once when it is idle')]
      : [];
  return [...findings, ...idle].sort((a, b) => a.severity.localeCompare(b.severity));
}
