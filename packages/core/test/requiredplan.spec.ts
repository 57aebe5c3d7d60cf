import { expect } from 'earl';
import { findRequiredPlan, type InstanceView } from '../src/index.js';

const NOW = 10_000;

const createView = (id: string, health: InstanceView['health'], leads = false): InstanceView => ({
  ...{ id, health, leads, leaving: false, reportsPrimary: leads, since: 0 },
  ...{ position: { term: 1, offset: 5 }, lagMs: 0 },
});

describe('findNeed', () => {
  it('replaces a leader that is silent while the others answer', () => {
    const views = [
      createView('a', 'silent'),
      createView('b', 'answering'),
      createView('c', 'answering'),
    ];
    expect(findRequiredPlan(views, 'a', NOW)).toEqual('takeover');
  });

  // A VM in a zone that was cut off stopped the groups whose leaders it did not reach.
  it('leaves a group alone of which this VM reaches one replica only', () => {
    const views = [
      createView('a', 'silent'),
      createView('b', 'silent'),
      createView('c', 'answering'),
    ];
    expect(findRequiredPlan(views, 'a', NOW)).toEqual(undefined);
  });

  it('replaces a leader that answers without leading, also beside a silent replica', () => {
    const views = [
      createView('a', 'answering'),
      createView('b', 'silent'),
      createView('c', 'answering'),
    ];
    expect(findRequiredPlan(views, 'a', NOW)).toEqual('takeover');
  });

  it('leaves a leader alone that answers', () => {
    const views = [createView('a', 'answering', true), createView('b', 'silent')];
    expect(findRequiredPlan(views, 'a', NOW)).toEqual(undefined);
  });
});
