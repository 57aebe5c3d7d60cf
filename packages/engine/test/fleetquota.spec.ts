import { expect } from 'earl';
import {
  ConfigurationHolder,
  createEngineLog,
  FleetQuota,
  Metrics,
  NotRunError,
  type OperationPermit,
  OrganisationIndex,
  SystemClock,
  type VmAddress,
  wait,
} from '../src/index.js';
import { createConfiguration } from './store.js';

const VM_COUNT = 3;
const RULE = { windowMs: 1_000, excess: 0.1, slack: 20 };
const LIMIT = { ratePerSecond: 0, burst: 40 };
const ALLOWED = LIMIT.burst * (1 + RULE.excess) + RULE.slack;
const DEADLINE_MS = 5_000;
const TICK_MS = 25;
const NAMES = Array.from({ length: VM_COUNT }, (_, index) => `vm-${index}`);
const BASE = createConfiguration(6, { timeoutMs: 100, transactionIdleMs: 100 });
const clock = new SystemClock();

interface FakeVm {
  readonly quota: FleetQuota;
  readonly configuration: ConfigurationHolder;
  readonly metrics: Metrics;
  isDraining: boolean;
}

function startQuotas(): readonly FakeVm[] {
  const addresses = NAMES.map((id): VmAddress => ({ id, zone: 'z', host: 'h', port: 1 }));
  const vms = new Map<string, FakeVm>();
  NAMES.forEach((vm) => {
    const metrics = new Metrics();
    const log = createEngineLog('error', vm);
    const configuration = new ConfigurationHolder();
    const fake: FakeVm = {
      isDraining: false,
      configuration,
      metrics,
      quota: new FleetQuota({
        ...{ vm, rule: RULE, clock, ageClock: clock, log, metrics, configuration },
        random: Math.random,
        fleet: { listLiveVms: () => addresses, hasSettled: () => true },
        forwarding: {
          requestPermits: async ({ id }, request) => vms.get(id)?.quota.answer(vm, request),
        },
        isDraining: () => fake.isDraining,
      }),
    };
    vms.set(vm, fake);
    const organisations = new OrganisationIndex([
      { name: 'limited', keys: ['a'], rateLimit: LIMIT },
      { name: 'free', keys: ['b'], rateLimit: undefined },
    ]);
    configuration.update({ ...BASE, version: 1, organisations });
    fake.quota.start();
  });
  return [...vms.values()];
}

async function take({ quota }: FakeVm): Promise<OperationPermit | undefined> {
  try {
    return await quota.take('limited', clock.readNow() + DEADLINE_MS);
  } catch (error) {
    if (error instanceof NotRunError) return undefined;
    throw error;
  }
}

async function countLentParts({ metrics }: FakeVm): Promise<number> {
  const { values } = (await metrics.registry
    .getSingleMetric('shallotpick_quota_lent_parts')
    ?.get()) ?? { values: [] };
  return values[0]?.value ?? 0;
}

async function listLentParts(vms: readonly FakeVm[]): Promise<readonly number[]> {
  return Promise.all(vms.map(countLentParts));
}

const sum = (numbers: readonly number[]): number => numbers.reduce((a, b) => a + b, 0);

/** Has a VM wait for permits that no VM lends. */
async function waitForPermits(vms: readonly FakeVm[]) {
  const [vm] = vms;
  if (!vm) throw new Error('no VM');
  vms.forEach((one) => Object.assign(one, { isDraining: true }));
  while (sum(await listLentParts(vms)) > 0) await wait(10);
  const takes = Array.from({ length: 100 }, async () => take(vm));
  return { vm, takes };
}

describe('the quota of an organisation over a fleet', () => {
  let vms: readonly FakeVm[];

  beforeEach(async () => {
    vms = startQuotas();
    while (sum(await listLentParts(vms)) < 4) await wait(20);
    // Until then the limit counts as used.
    await wait(RULE.windowMs + 400);
  });

  afterEach(() => vms.forEach(({ quota }) => quota.stop()));

  // Each VM alone would start the whole limit.
  it('is kept by all VMs together, and what is beyond it has not run', async () => {
    const takes = vms.flatMap((vm) => Array.from({ length: 100 }, async () => take(vm)));
    const taken = await Promise.all(takes);
    const granted = taken.filter((permit) => permit !== undefined).length;
    expect(granted >= LIMIT.burst && granted <= ALLOWED).toEqual(true);
  });

  // A caller that asked first was refused while a later one was served.
  it('is given to the callers of a VM in turn', async () => {
    const [vm] = vms;
    const served: number[] = [];
    const takes = Array.from({ length: 100 }, async (_, index) => {
      if (vm && (await take(vm))) served.push(index);
    });
    await Promise.all(takes);
    expect(served.length > 0).toEqual(true);
    expect(served).toEqual(served.map((_, index) => index));
  });

  // Work that waited for a slot started with a permit that counted in an earlier window.
  it('is asked for again when the permit ended before the work could start', async () => {
    const [vm] = vms;
    const permit = vm && (await take(vm));
    expect((await permit?.refresh()) === permit).toEqual(true);
    await wait(RULE.windowMs * RULE.excess + 200);
    const refreshed = await permit?.refresh();
    expect(refreshed === undefined || refreshed === permit).toEqual(false);
  });

  // An organisation without a limit must not depend on a lender.
  it('does not concern organisations without a limit', async () => {
    const [vm] = vms;
    const free = await Promise.all([vm?.quota.take('free', 0), vm?.quota.take(undefined, 0)]);
    expect(free.every((permit) => permit !== undefined)).toEqual(true);
  });

  // A lender that stops left the fleet without permits until its silence was noticed.
  it('moves to another lender when a VM drains', async () => {
    const before = await listLentParts(vms);
    const index = before.findIndex((count) => count > 0);
    const drained = vms[index];
    if (drained) drained.isDraining = true;
    while ((await listLentParts(vms))[index] !== 0) await wait(10);
    while (sum(await listLentParts(vms)) < 4) await wait(10);
    expect((await listLentParts(vms))[index]).toEqual(0);
  });

  // An operation that waited for a permit was never answered, and later refused for a limit that
  // was no longer in force.
  it('permits the operations that wait when the configuration drops all limits', async () => {
    const { vm, takes } = await waitForPermits(vms);
    await wait(TICK_MS);
    vm.configuration.update({ ...BASE, version: 2 });
    const taken = await Promise.race([Promise.all(takes), wait(DEADLINE_MS)]);
    expect(taken?.length).toEqual(100);
    expect(taken?.includes(undefined)).toEqual(false);
  });

  // A process that stops has no ticks, so an operation that waited was never answered.
  it('ends the waiting of operations when it stops, and refuses later ones', async () => {
    const { vm, takes } = await waitForPermits(vms);
    vm.quota.stop();
    const taken = await Promise.race([Promise.all([...takes, take(vm)]), wait(DEADLINE_MS)]);
    expect(taken?.at(-1)).toEqual(undefined);
    expect(taken?.length).toEqual(takes.length + 1);
  });
}).timeout(30_000);
