import { expect } from 'earl';
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
  RETURNED,
} from './takeoverfixture.js';

/** Longer than the platform takes to answer a promotion. */
const ANSWER_TIMEOUT_MS = 500;
/** Shorter than the gap between two orders to stop. */
const SHORT_MS = 60;
/** Longer than an accepted order needs to take effect. */
const PROMOTION_MS = 2_000;

describe('TakeoverCoordinator', () => {
  // The holder gave its attempt up when the leader answered again, after other VMs had made that
  // leader step down because of the attempt, and the group had no leader.
  it('goes on with a takeover when the leader answers again after orders to stop', () => {
    const driver = new Driver();
    driver.tickUntil('pause', LOST);
    driver.report('a');
    expect(listKinds(driver.tick(RETURNED, 200))).toEqual(['stepDown l', 'pause b']);
    driver.report('l');
    // The candidate is asked once more, since a restart would show by then.
    expect(listKinds(driver.tick(RETURNED))).toEqual(['status a']);
    expect(listKinds(driver.tick(RETURNED))).toEqual(['promote a']);
  });

  // Another VM may have stopped the leader meanwhile, so its own report decides.
  it('leaves a leader alone that answers again before any order to stop, and still leads', () => {
    const driver = new Driver();
    driver.tickUntil('refresh', LOST);
    expect(listKinds(driver.tick(RETURNED))).toEqual(['status l']);
    driver.report('l', { role: 'primary' });
    expect(listKinds(driver.tick(RETURNED))).toEqual(['write']);
  });

  // The record stayed open for seconds, and kept other VMs from replacing the new leader, while the
  // holder tried to resume instances that were gone.
  it('settles without an answer of an instance that does not answer', () => {
    const { driver, token } = createPromoting();
    driver.coordinator.handlePromotion(token, 'accepted', driver.now);
    const promoted = [LOST_LEADER, createView('a', { leads: true }), B];
    driver.tick(promoted);
    driver.report('a', { role: 'primary' });
    expect(listKinds(driver.tick(promoted))).toEqual(['resume a', 'resume b']);
    driver.coordinator.handleResumed('a');
    driver.coordinator.handleResumed('b');
    expect(listKinds(driver.tick(promoted))).toEqual(['write']);
  });

  // A leader that had stepped down was named again. It still passed for the leader that it had been,
  // so that the record was settled while the order was in flight.
  it('takes a candidate for the leader only once it has told so after the order', () => {
    const { driver, token } = createPromoting();
    driver.coordinator.handlePromotion(token, 'accepted', driver.now);
    const seen = [LOST_LEADER, createView('a', { leads: true }), B];
    expect(listKinds(driver.tick(seen)).filter((kind) => kind.startsWith('resume'))).toEqual([]);
    expect(driver.record.phase).toEqual('open');
  });

  // An order without an answer may have been accepted. The record was settled although the platform
  // could still promote the instance that it named, without what the returned leader acknowledged.
  it('keeps the record open while an order for another instance may take effect', () => {
    const { driver, token } = createPromoting();
    driver.coordinator.handlePromotion(token, 'unknown', driver.now);
    driver.tickUntil('status', RETURNED);
    driver.report('l', { role: 'primary' });
    const raise = driver.tickUntil('promote', RETURNED);
    expect(raise.kind === 'promote' && raise.instance).toEqual('l');
    driver.coordinator.handlePromotion(
      raise.kind === 'promote' ? raise.token : 0,
      'accepted',
      driver.now,
    );
    driver.tick(RETURNED);
    driver.report('l', { role: 'primary' });
    driver.tickUntil('resume', RETURNED);
    ['a', 'b', 'l'].forEach((id) => driver.coordinator.handleResumed(id));
    driver.tick(RETURNED);
    expect(driver.record.phase).toEqual('open');
    driver.tick(RETURNED, PROMOTION_MS);
    expect(driver.record.phase).toEqual('settled');
  });

  // A newer claim alone does not outdate an order without an answer: it was carried out seconds
  // later, after another replica had started and had acknowledged commits.
  // The candidate itself has to show that it still holds its log.
  it('orders the same promotion again, without reports of others, after an order without answer', () => {
    const { driver, token } = createPromoting();
    driver.coordinator.handlePromotion(token, 'unknown', driver.now);
    expect(listKinds(driver.tick(LOST, ANSWER_TIMEOUT_MS))).toEqual(['write']);
    const claimedAt = driver.now;
    driver.tickUntil('pause', LOST);
    driver.report('a');
    const again = driver.tickUntil('promote', LOST);
    expect(again.kind === 'promote' && again.instance).toEqual('a');
    expect(again.kind === 'promote' && again.token > token).toEqual(true);
    expect(driver.now - claimedAt <= ANSWER_TIMEOUT_MS).toEqual(true);
  });

  // A leader that returned while an order to promote another instance could still be carried out
  // acknowledged commits that the promoted instance lacked.
  it('marks the leader that an open takeover replaces, also under another id', () => {
    const driver = new Driver();
    const judge = (): readonly boolean[] =>
      [LEADER, { ...LEADER, id: 'l2' }, A].map((one) => driver.coordinator.isBeingReplaced(one));
    expect(judge()).toEqual([false, false, false]);
    driver.tickUntil('refresh', LOST);
    expect(judge()).toEqual([true, true, false]);
  });

  // A replica that was back from a restart received for up to 150 ms, and what the former leader
  // then acknowledged ended with an unknown outcome.
  it('stops a replica again at once when its connection has ended since the order', () => {
    const { driver, token } = createPromoting();
    driver.coordinator.handlePromotion(token, 'accepted', driver.now);
    expect(listKinds(driver.tick(LOST))).toInclude('pause b');
    const back = createView('b', { since: driver.now + SHORT_MS });
    expect(listKinds(driver.tick([LOST_LEADER, A, back], SHORT_MS))).toInclude('pause b');
  });

  // The platform promotes an id: an instance that has started again empty would lead.
  it('claims anew when the candidate has started again', () => {
    const { driver, token } = createPromoting();
    driver.coordinator.handlePromotion(token, 'accepted', driver.now);
    const restarted = createView('a', { startedAt: 2, position: { term: 1, offset: 0 } });
    expect(listKinds(driver.tick([LOST_LEADER, restarted, B]))).toEqual(['write']);
  });
});
