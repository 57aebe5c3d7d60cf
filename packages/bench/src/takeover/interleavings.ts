import {
  type AcknowledgedCommit,
  type CommitGate,
  type ConnectionTrace,
  isDurable,
  type LogPosition,
} from '@shallotpick/core';

/** The former leader, and the replicas. */
const LEADER = 'l';
const REPLICAS = ['a', 'b'] as const;
type Replica = (typeof REPLICAS)[number];

const BEFORE: LogPosition = { term: 1, offset: 1 };
const COMMIT: LogPosition = { term: 1, offset: 2 };
/** Term of the orders to stop. */
const FENCE_TERM = 2;
/** Longer than an order of a settled claim may be in flight. */
const QUIET_MS = 20_000;
/** The caller's VM reads the record at most so often. */
const MAX_READS = 2;
/** When the settled record was read that the VM knows of at first. */
const SETTLED_AT = 10;

/** One step of the group, of the VM that holds the claim, of the caller's VM, or of a fault. */
type Step =
  | 'append'
  | 'acknowledge'
  | 'read'
  | 'claim'
  | 'stepDown'
  | 'order'
  | 'promote'
  | 'restart l'
  | `${'receive' | 'ask' | 'pause' | 'restart' | 'lateResume'} ${Replica}`;

const FAULTS: ReadonlySet<Step> = new Set<Step>([
  'restart l',
  ...REPLICAS.flatMap((id): readonly Step[] => [`restart ${id}`, `lateResume ${id}`]),
]);

/** What the caller's VM has seen, in this order. */
type Observation =
  | { readonly kind: 'acknowledged'; readonly process: number }
  | { readonly kind: 'settled' }
  | {
      readonly kind: 'report';
      readonly id: string;
      readonly process: number;
      readonly holds: boolean;
      readonly isHeld: boolean;
    };

/** A group of three logs with one commit, one takeover, and two VMs. */
interface World {
  /** Ids of the instances whose logs hold the commit. */
  readonly holders: readonly string[];
  /** Replicas that receive nothing. */
  readonly held: readonly Replica[];
  /** How often each instance has started again. */
  readonly restarts: Readonly<Record<string, number>>;
  readonly leads: boolean;
  readonly isAppended: boolean;
  readonly isClaimed: boolean;
  /** What the holder was told under its claim: whether each log held the commit. */
  readonly reports: Readonly<Record<string, boolean>>;
  readonly candidate: Replica | undefined;
  readonly isPromoted: boolean;
  readonly faults: number;
  readonly observations: readonly Observation[];
  readonly isHandedOn: boolean;
}

/** Which runs are walked through. */
export interface InterleavingOptions {
  readonly createGate: () => CommitGate;
  readonly maxFaults: number;
  /** Whether the caller's VM reaches the store. */
  readonly hasStore: boolean;
  /** Whether orders of an earlier claim to receive again may still be in flight. */
  readonly hasLateOrders: boolean;
}

/** The result of walking through all runs. */
export interface InterleavingReport {
  readonly states: number;
  /** Steps after which a commit that was handed on is lost; undefined if there are none. */
  readonly lost: readonly string[] | undefined;
}

const START: World = {
  ...{ holders: [], held: [], restarts: {}, leads: true, isAppended: false, isClaimed: false },
  ...{ reports: {}, candidate: undefined, isPromoted: false, faults: 0, observations: [] },
  isHandedOn: false,
};

const count = (world: World, id: string): number => world.restarts[id] ?? 0;
const holds = (world: World, id: string): boolean => world.holders.includes(id);
const isHeld = (world: World, id: string): boolean => world.held.some((one) => one === id);
const isAcknowledged = ({ observations }: World): boolean =>
  observations.some(({ kind }) => kind === 'acknowledged');

/** Connections of the caller's VM to the processes of an instance, by their number. */
class Connections {
  private readonly opened = new Map<string, ConnectionTrace & { isOpen: boolean }>();

  find(id: string, process: number, now: number): ConnectionTrace {
    const key = `${id}/${process}`;
    const known = this.opened.get(key);
    if (known) return known;
    const former = this.opened.get(`${id}/${process - 1}`);
    if (former) former.isOpen = false;
    const connection = {
      ...{ dialedAt: now, openedAt: now, isOpen: true },
      isUsable: () => connection.isOpen,
    };
    this.opened.set(key, connection);
    return connection;
  }
}

/** Tells whether a gate that has seen the observations lets the commit pass. */
function isPassed(world: World, { createGate, hasLateOrders }: InterleavingOptions): boolean {
  const gate = createGate();
  const connections = new Connections();
  gate.updateInstances([LEADER, ...REPLICAS]);
  [LEADER, ...REPLICAS].forEach((id) => {
    const times = { sentAt: 1, receivedAt: 1, provesLead: id === LEADER };
    gate.handleAnswer(id, connections.find(id, 0, 0), { position: BEFORE, ...times });
  });
  const seenAt = hasLateOrders ? QUIET_MS : SETTLED_AT;
  gate.handleSettledRecord('first', SETTLED_AT, seenAt);
  let commit: AcknowledgedCommit | undefined;
  let now = QUIET_MS;
  return world.observations.some((observation) => {
    now += 1;
    if (observation.kind === 'acknowledged') {
      const connection = connections.find(LEADER, observation.process, now);
      commit = { leader: LEADER, connection, position: COMMIT, acknowledgedAt: now };
      const answer = { position: COMMIT, sentAt: now, receivedAt: now, provesLead: true };
      gate.handleAnswer(LEADER, connection, answer);
    } else if (observation.kind === 'settled') {
      gate.handleSettledRecord('first', now, now);
    } else {
      const { id, process } = observation;
      const received = observation.holds ? COMMIT : BEFORE;
      const heldTerm = observation.isHeld ? FENCE_TERM : 0;
      const report = { role: 'replica', term: 1, received, heldTerm } as const;
      gate.handleReport(id, connections.find(id, process, now), report, now);
    }
    return commit !== undefined && isDurable(gate.decide(commit, now));
  });
}

const observe = (world: World, observation: Observation): World => ({
  ...world,
  observations: [...world.observations, observation],
});

const hasAsked = ({ observations }: World, id: string): boolean =>
  observations.some((one) => one.kind === 'report' && one.id === id);

/** The instance that the holder may name; undefined while it lacks reports. */
function chooseCandidate({ reports }: World): Replica | undefined {
  const paused = REPLICAS.filter((id) => reports[id] !== undefined);
  const best = paused.find((id) => reports[id]) ?? paused[0];
  if (paused.length === REPLICAS.length) return best;
  const end = reports[LEADER];
  return end === undefined || (end && !(best && reports[best])) ? undefined : best;
}

/** Takes a step of one kind; undefined if it can't be taken now. */
type TakeStep = (world: World, target: string, options: InterleavingOptions) => World | undefined;

/** Drops an order to stop of a replica. */
const release = (world: World, target: string): readonly Replica[] =>
  world.held.filter((id) => id !== target);

const append: TakeStep = (world) =>
  world.isAppended || !world.leads ? undefined : { ...world, isAppended: true, holders: [LEADER] };

const receive: TakeStep = (world, target) => {
  const isShipped = holds(world, LEADER) && world.leads && !holds(world, target);
  if (!isShipped || isHeld(world, target)) return undefined;
  return { ...world, holders: [...world.holders, target] };
};

const acknowledge: TakeStep = (world) => {
  if (isAcknowledged(world) || world.holders.length < 2 || !world.leads) return undefined;
  return observe(world, { kind: 'acknowledged', process: count(world, LEADER) });
};

const ask: TakeStep = (world, target) => {
  if (!isAcknowledged(world) || hasAsked(world, target)) return undefined;
  const process = count(world, target);
  const state = { holds: holds(world, target), isHeld: isHeld(world, target) };
  return observe(world, { kind: 'report', id: target, process, ...state });
};

const read: TakeStep = (world, _, { hasStore }) => {
  const reads = world.observations.filter(({ kind }) => kind === 'settled').length;
  if (!hasStore || world.isClaimed || reads >= MAX_READS) return undefined;
  return observe(world, { kind: 'settled' });
};

const claim: TakeStep = (world) => (world.isClaimed ? undefined : { ...world, isClaimed: true });

const pause: TakeStep = (world, target) => {
  if (!world.isClaimed || isHeld(world, target)) return undefined;
  const held = [...world.held, target as Replica];
  // What it tells after the order changes nothing.
  if (world.candidate) return { ...world, held };
  return { ...world, held, reports: { ...world.reports, [target]: holds(world, target) } };
};

const stepDown: TakeStep = (world) => {
  if (!world.isClaimed || !world.leads || world.candidate) return undefined;
  const reports = { ...world.reports, [LEADER]: holds(world, LEADER) };
  return { ...world, leads: false, reports };
};

const order: TakeStep = (world) => {
  const candidate = chooseCandidate(world);
  return world.candidate || !candidate ? undefined : { ...world, candidate };
};

const promote: TakeStep = (world) => {
  const { candidate, holders } = world;
  if (!candidate || world.isPromoted) return undefined;
  const kept = holds(world, candidate) ? holders : [];
  return { ...world, isPromoted: true, leads: false, holders: kept };
};

const restart: TakeStep = (world, target) => ({
  ...world,
  restarts: { ...world.restarts, [target]: count(world, target) + 1 },
  held: release(world, target),
  // A leader that has stepped down leads again, unless another instance was promoted.
  leads: target === LEADER ? !world.isPromoted : world.leads,
});

const lateResume: TakeStep = (world, target, { hasLateOrders }) =>
  hasLateOrders && isHeld(world, target) ? { ...world, held: release(world, target) } : undefined;

const STEP_KINDS: Readonly<Record<string, TakeStep>> = {
  ...{ append, receive, acknowledge, ask, read, claim, pause, stepDown, order, promote },
  ...{ restart, lateResume },
};

/** Takes a step; undefined if it can't be taken now. */
function takeStep(world: World, step: Step, options: InterleavingOptions): World | undefined {
  const [kind = '', target = ''] = step.split(' ');
  return STEP_KINDS[kind]?.(world, target, options);
}

const STEPS: readonly Step[] = [
  ...(['append', 'acknowledge', 'read', 'claim', 'stepDown', 'order', 'promote'] as const),
  'restart l',
  ...REPLICAS.flatMap((id): readonly Step[] => [
    ...([`receive ${id}`, `ask ${id}`, `pause ${id}`, `restart ${id}`] as const),
    `lateResume ${id}`,
  ]),
];

const OTHER: Readonly<Record<string, string>> = { a: 'b', b: 'a' };

/** Writes what matters of a state, with the replicas as they are or under each other's names. */
function encodeState(world: World, isSwapped: boolean): string {
  const rename = (id: string): string => (isSwapped ? (OTHER[id] ?? id) : id);
  const { holders, held, restarts, reports, candidate, observations, ...rest } = world;
  const rewrite = (record: Readonly<Record<string, unknown>>): unknown =>
    Object.entries(record)
      .map(([id, value]) => `${rename(id)}=${String(value)}`)
      .sort();
  return JSON.stringify([
    ...[holders.map(rename).sort(), held.map(rename).sort(), rewrite(restarts), rewrite(reports)],
    ...[candidate && rename(candidate), rest],
    observations.map((one) => (one.kind === 'report' ? { ...one, id: rename(one.id) } : one)),
  ]);
}

/** Writes a state; the two replicas are alike. */
function encodeWorld(world: World): string {
  const [key, swapped] = [encodeState(world, false), encodeState(world, true)];
  return key < swapped ? key : swapped;
}

/** True once the promoted log holds the commit, so that nothing loses it any more. */
const isKept = ({ isPromoted, holders, candidate }: World): boolean =>
  isPromoted && holders.some((id) => id === candidate);

const isLost = ({ isHandedOn, isPromoted, holders, candidate }: World): boolean =>
  isHandedOn && isPromoted && !holders.some((id) => id === candidate);

/**
 * Walks through every order of the steps of one takeover, one commit and a few faults, and looks for
 * a run in which a caller is told of a commit that the promoted log lacks. A state that was reached
 * before is not walked through again.
 */
export function walkInterleavings(options: InterleavingOptions): InterleavingReport {
  const seen = new Set<string>();
  const pending: { readonly world: World; readonly steps: readonly string[] }[] = [
    { world: START, steps: [] },
  ];
  for (let next = pending.pop(); next; next = pending.pop()) {
    const { world, steps } = next;
    for (const step of STEPS) {
      const isFault = FAULTS.has(step);
      if (isFault && world.faults >= options.maxFaults) continue;
      const taken = takeStep(world, step, options);
      if (!taken) continue;
      const counted = { ...taken, faults: world.faults + Number(isFault) };
      const hasSeenMore = counted.observations !== world.observations;
      const isHandedOn = counted.isHandedOn || (hasSeenMore && isPassed(counted, options));
      const reached = { ...counted, isHandedOn };
      if (isLost(reached)) return { states: seen.size, lost: [...steps, step] };
      const key = encodeWorld(reached);
      if (seen.has(key) || isKept(reached)) continue;
      seen.add(key);
      pending.push({ world: reached, steps: [...steps, step] });
    }
  }
  return { states: seen.size, lost: undefined };
}
