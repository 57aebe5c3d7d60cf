import type { Millis } from '../clock.js';
import type { Contract } from './contract.js';
import type { DatabaseGroup, DatabaseInstance, GroupRecord, InstanceStatus } from '../group.js';
import { hasPosition, type LogPosition } from '../position.js';

/** One proxy's knowledge of a group, used for routing. */
export interface GroupView {
  readonly group: DatabaseGroup;
  readonly record: GroupRecord | undefined;
  /** Latest statuses of the reachable instances. */
  readonly statuses: ReadonlyMap<string, InstanceStatus>;
  /** Returns an upper bound on the age of an instance's data; undefined when unknown. */
  findAge(instance: string, now: Millis): Millis | undefined;
  /** Expected wait for a free slot of the instance: learned cost times queue. */
  findExpectedWait(instance: string): Millis;
  /** Cost of a typical statement; a read waits this long for a replica before it costs a write. */
  readonly typicalCostMs?: Millis;
}

/** The router's view of a group. How freshness is determined depends on the kind of group. */
export abstract class RoutingView {
  /** Lists the instances that are not leaving, including the primary. */
  abstract listInstances(): readonly DatabaseInstance[];

  /** Returns the instance that may take writes. */
  abstract findPrimary(): string | undefined;

  /** True when the instance's data is expected to be recent enough for the request. */
  abstract isFresh(instance: string, request: RouteRequest, now: Millis): boolean;

  /** True when the instance's log has reached the request's minimum position. */
  abstract hasMinPosition(instance: string, request: RouteRequest): boolean;

  /** Expected wait for a free slot of the instance: learned cost times queue. */
  abstract findExpectedWait(instance: string): Millis;

  /** Cost of a typical statement; a read waits this long for a replica before it costs a write. */
  abstract readTypicalCost(): Millis;

  /** True while work that only the primary may serve waits for it. */
  isPrimaryNeeded(): boolean {
    return false;
  }
}

/** The properties of a statement that determine its route. */
export interface RouteRequest {
  readonly kind: 'read' | 'write';
  readonly contract: Contract;
  /** The statement must see all log entries up to this position. */
  readonly minPosition: LogPosition;
}

/** Instances that may run the statement, best first, or the reason why none can at present. */
export type Route =
  | { readonly kind: 'instances'; readonly instances: readonly string[]; readonly reason: string }
  | { readonly kind: 'wait'; readonly reason: string };

/** Returns the instance that may take writes, once it confirms the term of the group's record. */
export function findPrimary(view: GroupView): string | undefined {
  const { record } = view;
  if (record?.phase !== 'named' || !record.primary) return undefined;
  const status = view.statuses.get(record.primary);
  if (!status || status.role !== 'primary') return undefined;
  const leads = status.durable.term === record.term && status.fenceTerm <= record.term;
  return leads ? record.primary : undefined;
}

/** Routing view that determines freshness from the statuses that instances report. */
export class StatusView extends RoutingView {
  constructor(private readonly view: GroupView) {
    super();
  }

  override listInstances(): readonly DatabaseInstance[] {
    return this.view.group.instances.filter(({ leaving }) => !leaving);
  }

  override findPrimary(): string | undefined {
    return findPrimary(this.view);
  }

  override isFresh(instance: string, request: RouteRequest, now: Millis): boolean {
    const age = this.view.findAge(instance, now);
    const isYoung = age !== undefined && age <= request.contract.maxAgeMs;
    return isYoung && this.hasMinPosition(instance, request);
  }

  override hasMinPosition(instance: string, { minPosition }: RouteRequest): boolean {
    const status = this.view.statuses.get(instance);
    return status !== undefined && hasPosition(status.applied, minPosition);
  }

  override findExpectedWait(instance: string): Millis {
    return this.view.findExpectedWait(instance);
  }

  override readTypicalCost(): Millis {
    return this.view.typicalCostMs ?? 0;
  }
}

/** Chooses the instances that may run a statement. */
export class Router {
  constructor(private readonly zone: string) {}

  /** Routes one statement; the caller of this method retries a `wait` until its deadline. */
  route(request: RouteRequest, view: RoutingView, now: Millis): Route {
    const primary = view.findPrimary();
    if (request.kind === 'write' || request.contract.maxAgeMs <= 0) {
      return this.routeToPrimary(request, view, primary);
    }
    const replicas = this.findFreshReplicas(request, view, primary, now);
    // A primary that was replaced without this proxy's knowledge can be as stale as a replica.
    const hasPrimary = primary !== undefined && view.isFresh(primary, request, now);
    if (replicas.length === 0 && !hasPrimary) {
      return { kind: 'wait', reason: 'no instance is fresh enough' };
    }
    if (!hasPrimary) return { kind: 'instances', instances: replicas, reason: 'replica' };
    if (replicas.length === 0) {
      return { kind: 'instances', instances: [primary], reason: 'no replica is fresh enough' };
    }
    const primaryWait = view.findExpectedWait(primary) + view.readTypicalCost();
    const isSooner = !view.isPrimaryNeeded() && this.findLeastWait(replicas, view) > primaryWait;
    // Only writes need the primary, so a read uses it only if every replica is expected later.
    if (!isSooner) return { kind: 'instances', instances: replicas, reason: 'replica' };
    const reason = 'replica, or the primary when it is free first';
    return { kind: 'instances', instances: [...replicas, primary], reason };
  }

  private findLeastWait(instances: readonly string[], view: RoutingView): Millis {
    return Math.min(...instances.map((id) => view.findExpectedWait(id)));
  }

  private routeToPrimary(
    request: RouteRequest,
    view: RoutingView,
    primary: string | undefined,
  ): Route {
    if (!primary) return { kind: 'wait', reason: 'no primary' };
    if (!view.hasMinPosition(primary, request)) {
      return { kind: 'wait', reason: 'the primary is behind the session' };
    }
    return { kind: 'instances', instances: [primary], reason: 'primary' };
  }

  private findFreshReplicas(
    request: RouteRequest,
    view: RoutingView,
    primary: string | undefined,
    now: Millis,
  ): readonly string[] {
    return view
      .listInstances()
      .filter(({ id }) => id !== primary && view.isFresh(id, request, now))
      .sort((a, b) => this.compareInstances(a, b, view))
      .map(({ id }) => id);
  }

  private compareInstances(a: DatabaseInstance, b: DatabaseInstance, view: RoutingView): number {
    const near = Number(b.zone === this.zone) - Number(a.zone === this.zone);
    const wait = view.findExpectedWait(a.id) - view.findExpectedWait(b.id);
    // Waits that differ by less than a typical statement are equal, so the zone decides.
    const isClose = Math.abs(wait) < view.readTypicalCost();
    return (isClose && near ? near : wait || near) || a.id.localeCompare(b.id);
  }
}
