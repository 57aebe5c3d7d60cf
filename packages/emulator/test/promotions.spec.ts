import { wait } from '@shallotpick/engine';
import { expect } from 'earl';
import { DEFAULT_PROMOTION_RULES } from '../src/index.js';
import type { EmulatedInstance, EndingCall, RestartedInstanceRule } from '../src/index.js';
import {
  PROMOTE_MS,
  REPLICATION_WAIT_MS,
  type RunningPlatform,
  startPlatform,
  WRITE,
} from './testplatform.js';

const TEST_TIMEOUT_MS = 10_000;
/** Longer than the latest moment at which a late order is carried out. */
const LATE_ORDER_WAIT_MS = 2_200;
const STATUS_OK = 200;
const STATUS_CONFLICT = 409;

async function callPromotions(
  { platform }: RunningPlatform,
  id: string,
  generation: number,
): Promise<number | undefined> {
  try {
    const response = await fetch(`http://127.0.0.1:${platform.promotionService.port}/promotions`, {
      method: 'POST',
      headers: { 'x-lease-holder': 'vm-0', 'x-fencing-token': String(generation) },
      body: JSON.stringify({ service: 'orders', id }),
    });
    return response.status;
  } catch {
    // The connection ended without a response.
    return undefined;
  }
}

async function restart(instance: EmulatedInstance, isEmpty: boolean): Promise<void> {
  await instance.stop();
  if (isEmpty) instance.dropLog();
  await instance.start();
}

const RULES = DEFAULT_PROMOTION_RULES;

describe('accepted promotion orders', () => {
  let running: RunningPlatform;

  afterEach(async () => running.platform.stop());

  // Guards against an emulated platform that always does what the program assumes of the real one.
  const restartCases: readonly [RestartedInstanceRule, boolean, boolean][] = [
    ['leadsWithItsLog', false, true],
    ['leadsWithItsLog', true, false],
    ['neverLeads', false, false],
    ['neverLeads', true, false],
    ['leadsAnyway', false, true],
    ['leadsAnyway', true, true],
  ];
  restartCases.forEach(([restartedInstance, isEmpty, leads]) => {
    const log = isEmpty ? 'without' : 'with';
    it(`${leads ? 'carries' : 'does not carry'} out one for an instance that restarted ${log} its log (${restartedInstance})`, async () => {
      running = await startPlatform({ promotionRules: { ...RULES, restartedInstance } });
      running.group.promote(running.first.id);
      await restart(running.first, isEmpty);
      await wait(2 * PROMOTE_MS);
      expect(running.observer.promotions.length).toEqual(leads ? 1 : 0);
    }).timeout(TEST_TIMEOUT_MS);
  });

  // Guards against a program that counts on a newer call to end an order, or on its not doing so.
  const endingCases: readonly [readonly EndingCall[], EndingCall, boolean][] = [
    [[], 'unchanged', false],
    [[], 'refused', false],
    [['unchanged'], 'unchanged', true],
    [['unchanged'], 'refused', false],
    [['refused'], 'refused', true],
    [['refused'], 'unchanged', false],
  ];
  endingCases.forEach(([endingCalls, call, ends]) => {
    it(`${ends ? 'end' : 'go on'} with a newer call that is ${call} (${endingCalls.join()})`, async () => {
      running = await startPlatform({ promotionRules: { ...RULES, endingCalls } });
      const { leader, first, second } = running;
      await second.stop();
      expect(await callPromotions(running, first.id, 1)).toEqual(STATUS_OK);
      const later = call === 'unchanged' ? leader : second;
      const status = call === 'unchanged' ? STATUS_OK : STATUS_CONFLICT;
      expect(await callPromotions(running, later.id, 2)).toEqual(status);
      await wait(2 * PROMOTE_MS);
      expect(running.observer.promotions.length).toEqual(ends ? 0 : 1);
    }).timeout(TEST_TIMEOUT_MS);
  });

  // Guards against a program that counts on one reading of a second order.
  [true, false].forEach((endsEarlierOrders) => {
    it(`${endsEarlierOrders ? 'end with' : 'go on beside'} a later one that is accepted`, async () => {
      running = await startPlatform({ promotionRules: { ...RULES, endsEarlierOrders } });
      const { first, second, observer } = running;
      [first, second].forEach(({ id }) => running.group.promote(id));
      await wait(2 * PROMOTE_MS);
      const promoted = observer.promotions.map(({ instance }) => instance);
      expect(promoted).toEqual(endsEarlierOrders ? [second.id] : [first.id, second.id]);
    }).timeout(TEST_TIMEOUT_MS);
  });

  // A repeated call under the same token is no newer one.
  it('go on with a call under the same token that changes nothing', async () => {
    const promotionRules = { ...RULES, endingCalls: ['unchanged', 'refused'] } as const;
    running = await startPlatform({ promotionRules });
    await callPromotions(running, running.first.id, 1);
    await callPromotions(running, running.leader.id, 1);
    await wait(2 * PROMOTE_MS);
    expect(running.observer.promotions.length).toEqual(1);
  }).timeout(TEST_TIMEOUT_MS);

  // The restart between a report and its order would come too early or too late without it.
  it('are decided after what an arrival handler does', async () => {
    running = await startPlatform();
    const { first, group, observer } = running;
    await group.commit(running.leader, [WRITE]);
    await wait(REPLICATION_WAIT_MS);
    group.isPartitioned = true;
    group.orders.arrivalHandlers.add((named) => restart(named, true));
    expect(await callPromotions(running, first.id, 1)).toEqual(STATUS_OK);
    await wait(2 * PROMOTE_MS);
    expect(observer.promotions.map(({ instance, entries }) => [instance, entries])).toEqual([
      [first.id, []],
    ]);
  }).timeout(TEST_TIMEOUT_MS);

  // An order that is carried out late must not escape the fence.
  it('come late without a response, and are refused after a newer token', async () => {
    running = await startPlatform({}, () => 0);
    const { platform, first, second, observer } = running;
    platform.promotionService.lateShare = 1;
    expect(await callPromotions(running, first.id, 1)).toEqual(undefined);
    expect(observer.requests).toEqual([]);
    await wait(LATE_ORDER_WAIT_MS);
    expect(observer.promotions.map(({ instance }) => instance)).toEqual([first.id]);
    expect(await callPromotions(running, second.id, 2)).toEqual(undefined);
    platform.promotionService.lateShare = 0;
    expect(await callPromotions(running, first.id, 3)).toEqual(STATUS_OK);
    await platform.promotionService.waitForLateOrders();
    await wait(2 * PROMOTE_MS);
    expect(observer.requests.map(({ generation }) => generation)).toEqual([1, 3]);
    expect(observer.promotions.length).toEqual(1);
  }).timeout(TEST_TIMEOUT_MS);
});

describe('what a promotion says of lost entries', () => {
  let running: RunningPlatform;

  beforeEach(async () => {
    const promotionRules = { ...RULES, restartedInstance: 'leadsAnyway' } as const;
    running = await startPlatform({ promotionRules });
    await running.group.commit(running.leader, [WRITE]);
    await wait(REPLICATION_WAIT_MS);
    running.group.isPartitioned = true;
  });

  afterEach(async () => running.platform.stop());

  const listLosses = () =>
    running.observer.promotions.map(({ lostEntries, lostLog }) => [
      lostEntries.length,
      lostLog && [lostLog.entries.length, lostLog.isHeldElsewhere, lostLog.lostAt],
    ]);

  // A loss that another running instance could have saved must not be excused.
  it('names a log that was lost after its order, and another running one that held it', async () => {
    const { group, leader, first } = running;
    await leader.stop();
    group.promote(first.id);
    await restart(first, true);
    await wait(2 * PROMOTE_MS);
    expect(listLosses()).toEqual([[0, [1, true, 'afterAcceptance']]]);
  }).timeout(TEST_TIMEOUT_MS);

  // As above, where the other one crashes between the loss and the promotion.
  it('remembers a running one that held everything at the loss only', async () => {
    const { group, leader, first, second } = running;
    await leader.stop();
    group.promote(first.id);
    await restart(first, true);
    await second.stop();
    await wait(2 * PROMOTE_MS);
    expect(listLosses()).toEqual([[0, [1, true, 'afterAcceptance']]]);
  }).timeout(TEST_TIMEOUT_MS);

  // As above, where the other one comes back between the loss and the promotion.
  it('sees a running one that holds everything at the promotion only', async () => {
    const { group, leader, first, second } = running;
    await Promise.all([leader.stop(), second.stop()]);
    group.promote(first.id);
    await restart(first, true);
    await second.start();
    await wait(2 * PROMOTE_MS);
    expect(listLosses()).toEqual([[0, [1, true, 'afterAcceptance']]]);
  }).timeout(TEST_TIMEOUT_MS);

  // What no choice could save must not look like a fault of the program.
  it('names a log that was lost after its order, and no other running one that held it', async () => {
    const { group, leader, first, second } = running;
    await Promise.all([leader.stop(), restart(second, true)]);
    group.promote(first.id);
    await restart(first, true);
    await wait(2 * PROMOTE_MS);
    expect(listLosses()).toEqual([[0, [1, false, 'afterAcceptance']]]);
  }).timeout(TEST_TIMEOUT_MS);

  // A log that was there when the order was given must not be excused for its later loss.
  it('excuses no entry that an instance held when the order arrived', async () => {
    const { group, leader, first, second } = running;
    await Promise.all([leader.stop(), restart(second, true)]);
    group.promote(second.id);
    leader.dropLog();
    await first.stop();
    first.dropLog();
    await wait(2 * PROMOTE_MS);
    expect(listLosses()).toEqual([[0, undefined]]);
  }).timeout(TEST_TIMEOUT_MS);

  // As above: nothing is excused for a log that was lost before the order.
  it('names no lost log where the instance lost it before the order', async () => {
    const { group, leader, first } = running;
    await leader.stop();
    await restart(first, true);
    group.promote(first.id);
    await wait(2 * PROMOTE_MS);
    expect(listLosses()).toEqual([[0, undefined]]);
  }).timeout(TEST_TIMEOUT_MS);
});
