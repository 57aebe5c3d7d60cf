import type { Millis } from './clock.js';
import type { Contract } from './contract.js';
import type { DatabaseGroup, DatabaseInstance, GroupRecord, InstanceStatus } from './group.js';
import { hasPosition, type LogPosition } from './position.js';

/** What one proxy knows of a group when it routes. */
export interface GroupView {
  readonly group: DatabaseGroup;
  readonly record: GroupRecord | undefined;
  /** Latest statuses of the instances that answer. */
  readonly statuses: ReadonlyMap<string, InstanceStatus>;
  /** Upper bound on the age of an instance's data; undefined when unknown. */
  findAge(instance: string, now: Millis): Millis | undefined;
  /** Expected wait for a free slot of the instance. */
  findExpectedWait(instance: string): Millis;
}

export interface RouteRequest {
  readonly kind: 'read' | 'write';
  readonly contract: Contract;
  /** Everything up to here must be visible to the statement. */
  readonly floor: LogPosition;
}

/** Instances that may run the work, best first, or the reason why none can now. */
export type Route =
  | { readonly kind: 'instances'; readonly instances: readonly string[]; readonly reason: string }
  | { readonly kind: 'wait'; readonly reason: string };

/** The instance that may take writes, once it confirms the term of the group's record. */
export function findPrimary(view: GroupView): string | undefined {
  const { record } = view;
  if (record?.phase !== 'named' || !record.primary) return undefined;
  const status = view.statuses.get(record.primary);
  if (!status || status.role !== 'primary') return undefined;
  const leads = status.durable.term === record.term && status.fenceTerm <= record.term;
  return leads ? record.primary : undefined;
}

/** Chooses the instances for each statement. */
export class Router {
  constructor(private readonly zone: string) {}

  /** Routes one statement; the caller of this method retries a `wait` until its deadline. */
  route(request: RouteRequest, view: GroupView, now: Millis): Route {
    const primary = findPrimary(view);
    if (request.kind === 'write' || request.contract.maxAgeMs <= 0) {
      return this.routeToPrimary(request, view, primary);
    }
    const replicas = this.findFreshReplicas(request, view, primary, now);
    // A primary that was replaced without this proxy's knowledge is as stale as any replica.
    const hasFallback =
      primary !== undefined &&
      this.hasFloor(view, primary, request.floor) &&
      this.hasAge(view, primary, request, now);
    const instances = hasFallback ? [...replicas, primary] : replicas;
    if (instances.length === 0) return { kind: 'wait', reason: 'no instance is fresh enough' };
    return { kind: 'instances', instances, reason: replicas.length > 0 ? 'replica' : 'fallback' };
  }

  private routeToPrimary(
    request: RouteRequest,
    view: GroupView,
    primary: string | undefined,
  ): Route {
    if (!primary) return { kind: 'wait', reason: 'no primary' };
    if (!this.hasFloor(view, primary, request.floor)) {
      return { kind: 'wait', reason: 'the primary is behind the session' };
    }
    return { kind: 'instances', instances: [primary], reason: 'primary' };
  }

  private hasFloor(view: GroupView, instance: string, floor: LogPosition): boolean {
    const status = view.statuses.get(instance);
    return status !== undefined && hasPosition(status.applied, floor);
  }

  private hasAge(view: GroupView, instance: string, request: RouteRequest, now: Millis): boolean {
    const age = view.findAge(instance, now);
    return age !== undefined && age <= request.contract.maxAgeMs;
  }

  private findFreshReplicas(
    request: RouteRequest,
    view: GroupView,
    primary: string | undefined,
    now: Millis,
  ): readonly string[] {
    return view.group.instances
      .filter(({ id, leaving }) => id !== primary && !leaving)
      .filter(({ id }) => this.hasFloor(view, id, request.floor))
      .filter(({ id }) => this.hasAge(view, id, request, now))
      .sort((a, b) => this.compareInstances(a, b, view))
      .map(({ id }) => id);
  }

  private compareInstances(a: DatabaseInstance, b: DatabaseInstance, view: GroupView): number {
    const wait = view.findExpectedWait(a.id) - view.findExpectedWait(b.id);
    const near = Number(b.zone === this.zone) - Number(a.zone === this.zone);
    return wait || near || a.id.localeCompare(b.id);
  }
}
