import { CommitGate } from '@shallotpick/core';
import { expect } from 'earl';
import { type InterleavingOptions, walkInterleavings } from '../src/takeover/interleavings.js';
import {
  AnyHolderCommitGate,
  AnyLeaderCommitGate,
  LateOrderCommitGate,
  TrustingCommitGate,
} from './mutants/commitgate.js';

type Runs = Omit<InterleavingOptions, 'createGate'>;

const TIMEOUT_MS = 120_000;
const CUT: Runs = { maxFaults: 4, hasStore: false, hasLateOrders: false };
const CUT_BESIDE_LATE_ORDERS: Runs = { maxFaults: 3, hasStore: false, hasLateOrders: true };
const WITH_STORE: Runs = { maxFaults: 1, hasStore: true, hasLateOrders: true };

const MUTANTS: readonly (readonly [string, new () => CommitGate, Runs])[] = [
  ['hands on whatever the leader acknowledges', TrustingCommitGate, CUT],
  ['counts a replica whose order to stop may be gone', AnyHolderCommitGate, CUT],
  ['counts a replica beside late orders', LateOrderCommitGate, CUT_BESIDE_LATE_ORDERS],
  ['counts a replica of a leader that may have started again', AnyLeaderCommitGate, CUT],
];

describe('every order of the steps of a takeover, a commit and some faults', () => {
  // Guards against runs that random scenarios miss: a commit that a caller is told of is never lost.
  Object.entries({ CUT, CUT_BESIDE_LATE_ORDERS, WITH_STORE }).forEach(([name, runs]) => {
    it(`loses no commit that was handed on (${name})`, () => {
      const { lost } = walkInterleavings({ ...runs, createGate: () => new CommitGate() });
      expect(lost).toEqual(undefined);
    }).timeout(TIMEOUT_MS);
  });

  // Guards against a walk that finds nothing whatever the gate does.
  MUTANTS.forEach(([name, Gate, runs]) => {
    it(`loses one in a version that ${name}`, () => {
      const { lost } = walkInterleavings({ ...runs, createGate: () => new Gate() });
      expect(lost).not.toEqual(undefined);
    }).timeout(TIMEOUT_MS);
  });
});
