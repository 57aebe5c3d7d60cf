import { expect } from 'earl';
import fc from 'fast-check';
import type { OperationRate, PermitClient, PermitLender, PermitRequest } from '../src/index.js';
import { type Parts, PermitFleet, RULE } from './permitfleet.js';

const RUNS = 1_000;
/** Enough for each broken version. */
const MUTANT_RUNS = 300;
const SEED = 45;
const STEP_S = 0.02;
const BREAK_MS = 1_500;
const FOREVER_MS = 1_000_000;
/** Time for 10,000 runs on a busy machine. */
const TIMEOUT_MS = 900_000;

type Event =
  | { readonly kind: 'pause' | 'restart'; readonly share: number; readonly forMs: number }
  | { readonly kind: 'cut' | 'view'; readonly share: number }
  | { readonly kind: 'rate'; readonly rate: OperationRate }
  /** The demand changes, and may come through other VMs. */
  | { readonly kind: 'callers'; readonly demand: number; readonly entries: number }
  | { readonly kind: 'loseLender' | 'pauseLender' | 'cutLender' | 'heal' };

interface Scenario {
  readonly size: number;
  readonly seed: number;
  readonly rate: OperationRate;
  /** Demand in relation to the limit. */
  readonly demand: number;
  readonly entries: number;
  readonly loss: number;
  readonly events: readonly Event[];
}

/** xorshift32 */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state ^= state << 13;
    state ^= state >>> 17;
    state ^= state << 5;
    return (state >>> 0) / 2 ** 32;
  };
}

const seed = fc.integer({ min: 1, max: 2 ** 31 - 1 });
const rate = fc.record({
  ratePerSecond: fc.integer({ min: 0, max: 60 }),
  burst: fc.integer({ min: 0, max: 60 }),
});
const share = fc.double({ min: 0, max: 1, noNaN: true });
const drawnDemand = fc.oneof(
  fc.constantFrom(0, 1, 8),
  fc.double({ min: 0.5, max: 4, noNaN: true }),
);
/** VMs that callers come through; below 0 those are the last ones. */
const drawnEntries = fc.constantFrom(-36, -5, -1, 1, 3, 36);
const event: fc.Arbitrary<Event> = fc.oneof(
  fc.record({
    kind: fc.constantFrom('pause' as const, 'restart' as const),
    share,
    forMs: fc.integer({ min: 20, max: 3_000 }),
  }),
  fc.record({ kind: fc.constantFrom('cut' as const, 'view' as const), share }),
  fc.record({ kind: fc.constant('rate' as const), rate }),
  fc.record({
    kind: fc.constant('callers' as const),
    demand: drawnDemand,
    entries: drawnEntries,
  }),
  fc.record({
    kind: fc.constantFrom(
      'loseLender' as const,
      'pauseLender' as const,
      'cutLender' as const,
      'heal' as const,
    ),
  }),
);
const scenario: fc.Arbitrary<Scenario> = fc.record({
  size: fc.oneof(
    { weight: 9, arbitrary: fc.integer({ min: 3, max: 9 }) },
    { weight: 1, arbitrary: fc.integer({ min: 10, max: 36 }) },
  ),
  seed,
  rate,
  demand: drawnDemand,
  entries: drawnEntries,
  loss: fc.constantFrom(0, 0.02, 0.2),
  events: fc.array(event, { maxLength: 8 }),
});

function computeOwed({ ratePerSecond, burst }: OperationRate): number {
  return (ratePerSecond * RULE.windowMs) / 1_000 + burst;
}

function computeAllowed(limit: OperationRate): number {
  return computeOwed(limit) * (1 + RULE.excess) + RULE.slack;
}

/** Spreads a demand over the first VMs, unevenly: each has half of what the one before it has. */
function createArrivals(
  fleet: PermitFleet,
  entries: number,
  readDemand: () => number,
  random: () => number,
): (vm: string) => number {
  const names = entries < 0 ? fleet.names.slice(entries) : fleet.names.slice(0, entries);
  const total = 2 - 2 ** (1 - names.length);
  return (vm) => {
    const index = names.indexOf(vm);
    if (index < 0) return 0;
    const expected = (readDemand() * STEP_S) / (2 ** index * total);
    return Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
  };
}

function applyEvent(
  fleet: PermitFleet,
  next: Exclude<Event, { readonly kind: 'callers' }>,
  random: () => number,
): void {
  const pick = (portion: number): readonly string[] => fleet.names.filter(() => random() < portion);
  const lender = fleet.findLender();
  switch (next.kind) {
    case 'pause':
      pick(next.share).forEach((vm) => fleet.pause(vm, next.forMs));
      break;
    case 'restart':
      pick(next.share).forEach((vm) => {
        fleet.restart(vm);
        fleet.pause(vm, next.forMs);
      });
      break;
    case 'cut':
      fleet.cut(pick(next.share));
      break;
    case 'view': {
      const missing = new Set(fleet.names.slice(0, Math.floor(fleet.names.length / 5)));
      pick(next.share).forEach((vm) =>
        fleet.setView(
          vm,
          fleet.names.filter((one) => one === vm || !missing.has(one)),
        ),
      );
      break;
    }
    case 'rate':
      fleet.updateRate(next.rate);
      break;
    case 'heal':
      fleet.cut([]);
      fleet.names.forEach((vm) => fleet.setView(vm, fleet.names));
      break;
    case 'loseLender':
      if (lender) fleet.restart(lender);
      break;
    case 'pauseLender':
      if (lender) fleet.pause(lender, BREAK_MS);
      break;
    default:
      if (lender) fleet.cut([lender]);
  }
}

/** Plays a scenario; returns by how much a window exceeds what the rule allows, at most 0 if none. */
function findExcess(drawn: Scenario, parts: Parts = {}): number {
  const random = createRandom(drawn.seed);
  const fleet = new PermitFleet(drawn.size, drawn.rate, random, parts, drawn.loss);
  const create = (portion: number, count: number): ((vm: string) => number) =>
    createArrivals(fleet, count, () => (portion * computeOwed(fleet.rate)) / 5 + 1, random);
  let arrivals = create(drawn.demand, drawn.entries);
  let excess = Number.NEGATIVE_INFINITY;
  let since = 0;
  const check = (): void => {
    excess = Math.max(excess, fleet.findLargestWindow(since) - computeAllowed(fleet.rate));
  };
  fleet.advance(9_000, arrivals);
  drawn.events.forEach((next) => {
    // A lower limit binds once a window has passed.
    if (next.kind === 'rate') {
      check();
      since = fleet.now + RULE.windowMs;
    }
    if (next.kind === 'callers') arrivals = create(next.demand, next.entries);
    else applyEvent(fleet, next, random);
    fleet.advance(300 + random() * 2 * BREAK_MS, arrivals);
  });
  fleet.advance(8_000, arrivals);
  check();
  return excess;
}

function checkRule(parts: Parts, numRuns: number): fc.RunDetails<[Scenario]> {
  const property = fc.property(scenario, (drawn) => findExcess(drawn, parts) <= 0);
  return fc.check(property, { seed: SEED, numRuns, endOnFailure: true });
}

/** A holder that ignores the end of its permits. */
function holdPermits(client: PermitClient): PermitClient {
  const { holder } = client;
  const handleAnswer = holder.handleAnswer.bind(holder);
  holder.handleAnswer = (answer, sentAt, now) => handleAnswer(answer, sentAt + FOREVER_MS, now);
  return client;
}

/** A holder that starts five operations a window without a lender. */
function raiseFloor(client: PermitClient): PermitClient {
  const { holder } = client;
  let startedAt = Number.NEGATIVE_INFINITY;
  holder.takeFloor = (organisation, _, now) => {
    if (now - startedAt < RULE.windowMs / 5) return undefined;
    startedAt = now;
    return { organisation, endsAt: now };
  };
  return client;
}

/** A lender that starts as if nothing had been issued before. */
function clearAccounts(lender: PermitLender): PermitLender {
  const strip = ({ copy, ...rest }: PermitRequest): PermitRequest => ({
    ...rest,
    uptimeMs: Number.MAX_SAFE_INTEGER,
    copy: copy && { ...copy, accounts: {} },
  });
  const handleRequest = lender.handleRequest.bind(lender);
  return Object.assign(lender, {
    handleRequest: (vm: string, request: PermitRequest, now: number) =>
      handleRequest(vm, strip(request), now),
  });
}

describe('permits of operations', () => {
  // Guards against more operations than the rule allows, whatever fails.
  it('keep every window within the rule', function keepRule() {
    this.timeout(TIMEOUT_MS);
    const { counterexample } = checkRule({}, Number(process.env.PERMIT_RUNS ?? RUNS));
    expect(counterexample).toEqual(null);
  });

  // Guards against a check that can't see a violation.
  it('break the rule in each broken version', function findMutants() {
    this.timeout(TIMEOUT_MS);
    const found = [
      { createClient: holdPermits },
      { createClient: raiseFloor },
      { createLender: clearAccounts },
    ].map((parts) => checkRule(parts, MUTANT_RUNS).failed);
    expect(found).toEqual([true, true, true]);
  });

  // Guards against a limit that is lent too cautiously, or kept by VMs that don't need it.
  it('use the limit under a demand through few VMs', () => {
    const random = createRandom(SEED);
    const limit = { ratePerSecond: 40, burst: 30 };
    const fleet = new PermitFleet(30, limit, random);
    const demand = (1.5 * computeOwed(limit)) / 5;
    const arrivals = createArrivals(fleet, 3, () => demand, random);
    fleet.advance(15_000, arrivals);
    fleet.advance(50_000, arrivals);
    const windows = fleet.countStarts(15_000, 65_000) / 10;
    expect(windows >= 0.95 * computeOwed(limit)).toEqual(true);
  });
});
