import { expect } from 'earl';
import type { FenceReport, InstanceView, TakeoverAction } from '../src/index.js';
import {
  A,
  B,
  createPromoting,
  createView,
  Driver,
  LEADER,
  listKinds,
  LOST,
  LOST_LEADER,
} from './takeoverfixture.js';

/** What a stopped replica holds in the first term. */
const HELD: FenceReport = {
  ...{ role: 'replica', term: 1, received: { term: 1, offset: 9 }, heldTerm: 2 },
};
const EMPTY_LOG = { term: 0, offset: 0 };
const SILENT = { health: 'silent', leads: false } as const;
const createEmpty = (id: string, startedAt: number): InstanceView =>
  createView(id, { startedAt, leads: false, position: { term: 1, offset: 0 } });

/** A driver whose order to promote `a` has been accepted. */
const createAccepted = (): Driver => {
  const { driver, token } = createPromoting();
  driver.coordinator.handlePromotion(token, 'accepted', driver.now);
  return driver;
};

/** Ticks, and names the orders to promote. */
const collectPromotions = (
  driver: Driver,
  views: readonly InstanceView[],
  ticks: number,
): string[] => {
  const all: TakeoverAction[] = [];
  for (let i = 0; i < ticks; i++) all.push(...driver.tick(views));
  return listKinds(all).filter((one) => one.startsWith('promote'));
};

describe('the gate of promotions', () => {
  // A replica that had started again received more than the candidate. Another order followed, beside
  // which the first one may take effect, and the group had two changes of its leader, or a later one.
  it('keeps its order when another replica has received more since', () => {
    const driver = createAccepted();
    driver.report('b', { offset: 12, heldTerm: 0 });
    driver.tick(LOST);
    driver.report('b', { offset: 12 });
    expect(collectPromotions(driver, LOST, 5)).toEqual([]);
    expect(driver.record.phase).toEqual('open');
  });

  // The order named a former leader whose id had started again twice: an empty log led.
  it('names no former leader whose id has started again', () => {
    [2, 3].forEach((starts) => {
      const driver = createAccepted();
      for (let start = 2; start <= starts; start++) driver.tick([createEmpty('l', start), A, B]);
      const b = createView('b', SILENT);
      const views = [createEmpty('l', starts), createEmpty('a', 2), b];
      expect(collectPromotions(driver, views, 12)).toEqual([]);
    });
  });

  // The candidate led unseen by this VM, acknowledged with another replica, and started again: the
  // former leader, which lacks those commits, was promoted.
  it('names no former leader while nothing is heard of the instances since the order', () => {
    const driver = createAccepted();
    const b = createView('b', SILENT);
    const dark = [LOST_LEADER, { ...createEmpty('a', 2), ...SILENT, position: undefined }, b];
    driver.tick([LOST_LEADER, createView('a', SILENT), b]);
    expect(collectPromotions(driver, dark, 8)).toEqual([]);
  });

  // A candidate that was down after its order came back without its log just before it led, although
  // another replica held as much.
  it('names an equal log as soon as the candidate refuses connections', () => {
    const driver = createAccepted();
    const down = createView('a', { health: 'refusing', leads: false, since: driver.now + 50 });
    const views = [LOST_LEADER, down, B];
    expect(collectPromotions(driver, views, 2)).toEqual([]);
    // The answer to the order to stop that is repeated.
    driver.report('b');
    expect(collectPromotions(driver, views, 4)).toEqual(['promote b']);
    expect(driver.record.failedCandidate?.id).toEqual('a');
  });

  // Guards against two changes of the leader because one connection broke.
  it('keeps its order when a connection to the candidate fails once', () => {
    const driver = createAccepted();
    const failed = createView('a', { health: 'refusing', leads: false, since: driver.now + 50 });
    driver.tick([LOST_LEADER, failed, B], 100);
    const back = createView('a', { since: driver.now + 50 });
    expect(collectPromotions(driver, [LOST_LEADER, back, B], 4)).toEqual([]);
  });

  // The others had stopped before the order, not after its candidate has led: a replica that lacks
  // what it acknowledged would pass for an equal log.
  it('names no equal log once the candidate has led', () => {
    const driver = createAccepted();
    const position = { term: 2, offset: 12 };
    const leading = createView('a', { leads: true, position });
    driver.tick([LOST_LEADER, leading, B]);
    const changes = { health: 'refusing', leads: false, since: driver.now + 50, position } as const;
    const views = [LOST_LEADER, createView('a', changes), B];
    const orders = collectPromotions(driver, views, 2);
    driver.report('b');
    orders.push(...collectPromotions(driver, views, 4));
    expect(orders.includes('promote b')).toEqual(false);
  });

  // Guards against a second order where no log is known to hold as much as that of the candidate.
  it('names no other log that is behind that of a candidate that refuses connections', () => {
    const driver = new Driver();
    driver.tickUntil('pause', LOST);
    driver.report('a', { offset: 12 });
    driver.report('b');
    expect(listKinds([driver.tickUntil('promote', LOST)])).toEqual(['promote a']);
    const down = createView('a', { health: 'refusing', leads: false, since: driver.now + 50 });
    const orders = collectPromotions(driver, [LOST_LEADER, down, B], 20);
    expect(orders.includes('promote b')).toEqual(false);
  });

  // Another VM's late order made a replica lead that had reported as stopped, and its report and
  // those of the others still counted: a log that lacked what it acknowledged was promoted.
  it('counts no report from before a newer term', () => {
    const driver = new Driver();
    const d = createView('d');
    driver.tick([LEADER, A, B, d]);
    driver.tickUntil('pause', [LOST_LEADER, A, B, d]);
    driver.report('a');
    driver.report('b');
    collectPromotions(driver, [LOST_LEADER, A, B, createView('d', SILENT)], 5);
    const position = { term: 2, offset: 12 };
    const behind = { term: 2, offset: 10 };
    const led = [
      createView('l', { leads: false, position: behind }),
      createView('a', { leads: true, position }),
      createView('b', { position }),
      createView('d', { position: behind }),
    ];
    const seen = [...collectPromotions(driver, led, 1)];
    for (let tick = 0; tick < 8; tick++) {
      const report = { ...HELD, term: 2, received: behind, heldTerm: 3 };
      driver.coordinator.handleReport('l', 1, report);
      driver.coordinator.handleReport('d', 1, report);
      seen.push(...collectPromotions(driver, led, 1));
    }
    expect(seen).toEqual([]);
  });

  // The late answer to an order to stop counted as the answer to the last question before the order.
  it('takes no answer that was asked for before the confirmation', () => {
    const driver = new Driver();
    driver.tickUntil('pause', LOST);
    const askedAt = driver.now;
    driver.coordinator.handleReport('a', 1, HELD, askedAt);
    driver.coordinator.handleReport('b', 1, HELD, askedAt);
    expect(listKinds(driver.tick(LOST))).toEqual(['status a']);
    driver.coordinator.handleReport('a', 1, HELD, askedAt);
    expect(collectPromotions(driver, LOST, 1)).toEqual([]);
  });

  // A later start that no list showed was taken for the known one, since it told a newer term.
  it('takes an empty log in a newer term for that of a later start', () => {
    const driver = new Driver();
    const end = { term: 2, offset: 20 };
    const stopped = createView('l', { leads: false, position: { term: 2, offset: 9 } });
    driver.tick([stopped, createView('a', { leads: true, position: end }), B]);
    const lost = [stopped, createView('a', { ...SILENT, position: end }), createView('b')];
    driver.tickUntil('pause', lost);
    const seen: string[] = [];
    for (let tick = 0; tick < 20; tick++) {
      const report = { ...HELD, term: 2, heldTerm: 3 };
      driver.coordinator.handleReport('l', 1, { ...report, received: { term: 2, offset: 9 } });
      driver.coordinator.handleReport('b', 1, { ...report, received: EMPTY_LOG });
      seen.push(...collectPromotions(driver, lost, 1));
    }
    expect(seen).toEqual([]);
  });

  // A VM that has not reached the leader for 30 s gives up the log of a replica at once, although the
  // leader is registered and may serve other VMs.
  it('waits for a leader that is dark to this VM alone, beside a lost log', () => {
    const driver = new Driver();
    const dark = [LOST_LEADER, createEmpty('a', 2), B];
    const seen: string[] = [];
    for (let tick = 0; tick < 330; tick++) {
      seen.push(...collectPromotions(driver, dark, 1));
      driver.coordinator.handleReport('b', 1, HELD);
      driver.coordinator.handleReport('a', 2, { ...HELD, received: { term: 1, offset: 0 } });
    }
    expect(seen).toEqual([]);
  });

  // A registered replica that never answers keeps the group without a leader for ever.
  it('gives up a registered replica that never answers, some time', () => {
    const driver = new Driver();
    const seen: string[] = [];
    for (let tick = 0; tick < 1_200; tick++) {
      seen.push(...collectPromotions(driver, [A, createView('b', SILENT)], 1));
      driver.coordinator.handleReport('a', 1, HELD);
    }
    expect(seen.length > 0).toEqual(true);
  });

  // An instance that a late order of another VM promotes takes work while a newer order is on its
  // way, and loses what it acknowledged.
  it('bars work to an instance that an older order promoted while a record is open', () => {
    const driver = new Driver();
    driver.tickUntil('refresh', LOST);
    expect(driver.coordinator.isBeingReplaced(A)).toEqual(true);
  });
});
