import {
  type Contract,
  type DatabaseInstance,
  findPrimary,
  type GroupView,
  LOG_START,
  type Millis,
  type Route,
  Router,
  StatusView,
} from '@shallotpick/core';

/** Whether an instance is eligible for a request now, and why. */
export interface RouteCandidate {
  readonly instance: string;
  readonly eligible: boolean;
  readonly reason: string;
}

/** A route and the eligibility of each instance of the group. */
export interface RouteExplanation {
  readonly route: Route;
  readonly candidates: readonly RouteCandidate[];
}

function findReason(
  instance: DatabaseInstance,
  contract: Contract,
  kind: 'read' | 'write',
  view: GroupView,
  now: Millis,
): string {
  const { id, leaving } = instance;
  if (!view.statuses.has(id)) return 'does not answer';
  const isPrimary = findPrimary(view) === id;
  if (kind === 'write') return isPrimary ? 'takes the writes' : 'is not the primary';
  if (contract.maxAgeMs <= 0) {
    return isPrimary ? 'is the primary' : 'the contract asks for the primary';
  }
  if (isPrimary) return 'is the primary, after the replicas';
  if (leaving) return 'is leaving';
  const age = view.findAge(id, now);
  if (age === undefined) return 'the age of its data is unknown';
  const rounded = Math.ceil(age);
  return age <= contract.maxAgeMs
    ? `its data is at most ${rounded} ms old`
    : `its data may be ${rounded} ms old; allowed: ${contract.maxAgeMs} ms`;
}

/** Explains where a request under a contract would run now, in a session without earlier writes. */
export function explainRoute(
  view: GroupView,
  contract: Contract,
  kind: 'read' | 'write',
  zone: string,
  now: Millis,
): RouteExplanation {
  const route = new Router(zone).route(
    { kind, contract, minPosition: LOG_START },
    new StatusView(view),
    now,
  );
  const chosen = route.kind === 'instances' ? route.instances : [];
  const candidates = view.group.instances.map((instance) => ({
    instance: instance.id,
    eligible: chosen.includes(instance.id),
    reason: findReason(instance, contract, kind, view, now),
  }));
  return { route, candidates };
}
