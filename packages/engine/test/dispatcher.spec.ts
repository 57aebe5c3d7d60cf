import { DEFAULT_CONTRACT, ManualClock } from '@shallotpick/core';
import { expect } from 'earl';
import {
  type AdmittedWork,
  Dispatcher,
  findUrgentPriority,
  OrganisationIndex,
  type Refusal,
  type WorkRequest,
} from '../src/index.js';
import { createConfiguration } from './store.js';

const CAPACITY = { connections: 10, concurrency: 1, longPermits: 1 };
const COST_MS = 20;
/** Longer than any work of these tests may wait. */
const PAUSE_MS = 2_000;

/** A dispatcher with one instance that has one slot, on a manual clock. */
class Trial {
  readonly clock = new ManualClock(1_000);

  readonly started: string[] = [];

  readonly refusals: Refusal[] = [];

  readonly errors: string[] = [];

  private readonly admitted: AdmittedWork[] = [];

  readonly dispatcher = new Dispatcher({
    clock: this.clock,
    random: () => 0.5,
    findRoute: () => ({ kind: 'instances', instances: ['a'], reason: 'primary' }),
    onStart: ({ requestId }) => this.started.push(requestId),
    onRefuse: (refusal) => this.refusals.push(refusal),
  });

  constructor() {
    this.dispatcher.updateCapacity('a', CAPACITY);
  }

  async add(requestId: string, extra: Partial<WorkRequest> = {}): Promise<void> {
    const now = this.clock.readNow();
    const request: WorkRequest = {
      ...{ requestId, kind: 'write', contract: DEFAULT_CONTRACT, caller: requestId, priority: 1 },
      ...{ organisation: undefined, database: 'd', lastCommit: undefined, excluded: new Set() },
      ...{ objective: now + 1_000, deadline: now + 10_000 },
      ...extra,
    };
    this.dispatcher.add(request).then(
      (admitted) => this.admitted.push(admitted),
      (error: unknown) => this.errors.push(String(error)),
    );
    await this.settle();
  }

  /** Ends the work that runs, after `tookMs`. */
  async endOne(tookMs = COST_MS, isIdle = false): Promise<void> {
    this.clock.advance(tookMs);
    const [first] = this.admitted.splice(0, 1);
    if (first) this.dispatcher.remove(first, isIdle);
    await this.settle();
  }

  /** Ends the statement of the transaction that runs. */
  pauseOne(): void {
    const [first] = this.admitted;
    if (first) this.dispatcher.updateBusy(first, false);
  }

  /** Runs enough work for its cost to be known. */
  async learn(): Promise<void> {
    for (let run = 0; run < 5; run += 1) {
      await this.add('known');
      await this.endOne();
    }
    this.started.length = 0;
  }

  private async settle(): Promise<void> {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

describe('Dispatcher', () => {
  // A new configuration under load must neither lose what waits nor count its slots twice.
  it('keeps what runs and waits when the order changes', async () => {
    const trial = new Trial();
    await trial.add('running');
    await trial.add('low', { priority: 2 });
    trial.dispatcher.updateRanking(0);
    await trial.add('high', { priority: 1 });
    expect(trial.started).toEqual(['running']);
    trial.dispatcher.updateRanking(undefined);
    await trial.endOne();
    await trial.endOne();
    expect(trial.started).toEqual(['running', 'high', 'low']);
  });

  // Overload: a refusal must tell rank, wait and limit, and when to come back.
  it('refuses what is not expected to make its deadline, with the reason', async () => {
    const trial = new Trial();
    trial.dispatcher.updateRanking(0);
    await trial.learn();
    for (const id of ['running', 'first', 'second', 'third']) await trial.add(id);
    await trial.add('late', { deadline: trial.clock.readNow() + 70 });
    expect(trial.errors).toEqual([
      'NotRunError: the expected wait of 60 ms (priority 1) passes the limit of 50 ms; room expected in 510 ms',
    ]);
    expect(trial.refusals.map(({ cause, expectedWaitMs }) => ({ cause, expectedWaitMs }))).toEqual([
      { cause: 'expectedWait', expectedWaitMs: 60 },
    ]);
  });

  // Clients that rest inside transactions: a pause must not count as cost.
  it('learns a cost without the pauses of a transaction', async () => {
    const trial = new Trial();
    trial.dispatcher.updateRanking(0);
    for (let run = 0; run < 5; run += 1) {
      await trial.add('paused');
      trial.clock.advance(COST_MS);
      trial.pauseOne();
      await trial.endOne(PAUSE_MS, true);
    }
    await trial.add('running');
    await trial.add('waiting');
    await trial.add('served', { deadline: trial.clock.readNow() + 3 * COST_MS });
    expect(trial.errors).toEqual([]);
  });

  // A group that is no longer served has no ticks, so what it queued would never be answered.
  it('refuses work once it has stopped', async () => {
    const trial = new Trial();
    await trial.add('running');
    trial.dispatcher.stop();
    await trial.add('after');
    expect(trial.errors).toEqual(['NotRunError: the proxy stops']);
  });
});

describe('findUrgentPriority', () => {
  // Guards against another order for deployments that have not asked for one.
  it('finds the first priority of groups whose routes differ in it and that organisations share', () => {
    const limits = { timeoutMs: 600, transactionIdleMs: 300 };
    const organisations = new OrganisationIndex([]);
    const plain = createConfiguration(20, limits);
    const shared = { ...plain, organisations };
    const [first] = plain.routes.values();
    const routes = new Map(plain.routes);
    if (first) routes.set('other', { ...first, priority: first.priority + 1 });
    const found = [shared, { ...plain, routes }, { ...shared, routes }].map((configuration) =>
      findUrgentPriority(configuration, 'g'),
    );
    expect(found).toEqual([undefined, undefined, first?.priority]);
    expect(findUrgentPriority({ ...shared, routes }, 'other group')).toEqual(undefined);
  });
});
