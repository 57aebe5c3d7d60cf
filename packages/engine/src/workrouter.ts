import {
  chooseLater,
  type Clock,
  formatPosition,
  type LogPosition,
  type Millis,
  type PositionSamples,
  type Route,
  Router,
} from '@shallotpick/core';
import type { Refusal, WorkRequest } from './dispatcher.js';
import { NotRunError } from './errors.js';
import type { Log } from './log.js';
import type { Member } from './member.js';
import type { Metrics } from './metrics.js';
import { VerifiedView } from './view.js';
import type { WorkEvidence } from './workevidence.js';
import type { ZoneRequest, ZoneRouter } from './zonerouter.js';

/** Fraction of the allowed age that is reserved for queueing and network time. */
const AGE_MARGIN = 0.15;
/** Expected time from the loss of a leader until its successor accepts writes. */
const FAILOVER_MS: Millis = 1_500;
/** Expected time from the start of the process until it is connected to the instances. */
const STARTUP_MS: Millis = 600;

/** Log positions that a read requires; both are undefined when only the leader will do. */
interface RequiredPositions {
  /** Log position that meets the allowed age. */
  readonly fresh: LogPosition | undefined;
  /** The later of `fresh` and the session's last commit. */
  readonly after: LogPosition | undefined;
}

/** Services of a group's work router and its view of the group. */
export interface WorkRouterOptions {
  /** Name of the group. */
  readonly group: string;
  /** Zone of this VM. */
  readonly zone: string;
  /** Clock that includes suspensions of the VM. */
  readonly ageClock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Positions of the leader. */
  readonly samples: PositionSamples;
  readonly listMembers: () => readonly Member[];
  /** Returns the confirmed leader when it may receive work. */
  readonly findLeader: (now: Millis) => Member | undefined;
  /** True while work that only the leader may serve waits for it. */
  readonly isLeaderNeeded: () => boolean;
  /** Decides which reads leave the zone; undefined when the settings turn that off. */
  readonly zoneRouter: ZoneRouter | undefined;
  /** What callers' work tells of the instances. */
  readonly evidence: WorkEvidence;
}

/** Chooses the instances that may serve one group's work, and logs the choice. */
export class WorkRouter {
  private readonly router: Router;

  private leaderLostAt: Millis;

  constructor(
    private readonly options: WorkRouterOptions,
    now: Millis,
  ) {
    this.router = new Router(options.zone);
    this.leaderLostAt = now - FAILOVER_MS + STARTUP_MS;
  }

  /** Notes the time while the group has a leader. */
  handleTick(now: Millis): void {
    if (this.options.findLeader(now)) this.leaderLostAt = now;
  }

  /**
   * Refuses work at once when no instance is expected to serve it before its deadline.
   *
   * @throws NotRunError when the work is refused.
   */
  checkServable(request: WorkRequest, now: Millis): void {
    if (this.route(request, now).kind === 'instances') return;
    const remaining = Math.max(0, this.leaderLostAt + FAILOVER_MS - now);
    const isHopeless = now + remaining >= request.deadline || now - this.leaderLostAt > FAILOVER_MS;
    if (isHopeless) throw new NotRunError('no instance can serve this now');
  }

  /** Finds the instances that may serve the work; bounded reads avoid those that fail work. */
  route(request: WorkRequest, now: Millis): Route {
    const { excluded } = request;
    if (request.kind === 'write' || request.contract.maxAgeMs <= 0) {
      return this.routeWithout(excluded, request, now);
    }
    const { evidence, listMembers, findLeader } = this.options;
    const avoided = evidence.listAvoided(listMembers(), findLeader(now), now);
    const route = this.routeWithout(new Set([...excluded, ...avoided]), request, now);
    if (avoided.size === 0 || route.kind === 'instances') return route;
    return this.routeWithout(excluded, request, now);
  }

  private routeWithout(excluded: ReadonlySet<string>, request: WorkRequest, now: Millis): Route {
    const { after, fresh: freshPosition } = this.findPositions(request);
    const { lastCommit } = request;
    const leader = this.options.findLeader(now);
    const members = this.options.listMembers();
    const view = new VerifiedView({
      ...{ members, leader, after, freshPosition, lastCommit, excluded, now },
      isLeaderNeeded: this.options.isLeaderNeeded(),
    });
    const minPosition = after ?? { term: 0, offset: 0 };
    const route = this.router.route({ ...request, minPosition }, view, now);
    const marginMs = view.readTypicalCost();
    return this.rankByZone(route, { objective: request.objective, marginMs }, now);
  }

  /** Ranks the replicas of a route by zone; the leader stays behind them. */
  private rankByZone(route: Route, request: ZoneRequest, now: Millis): Route {
    const { zoneRouter, listMembers, findLeader } = this.options;
    if (!zoneRouter || route.kind !== 'instances' || route.instances.length < 2) return route;
    const leader = findLeader(now)?.id;
    const members = new Map(listMembers().map((member) => [member.id, member]));
    const replicas = route.instances.flatMap((id) =>
      id === leader ? [] : (members.get(id) ?? []),
    );
    const rest = route.instances.filter((id) => id === leader);
    return { ...route, instances: [...zoneRouter.rank(replicas, request, now), ...rest] };
  }

  /** Finds the log positions that a read requires. */
  findPositions({ kind, contract, lastCommit }: WorkRequest): RequiredPositions {
    if (kind === 'write' || contract.maxAgeMs <= 0) return { fresh: undefined, after: undefined };
    const since = this.options.ageClock.readNow() - contract.maxAgeMs * (1 - AGE_MARGIN);
    const fresh = this.options.samples.findSince(since)?.position;
    if (!fresh) return { fresh: undefined, after: undefined };
    return {
      fresh,
      after: lastCommit ? chooseLater(fresh, lastCommit.position) : fresh,
    };
  }

  /** Logs a routing decision with its reason and the age of the newest leader position. */
  logRoute(request: WorkRequest, instance: string, reason: string, waitedMs: Millis): void {
    const { group, log, metrics, ageClock, samples } = this.options;
    const { requestId, kind, contract, priority, version } = request;
    metrics.queueWait.observe({ priority, outcome: 'started' }, waitedMs / 1_000);
    metrics.statements.inc({ target: reason.startsWith('replica') ? 'replica' : 'leader' });
    const { after } = this.findPositions(request);
    const newest = samples.readLatest();
    log.info('route', {
      ...{ request: requestId, group, kind, maxAgeMs: contract.maxAgeMs, version },
      ...{ instance, reason, waitedMs: Math.round(waitedMs) },
      ...(after ? { after: formatPosition(after) } : {}),
      ...(newest ? { leaderSeenMsAgo: Math.round(ageClock.readNow() - newest.takenAt) } : {}),
    });
  }

  /** Logs a refusal with the rank of the work and the expectation for which it was refused. */
  logRefusal({ request, cause, reason, waitedMs, expectedWaitMs, limitMs }: Refusal): void {
    const { group, log, metrics } = this.options;
    const { requestId, kind, caller, priority } = request;
    metrics.queueWait.observe({ priority, outcome: 'refused' }, waitedMs / 1_000);
    metrics.queueRefusals.inc({ cause, priority });
    log.info('refused in queue', {
      ...{ request: requestId, group, kind, caller, priority, cause, reason },
      waitedMs: Math.round(waitedMs),
      ...(expectedWaitMs === undefined ? {} : { expectedWaitMs: Math.round(expectedWaitMs) }),
      ...(limitMs === undefined ? {} : { limitMs: Math.round(limitMs) }),
    });
  }
}
