import { expect } from 'earl';
import { InvariantChecker, SoakOrganisations } from '../src/index.js';

const GROUP = 'orders';
const SESSION = 'caller1';
const WRITE = { item: 'a', data: 'x' };
const ENTRY = { term: 1, writes: [WRITE] };

/** A checker that has seen an acknowledged commit. */
function createChecker(): InvariantChecker {
  const organisations = new SoakOrganisations(
    0,
    () => undefined,
    () => 0,
  );
  const checker = new InvariantChecker(() => 0, organisations);
  checker.recordCommitRequest([WRITE]);
  checker.handleCommit({ group: GROUP, instance: 'orders-1', entry: ENTRY, offset: 1 });
  checker.recordAcknowledgement(GROUP, SESSION, [WRITE]);
  return checker;
}

const promotion = { group: GROUP, instance: 'orders-2', term: 2, entries: [] };
const read = { group: GROUP, item: 'a', visibleBefore: 0, session: SESSION };

describe('InvariantChecker', () => {
  // Guards against an exception that excuses the losses that the soak is there to find.
  it('reports a lost commit that a log still held', () => {
    const checker = createChecker();
    checker.handlePromotion({ ...promotion, lostEntries: [] });
    expect(checker.violations.map(({ invariant }) => invariant)).toEqual([
      'an acknowledged write is not lost',
    ]);
    expect(checker.counts.unsavable).toEqual(0);
  });

  // A commit whose last log is gone can't be saved, and must not look like a fault of the program.
  it('counts a lost commit that no log held', () => {
    const checker = createChecker();
    checker.handlePromotion({ ...promotion, lostEntries: [ENTRY] });
    checker.checkAcknowledgedWrites(GROUP, 'orders-2', []);
    checker.checkRow('a -', read);
    expect(checker.violations).toEqual([]);
    expect(checker.counts.unsavable).toEqual(1);
  });

  // Guards against an exception that hides stale reads of commits that are still there.
  it('reports a read that misses a commit of its session', () => {
    const checker = createChecker();
    checker.checkRow('a -', read);
    expect(checker.violations.map(({ invariant }) => invariant)).toEqual([
      'reads meet the staleness bound of their route',
    ]);
  });

  // A loss that another running instance could have saved must not be excused.
  it('reports a commit that was lost after the order while another running instance held it', () => {
    const checker = createChecker();
    const lostLog = { entries: [ENTRY], isHeldElsewhere: true, lostAt: 'afterAcceptance' } as const;
    checker.handlePromotion({ ...promotion, lostEntries: [], lostLog });
    expect(checker.violations.map(({ invariant }) => invariant)).toEqual([
      'an acknowledged write is not lost',
    ]);
    expect(checker.violations[0]!.detail).toInclude('lost its log after its order');
    expect([checker.counts.unsavable, checker.counts.lostWithOrder]).toEqual([0, 0]);
  });

  // A loss after the order that no other running instance held isn't a fault of the program.
  it('counts a commit that was lost after the order and that no other running instance held', () => {
    const checker = createChecker();
    const lostLog = {
      entries: [ENTRY],
      isHeldElsewhere: false,
      lostAt: 'afterAcceptance',
    } as const;
    checker.handlePromotion({ ...promotion, lostEntries: [], lostLog });
    checker.checkAcknowledgedWrites(GROUP, 'orders-2', []);
    expect(checker.violations).toEqual([]);
    expect([checker.counts.unsavable, checker.counts.lostWithOrder]).toEqual([1, 1]);
  });

  // What the named instance never held was lost by the choice, not with its log.
  it('reports a commit that the named instance did not hold when it lost its log', () => {
    const checker = createChecker();
    const lostLog = { entries: [], isHeldElsewhere: false, lostAt: 'afterAcceptance' } as const;
    checker.handlePromotion({ ...promotion, lostEntries: [], lostLog });
    expect(checker.violations.map(({ invariant }) => invariant)).toEqual([
      'an acknowledged write is not lost',
    ]);
  });
});
