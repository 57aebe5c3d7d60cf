import { createRandom } from '@shallotpick/bench';
import { expect } from 'earl';
import { choosePromotionRules, createFaultSchedule, createSubRandom } from '../src/index.js';

const WINDOW_MS = 12_000;
const SERIES = 2;
const MANY_SERIES = 400;

const listKinds = (selection?: Parameters<typeof createFaultSchedule>[3]): readonly string[] =>
  createFaultSchedule(createRandom(1), WINDOW_MS, SERIES, selection).map(
    ({ kind, at }) => `${kind}@${at}`,
  );

describe('createFaultSchedule', () => {
  // A seed in a record or a commit must bring about the same faults later.
  it('draws what it drew before there were more kinds to select', () => {
    expect(listKinds()).toEqual([
      'replaceReplica@2254',
      'resetCallers@11999',
      'killAllVms@12389',
      'silenceLeader@12622',
    ]);
    expect(listKinds({ restorations: true })).toEqual([
      'restoreStore@2254',
      'restoreStore@11999',
      'pauseVm@12389',
      'replaceReplica@12622',
    ]);
  });

  // Guards against a selection that changes nothing, or that draws only some of its kinds.
  it('draws outages only when they are selected, and each of their kinds', () => {
    const draw = (outages: boolean): ReadonlySet<string> =>
      new Set(
        createFaultSchedule(createRandom(1), WINDOW_MS, MANY_SERIES, { outages }).map(
          ({ kind }) => kind,
        ),
      );
    const usual = draw(false);
    expect([...draw(true)].filter((kind) => !usual.has(kind)).sort()).toEqual([
      'crashLeavingInstance',
      'crashNewLeader',
      'emptyHeldReplica',
      'emptyNamedInstance',
      'emptyNewLeader',
      'killAllBesideCrash',
      'killAllBesideSilence',
      'lateOrders',
      'losePower',
      'loseTwoLogs',
      'renameLeavingInstance',
    ]);
  });

  // Guards against a switch that draws none or only some of the operator's changes.
  it('draws changes of the configuration only when they are selected, and each of their kinds', () => {
    const draw = (changes: boolean): ReadonlySet<string> =>
      new Set(
        createFaultSchedule(createRandom(1), WINDOW_MS, MANY_SERIES, { changes }).map(
          ({ kind }) => kind,
        ),
      );
    const usual = draw(false);
    expect([...draw(true)].filter((kind) => !usual.has(kind)).sort()).toEqual([
      'changeEverything',
      'changeGroups',
      'changeLimits',
      'changePriorities',
      'changeRates',
      'changeRoutes',
      'changeTimeouts',
      'lapseInChanges',
      'slowStore',
      'stopInChanges',
    ]);
  });

  // Guards against long outages that end within the time that the program always waits.
  it('draws outages beside killed VMs that last up to 12 s', () => {
    const faults = createFaultSchedule(createRandom(1), WINDOW_MS, MANY_SERIES, { outages: true });
    const durations = faults
      .filter(({ kind }) => kind.startsWith('killAllBeside'))
      .map(({ durationMs }) => durationMs);
    expect(durations.some((ms) => ms > 11_000) && durations.every((ms) => ms <= 12_000)).toEqual(
      true,
    );
  });
});

describe('choosePromotionRules', () => {
  // Guards against a soak that knows only one way in which the platform may take an order; the
  // first numbers of generators with neighbouring seeds were nearly the same.
  it('draws every combination of the rules over neighbouring seeds', () => {
    const drawn = Array.from({ length: 200 }, (_, seed) =>
      JSON.stringify(choosePromotionRules(createSubRandom(seed))),
    );
    expect(new Set(drawn).size).toEqual(24);
  });
});
