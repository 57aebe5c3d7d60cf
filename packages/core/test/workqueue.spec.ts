import { expect } from 'earl';
import fc from 'fast-check';
import {
  type QueueDecision,
  type RankedWork,
  type Route,
  SlotTable,
  WorkCosts,
  WorkQueue,
} from '../src/index.js';

const SLOTS = 4;
const FOREVER = 1e9;
/** Bound of a queue without known costs. */
const MAX_QUEUED = 10_000;

let nextId = 0;

const createWork = (extra: Partial<RankedWork> = {}): RankedWork => {
  nextId += 1;
  return {
    ...{ id: nextId, caller: 'x', length: 'short', routeKey: 'leader', priority: 0 },
    ...{ objective: FOREVER, deadline: FOREVER, costMs: 10 },
    ...extra,
  };
};

const createMany = (count: number, extra: Partial<RankedWork>): readonly RankedWork[] =>
  Array.from({ length: count }, () => createWork(extra));

const findRoute = ({ routeKey }: RankedWork): Route => ({
  ...{ kind: 'instances', reason: '' },
  instances: routeKey === 'leader' ? ['leader'] : ['replica'],
});

/** A queue whose work is started and ended by hand; at first every slot is occupied. */
class Load {
  readonly slots = new SlotTable();

  readonly queue = new WorkQueue({ findRoute }, this.slots);

  readonly refused: QueueDecision[] = [];

  readonly started: RankedWork[] = [];

  constructor(
    concurrency = SLOTS,
    readonly running = concurrency,
  ) {
    ['leader', 'replica'].forEach((id) => {
      const capacity = { connections: 50, concurrency, longPermits: Math.max(1, concurrency - 1) };
      this.slots.updateCapacity(id, capacity);
      for (let count = 0; count < running; count += 1) this.slots.occupy(id, 'short');
    });
  }

  add(works: readonly RankedWork[], now = 0): void {
    works.forEach((work) => this.collect(this.queue.add(work, now)));
  }

  /** Ends the work in one slot of the instance. */
  endOne(now = 0, instance = 'leader', length: 'short' | 'long' = 'short'): void {
    this.collect(this.queue.handleDone(instance, createWork({ length }), now));
  }

  collect(decisions: readonly QueueDecision[]): void {
    decisions.forEach((decision) => {
      if (decision.kind === 'refuse') this.refused.push(decision);
      else this.started.push(decision.work as RankedWork);
    });
  }

  /** Ends one piece of work after the other, and lists what starts. */
  run(count: number, now = 0): readonly RankedWork[] {
    for (let ended = 0; ended < count; ended += 1) this.endOne(now);
    return this.started;
  }
}

const URGENT = { priority: 0, objective: 200, costMs: 10 };
const USUAL = { priority: 1, objective: 400, costMs: 30 };
const BULK = { priority: 2, objective: 1_500, deadline: 12_000, costMs: 50 };

describe('WorkQueue', () => {
  // Burst of long reads beside short writes: the reads would delay each write by their own cost.
  it('serves a high priority before the work that came first', () => {
    const load = new Load();
    load.add([...createMany(20, BULK), ...createMany(2, USUAL), ...createMany(2, URGENT)]);
    expect(load.run(5).map(({ priority }) => priority)).toEqual([0, 0, 1, 1, 2]);
  });

  // Leader lost under load: what is too late by the end of the takeover must not delay the rest.
  it('serves what is late after what can still make its objective, in order of rank', () => {
    const load = new Load();
    const late = [createWork({ ...BULK, objective: 100 }), createWork(URGENT)];
    load.add([...late, createWork({ ...USUAL, objective: 800 })]);
    load.add(createMany(1, BULK));
    const order = load.run(4, 300).map(({ priority }) => priority);
    expect(order).toEqual([1, 2, 0, 2]);
  });

  // Leader lost under load: the write that waits for longest has the least time left.
  it('serves a caller by the latest start that makes the objective', () => {
    const load = new Load();
    const objectives = [300, 100, 200, 250];
    load.add(objectives.map((objective) => createWork({ objective })));
    load.add([createWork({ objective: 260, costMs: 150 })]);
    const order = load.run(5).map(({ objective }) => objective);
    expect(order).toEqual([100, 260, 200, 250, 300]);
  });

  // Replicas lag: reads that come to the leader must not all go before writes of the same rank.
  it('serves work of one rank by the time left, whatever instances it may run on', () => {
    const slots = new SlotTable();
    slots.updateCapacity('leader', { connections: 9, concurrency: 1, longPermits: 1 });
    slots.occupy('leader', 'short');
    const queue = new WorkQueue(
      { findRoute: () => ({ kind: 'instances', instances: ['leader'], reason: '' }) },
      slots,
    );
    const works = [500, 400, 300, 200].map((objective, index) =>
      createWork({ objective, routeKey: index % 2 === 0 ? 'any' : 'leader' }),
    );
    works.forEach((work) => queue.add(work, 0));
    const started = works.flatMap((work) => queue.handleDone('leader', work, 0));
    const order = started.map(({ work }) => (work as RankedWork).objective);
    expect(order).toEqual([200, 300, 400, 500]);
  });

  // One organisation at many times its usual: the others must not wait behind it.
  it('gives callers equal time in slots, whatever their number of items and their cost', () => {
    const load = new Load();
    load.add(createMany(200, { caller: 'hot', costMs: 30 }));
    load.add(createMany(40, { caller: 'small', costMs: 10 }));
    const order = load.run(40).map(({ caller }) => caller);
    expect(order.filter((caller) => caller === 'small').length).toEqual(30);
  });

  // Overload that lasts: strict priority would starve the lowest class.
  it('serves every class after a bounded number of starts of higher ones', () => {
    const kinds = fc.constantFrom(URGENT, USUAL, { ...BULK, objective: 0 });
    const burst = fc.array(kinds, { minLength: 1, maxLength: 200 });
    fc.assert(
      fc.property(burst, (works) => {
        const load = new Load();
        const waiting = createWork({ ...BULK, caller: 'y', priority: 3 });
        load.add([waiting, ...works.map((kind) => createWork(kind))]);
        const index = load.run(works.length + 1).indexOf(waiting);
        // Three lanes go before it, each of which may itself be owed one turn.
        expect(index >= 0 && index <= 32 + 4).toEqual(true);
      }),
      { seed: 46 },
    );
  });

  // Work in a full queue took its own place for another's and was refused when it became late.
  it('keeps what becomes late in a full queue', () => {
    const load = new Load();
    load.add(createMany(MAX_QUEUED, { costMs: undefined, objective: 100 }));
    load.collect(load.queue.handleTick(200));
    load.endOne(200);
    expect([load.refused.length, load.started.length]).toEqual([0, 1]);
  });

  // Overload: work that can't be served in time only delays other work.
  it('refuses on arrival what is not expected to make its deadline', () => {
    const load = new Load();
    load.add(createMany(100, { ...USUAL, deadline: 1_000 }));
    load.add(createMany(1, { ...BULK, routeKey: 'leader', deadline: 600 }));
    load.add(createMany(1, { ...URGENT, deadline: 600 }));
    const [refusal] = load.refused;
    expect(load.refused.length).toEqual(1);
    expect(refusal?.work.priority).toEqual(2);
    expect(refusal?.kind === 'refuse' && [refusal.cause, refusal.expected]).toEqual([
      'expectedWait',
      { waitMs: (100 * 30) / SLOTS, limitMs: 550 },
    ]);
  });

  // Urgent work without pause: what it passes over must be refused at once, not at its deadline.
  it('refuses on arrival what the work of higher rank still to come leaves no time for', () => {
    const load = new Load();
    load.add(createMany(8, { ...BULK, deadline: 3_000 }));
    for (let now = 0; now < 1_000; now += 50) {
      load.add(createMany(4, { ...URGENT, objective: FOREVER }), now);
      load.run(2, now);
    }
    load.add(createMany(1, { ...BULK, deadline: 3_000 }), 1_000);
    const causes = load.refused.map((one) => one.kind === 'refuse' && one.cause);
    expect(causes.at(-1)).toEqual('expectedWait');
  });

  // Leader lost under load: what has waited for the successor must be served, not refused.
  it('does not take the time without a leader for a low rate of service', () => {
    const slots = new SlotTable();
    slots.updateCapacity('leader', { connections: 9, concurrency: 2, longPermits: 1 });
    let hasLeader = false;
    const queue = new WorkQueue(
      { findRoute: (work) => (hasLeader ? findRoute(work) : { kind: 'wait', reason: '' }) },
      slots,
    );
    const add = (now: number): readonly QueueDecision[] =>
      queue.add(createWork({ ...URGENT, objective: now + 600, deadline: now + 600 }), now);
    const decisions = [0, 500, 1_000, 1_500].flatMap((now) => [
      ...Array.from({ length: 10 }, () => add(now)).flat(),
      ...queue.handleTick(now),
    ]);
    hasLeader = true;
    decisions.push(...queue.handleTick(1_550), ...add(1_550));
    const refused = decisions.filter((one) => one.kind === 'refuse' && one.work.deadline > 1_550);
    expect([refused, decisions.filter(({ kind }) => kind === 'start').length]).toEqual([[], 2]);
  });

  // One organisation at many times its usual: only its own work is refused.
  it('refuses work of the caller whose queue is long, not that of others', () => {
    const load = new Load();
    load.add(createMany(100, { caller: 'hot', deadline: 400, costMs: 20 }));
    load.add([createWork({ caller: 'small', deadline: 400, costMs: 20 })]);
    expect(load.refused.length > 0).toEqual(true);
    expect(load.refused.every(({ work }) => work.caller === 'hot')).toEqual(true);
  });

  // All VMs start anew under load: a guess of the cost would refuse what could be served.
  it('refuses nothing for an expected wait while costs are unknown', () => {
    const load = new Load();
    load.add(createMany(500, { costMs: undefined, deadline: 100 }));
    expect(load.refused).toEqual([]);
    load.collect(load.queue.handleTick(200));
    const causes = load.refused.map((one) => one.kind === 'refuse' && one.cause);
    expect([causes.length, new Set(causes)]).toEqual([500, new Set(['deadlinePassed' as const])]);
    expect(load.queue.countQueued()).toEqual(0);
  });

  // Burst of long reads: they would hold every slot of an instance that short work needs.
  it('leaves one slot of an instance to short work', () => {
    const load = new Load(SLOTS, 0);
    load.add(createMany(10, { length: 'long' }));
    expect(load.started.length).toEqual(SLOTS - 1);
    load.add(createMany(1, {}));
    expect(load.started.length).toEqual(SLOTS);
  });

  // Burst of long reads while an instance is slow: one of them would hold the only slot for long.
  it('lets urgent work exceed the concurrency by one', () => {
    const load = new Load(1);
    const queue = new WorkQueue({ findRoute, urgentPriority: 0 }, load.slots);
    const works = [...createMany(1, BULK), ...createMany(2, URGENT)];
    works.forEach((work) => load.collect(queue.add({ ...work, routeKey: 'leader' }, 0)));
    expect(load.started.map(({ priority }) => priority)).toEqual([0]);
  });

  // Urgent work that kept its extra slot in use left no slot below the limit for any other work.
  it('serves other work after a bounded number of starts of urgent work', () => {
    const load = new Load(1);
    const queue = new WorkQueue({ findRoute, urgentPriority: 0 }, load.slots);
    const waiting = createWork({ ...BULK, routeKey: 'leader' });
    [waiting, ...createMany(100, URGENT)].forEach((work) => load.collect(queue.add(work, 0)));
    for (let ended = 0; ended < 50; ended += 1) {
      load.collect(queue.handleDone('leader', waiting, 0));
    }
    expect(load.started.indexOf(waiting)).toEqual(32);
  });

  // Guards against work that is lost, started twice or above the capacity, whatever the order.
  it('starts or refuses each item once, within the capacity', () => {
    const work = fc.record({
      ...{ caller: fc.constantFrom('x', 'y', 'z'), priority: fc.nat(2) },
      ...{ routeKey: fc.constantFrom('leader', 'any'), costMs: fc.option(fc.nat(90)) },
      ...{ length: fc.constantFrom('short' as const, 'long' as const) },
      ...{ objective: fc.nat(1_000), deadline: fc.integer({ min: 1_000, max: 5_000 }) },
    });
    const events = fc.array(fc.oneof(work, fc.nat(500)), { maxLength: 200 });
    fc.assert(
      fc.property(events, (list) => {
        const load = new Load(2, 0);
        let [now, added] = [0, 0];
        list.forEach((event) => {
          if (typeof event !== 'number') {
            load.add([createWork({ ...event, costMs: event.costMs ?? undefined })], now);
            added += 1;
            return;
          }
          now += event;
          load.collect(load.queue.handleTick(now));
          const ended = load.started.at(event % Math.max(1, load.started.length));
          const instance = ended?.routeKey === 'leader' ? 'leader' : 'replica';
          const { length = 'short' } = ended ?? {};
          if (load.slots.countRunning(instance, length) > 0) load.endOne(now, instance, length);
          expect(load.slots.countRunning(instance) <= 2).toEqual(true);
        });
        const seen = [...load.started, ...load.refused.map((refused) => refused.work)];
        expect(new Set(seen).size).toEqual(seen.length);
        expect(seen.length + load.queue.countQueued()).toEqual(added);
      }),
      { seed: 46 },
    );
  });
});

describe('WorkCosts', () => {
  // All VMs start anew under load: one slow first run says nothing of the cost.
  it('knows the median and the tail once there are samples, and forgets old ones', () => {
    const costs = new WorkCosts();
    costs.add('k', 900, 0);
    expect(costs.find('k', 0)).toEqual(undefined);
    for (let run = 0; run < 19; run += 1) costs.add('k', 10 + run, 1_000);
    expect(costs.find('k', 1_000)).toEqual({ medianMs: 19, tailMs: 27 });
    expect(costs.find('k', 60_000)).toEqual(undefined);
  });

  // Guards against memory that grows with the databases ever seen.
  it('keeps a bounded number of kinds', () => {
    const costs = new WorkCosts();
    for (let kind = 0; kind < 1_000; kind += 1) costs.add(`k${kind}`, 1, 0);
    expect(costs.countKinds()).toEqual(256);
  });
});
