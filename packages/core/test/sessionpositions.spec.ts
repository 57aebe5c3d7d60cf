import { expect } from 'earl';
import { SessionPositions } from '../src/index.js';

const MANY_GROUPS = 100;

describe('positions of a session in several logs', () => {
  let positions: SessionPositions;

  beforeEach(() => {
    positions = new SessionPositions();
  });

  // A commit in one group took the place of that in another, whose log it says nothing of.
  it('keeps the commit of each group', () => {
    positions.handleCommit('a', { term: 1, offset: 9 }, 5);
    positions.handleCommit('b', { term: 1, offset: 2 }, 6);
    expect(positions.findCommit('a')).toEqual({
      position: { term: 1, offset: 9 },
      acknowledgedAt: 5,
    });
    expect(positions.findPosition('b')).toEqual({ term: 1, offset: 2 });
  });

  // Guards against reads that wait for ever for a position of a log that is no more.
  it('replaces a position of a log that is no more', () => {
    positions.handleCommit('a', { term: 1, offset: 9 }, 5);
    positions.handleCommit('a', { term: 1, offset: 2 }, 6);
    expect(positions.findPosition('a')).toEqual({ term: 1, offset: 2 });
    positions.handleLeaderPosition('a', { term: 1, offset: 1 }, 7);
    expect(positions.findPosition('a')).toEqual({ term: 1, offset: 1 });
  });

  // Guards against a leader's position that takes the place of the session's earlier commit.
  it('keeps its position where the leader is further', () => {
    positions.handleCommit('a', { term: 1, offset: 9 }, 5);
    positions.handleLeaderPosition('a', { term: 2, offset: 1 }, 7);
    positions.handleLeaderPosition('b', { term: 2, offset: 1 }, 7);
    expect(positions.findCommit('a')?.acknowledgedAt).toEqual(5);
    expect(positions.findPosition('b')).toEqual(undefined);
  });

  // Guards against a session that holds ever more, and against one that forgets without a word.
  it('drops the position that was updated least recently, and tells that it may have', () => {
    expect(positions.isComplete('0')).toEqual(true);
    for (let index = 0; index < MANY_GROUPS; index += 1) {
      positions.handleCommit(String(index), { term: 1, offset: 1 }, index);
      positions.handleCommit('kept', { term: 1, offset: 1 }, index);
    }
    expect([positions.isComplete('0'), positions.findPosition('0')]).toEqual([false, undefined]);
    expect([positions.isComplete('kept'), positions.isComplete('99')]).toEqual([true, true]);
    expect(positions.isComplete('never seen')).toEqual(false);
    positions.handleCommit('0', { term: 1, offset: 1 }, MANY_GROUPS);
    expect(positions.isComplete('0')).toEqual(true);
  });
});
