import { DEFAULT_CONTRACT, type Millis } from '@shallotpick/core';
import type { WorkRequest } from '@shallotpick/engine';
import type { ForwardedRequest } from './message.js';

/** Converts a request for a link; times are told as spans, since clocks of two VMs differ. */
export function toForwardedRequest(request: WorkRequest, now: Millis): ForwardedRequest {
  const { requestId, kind, caller, priority, database, organisation, isTransaction } = request;
  const { contract, deadline, objective, lastCommit, excluded, version } = request;
  return {
    ...{ requestId, kind, caller, priority, database },
    ...(organisation === undefined ? {} : { organisation }),
    ...(isTransaction ? { isTransaction } : {}),
    ...(version === undefined ? {} : { version }),
    objectiveMs: objective - now,
    maxAgeMs: contract.maxAgeMs,
    remainingMs: deadline - now,
    excluded: [...excluded],
    ...(lastCommit
      ? { lastCommit: { position: lastCommit.position, ageMs: now - lastCommit.acknowledgedAt } }
      : {}),
  };
}

/** Converts a request that came over a link. */
export function toWorkRequest(request: ForwardedRequest, now: Millis): WorkRequest {
  const { requestId, kind, caller, priority, lastCommit, excluded, organisation } = request;
  const { database = '', objectiveMs = request.remainingMs, isTransaction, version } = request;
  return {
    ...{ requestId, kind, caller, priority, organisation, database, isTransaction, version },
    objective: now + objectiveMs,
    contract: { ...DEFAULT_CONTRACT, maxAgeMs: request.maxAgeMs },
    deadline: now + request.remainingMs,
    lastCommit: lastCommit && {
      position: lastCommit.position,
      acknowledgedAt: now - lastCommit.ageMs,
    },
    excluded: new Set(excluded),
  };
}
