import type { Random } from '@shallotpick/bench';
import { DEFAULT_CONTRACT, type Millis } from '@shallotpick/core';
import type { EmulatedConfiguration } from '@shallotpick/emulator';
import type { DatabaseRoute, GroupSettings } from '@shallotpick/engine';
import { match } from 'ts-pattern';
import type { SoakOrganisations } from './organisations.js';

/** What a version of the configuration may change. */
export const CHANGED_PARTS = [
  'timeouts',
  'priorities',
  'routes',
  'limits',
  'groups',
  'rates',
] as const;

/** A part of the configuration that the operator changes; `groupsOfRoutes` is drawn on its own. */
export type ChangedPart = (typeof CHANGED_PARTS)[number] | 'groupsOfRoutes';

const ROUTE_TIMEOUT_MS: Millis = 1_000;
/** Range of the timeouts that changes give to routes. */
const SHORTEST_TIMEOUT_MS: Millis = 400;
export const LONGEST_TIMEOUT_MS: Millis = 1_500;
const PRIORITIES = 3;
/** Names of the databases that come and go with changes, so that callers know them as well. */
const TEMPORARY_DATABASES = ['passing0', 'passing1', 'passing2'];
/** A database that no configuration ever has. */
const MISSING_DATABASE = 'missing';
const MAX_VERSION_STEP = 3;
const MAX_RATE_PER_SECOND = 200;

function createRoute(group: string, index: number): DatabaseRoute {
  const maxAgeMs = [0, 1_500, 2_500][index] ?? 0;
  return {
    database: `${group}-${['fresh', 'aged', 'own'][index]}`,
    group,
    contract: { ...DEFAULT_CONTRACT, maxAgeMs },
    readsOwnWrites: index !== 1,
    timeoutMs: ROUTE_TIMEOUT_MS,
    targetLatencyMs: 200,
    priority: 1,
  };
}

/** Settings of an operator. */
export interface SoakOperatorOptions {
  readonly groups: readonly string[];
  /** Connections that each instance accepts. */
  readonly connections: number;
  readonly organisations: SoakOrganisations;
  /** Writes a configuration into the store. */
  readonly publish: (configuration: EmulatedConfiguration) => void;
}

/** Writes the configuration, changes parts of it and gives them back. */
export class SoakOperator {
  /** The routes of a configuration without changes. */
  readonly routes: readonly DatabaseRoute[];

  private version = 0;

  private changedRoutes: readonly DatabaseRoute[] | undefined;

  private readonly timeouts = new Map<string, Millis>();

  private readonly priorities = new Map<string, number>();

  private readonly limits = new Map<string, number>();

  /** The groups that databases were moved to. */
  private readonly movedTo = new Map<string, string>();

  private absentGroup: string | undefined;

  constructor(private readonly options: SoakOperatorOptions) {
    this.routes = options.groups.flatMap((name) =>
      [0, 1, 2].map((kind) => createRoute(name, kind)),
    );
  }

  /** The databases that changes add and remove, and one that never exists. */
  static listPassingDatabases(): readonly string[] {
    return [...TEMPORARY_DATABASES, MISSING_DATABASE];
  }

  /** Writes the next version of the configuration. */
  write(versionStep = 1): void {
    const { groups, connections, organisations, publish } = this.options;
    const present = groups.filter((name) => name !== this.absentGroup);
    const routes = (this.changedRoutes ?? this.routes)
      .map((route) => this.changeRoute(route))
      .filter(({ group }) => present.includes(group));
    this.version += versionStep;
    publish({
      version: this.version,
      routes,
      groups: present.map((name): GroupSettings => ({
        ...{ name, connectionLimit: this.limits.get(name) ?? connections, synchronousReplicas: 1 },
      })),
      transactionIdleMs: 3_000,
      organisations: organisations.encode(),
    });
  }

  /** Draws new values of a part and writes the configuration. */
  change(part: ChangedPart, random: Random): void {
    match(part)
      .with('timeouts', () => this.drawTimeouts(random))
      .with('priorities', () => this.drawPriorities(random))
      .with('routes', () => this.drawRoutes(random))
      .with('limits', () => this.drawLimits(random))
      .with('groups', () => this.drawAbsentGroup(random))
      .with('groupsOfRoutes', () => this.drawMoves(random))
      .with('rates', () => this.options.organisations.drawRateLimits(random, MAX_RATE_PER_SECOND))
      .exhaustive();
    this.write(1 + random.nextInt(MAX_VERSION_STEP));
  }

  /** Gives parts their first values back and writes the configuration. */
  restore(parts: readonly ChangedPart[]): void {
    parts.forEach((part) => {
      match(part)
        .with('timeouts', () => this.timeouts.clear())
        .with('priorities', () => this.priorities.clear())
        .with('limits', () => this.limits.clear())
        .with('rates', () => this.options.organisations.removeRateLimits())
        .with('routes', () => {
          this.changedRoutes = undefined;
        })
        .with('groupsOfRoutes', () => this.movedTo.clear())
        .with('groups', () => {
          this.absentGroup = undefined;
        })
        .exhaustive();
    });
    this.write();
  }

  private changeRoute(route: DatabaseRoute): DatabaseRoute {
    const { database } = route;
    return {
      ...route,
      group: this.movedTo.get(database) ?? route.group,
      timeoutMs: this.timeouts.get(database) ?? route.timeoutMs,
      priority: this.priorities.get(database) ?? route.priority,
    };
  }

  private drawTimeouts(random: Random): void {
    this.routes.forEach(({ database }) => {
      const addedMs = random.nextInt(LONGEST_TIMEOUT_MS - SHORTEST_TIMEOUT_MS);
      this.timeouts.set(database, SHORTEST_TIMEOUT_MS + addedMs);
    });
  }

  /** Every other time all routes have one priority, so that ranking ends. */
  private drawPriorities(random: Random): void {
    const isRanked = random.nextInt(2) === 0;
    this.routes.forEach(({ database }) => {
      this.priorities.set(database, isRanked ? random.nextInt(PRIORITIES) : 1);
    });
  }

  /** Leaves one of the usual routes out, or none, and adds some of the temporary ones. */
  private drawRoutes(random: Random): void {
    const absent = random.nextInt(2 * this.routes.length);
    const present = this.routes.filter((_, index) => index !== absent);
    const temporary = TEMPORARY_DATABASES.filter(() => random.nextInt(2) === 0);
    const added = temporary.map((database) => {
      const model = this.routes[random.nextInt(this.routes.length)]!;
      return { ...model, database };
    });
    this.changedRoutes = [...present, ...added];
  }

  /** Draws the group of each database; some stay where they are. */
  private drawMoves(random: Random): void {
    const { groups } = this.options;
    this.routes.forEach(({ database }) => {
      this.movedTo.set(database, groups[random.nextInt(groups.length)]!);
    });
  }

  /** Lowers the limits; where few connections are left, other VMs become homes of the group. */
  private drawLimits(random: Random): void {
    const { groups, connections } = this.options;
    const half = Math.floor(connections / 2);
    groups.forEach((name) => this.limits.set(name, half + random.nextInt(connections - half + 1)));
  }

  /** Leaves one of the groups out, or none. */
  private drawAbsentGroup(random: Random): void {
    const { groups } = this.options;
    this.absentGroup = groups[random.nextInt(2 * groups.length)];
  }
}
