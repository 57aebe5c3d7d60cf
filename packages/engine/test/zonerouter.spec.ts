import {
  DEFAULT_CONTRACT,
  ManualClock,
  type Millis,
  PositionSamples,
  ZoneBudget,
} from '@shallotpick/core';
import { expect } from 'earl';
import {
  createEngineLog,
  Member,
  type MemberParts,
  Metrics,
  WorkEvidence,
  WorkRouter,
  ZoneRouter,
} from '../src/index.js';

const POSITION = { term: 1, offset: 5 };
const OBJECTIVE_MS = 200;
const STEP_MS = 200;
const SLOW_MS = 150;
const FAST_MS = 8;
const BUDGET = 100_000;

const createMember = (id: string, zone: string, latencyMs: Millis): Member => {
  const probe = { health: 'answering', position: POSITION };
  const parts = { pool: {}, probe } as unknown as MemberParts;
  const instance = {
    ...{ id, zone, group: 'g', host: 'h', port: 1, slots: 4, connectionLimit: 40 },
    ...{ leaving: false, role: 'replica' as const, startedAt: 1 },
  };
  const member = new Member(instance, parts);
  for (let sample = 0; sample < 50; sample++) member.recordLatency(latencyMs, 0);
  return member;
};

/** Routes reads of a VM in zone `a`, whose replica is slow, and returns the instance of each. */
const routeReads = async (budget: ZoneBudget | undefined): Promise<readonly string[]> => {
  const clock = new ManualClock(STEP_MS);
  const log = createEngineLog('error', 'test');
  const metrics = new Metrics();
  const leader = createMember('leader', 'c', FAST_MS);
  const members = [createMember('near', 'a', SLOW_MS), createMember('far', 'b', FAST_MS), leader];
  const samples = new PositionSamples();
  samples.add({ position: POSITION, takenAt: 0 });
  const common = { group: 'g', zone: 'a', log, metrics };
  const zoneRouter = budget && new ZoneRouter({ ...common, budget });
  const router = new WorkRouter(
    {
      ...{ ...common, ageClock: clock, samples, zoneRouter },
      evidence: new WorkEvidence(common),
      listMembers: () => members,
      findLeader: () => leader,
      isLeaderNeeded: () => false,
    },
    0,
  );
  return Array.from({ length: 60 }, () => {
    const now = clock.advance(STEP_MS / 4);
    members.forEach((member) =>
      member.recordLatency(member.id === 'near' ? SLOW_MS : FAST_MS, now),
    );
    const request = {
      ...{ requestId: 'r', contract: { ...DEFAULT_CONTRACT, maxAgeMs: 60_000 }, caller: 'c' },
      ...{ kind: 'read' as const, lastCommit: undefined, excluded: new Set<string>() },
      ...{ organisation: undefined, database: 'd', priority: 1 },
      ...{ objective: now + OBJECTIVE_MS, deadline: now + OBJECTIVE_MS },
    };
    const route = router.route(request, now);
    const [first = 'none'] = route.kind === 'instances' ? route.instances : [];
    const member = members.find(({ id }) => id === first);
    if (member) zoneRouter?.handleStart(member, now);
    return first;
  });
};

describe('ZoneRouter', () => {
  // All VMs of a zone left a slow instance at the same moment and filled the next one.
  it('moves the reads of a slow instance to another zone by and by', async () => {
    const chosen = await routeReads(new ZoneBudget(BUDGET));
    const countFar = (from: number): number =>
      chosen.slice(from, from + 20).filter((id) => id === 'far').length;
    expect(countFar(0)).toBeLessThan(countFar(20));
    expect(countFar(20)).toBeLessThan(countFar(40));
    expect(chosen).not.toInclude('leader');
  });

  it('routes as without zones when the settings turn it off', async () => {
    expect(new Set(await routeReads(undefined)).size).toEqual(1);
  });
});
