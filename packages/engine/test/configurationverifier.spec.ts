import { expect } from 'earl';
import { ManualClock } from '@shallotpick/core';
import {
  ConfigurationHolder,
  ConfigurationVerifier,
  createEngineLog,
  Metrics,
  OrganisationIndex,
  wait,
} from '../src/index.js';
import { createConfiguration } from './store.js';

const LEASE_MS = 4_000;
const MAX_PROOF_AGE_MS = 10_000;
const REFUSAL_PROOF_MS = 2_500;
const BASE = createConfiguration(6, { timeoutMs: 100, transactionIdleMs: 100 });
const organisations = new OrganisationIndex([{ name: 'north', keys: ['a'], rateLimit: undefined }]);

function createVerifier(rank = 0, hasLease = true, readError?: Error) {
  const clock = new ManualClock();
  const configuration = new ConfigurationHolder();
  const reads: number[] = [];
  let stored: number | undefined;
  const verifier = new ConfigurationVerifier({
    ...{
      leaseMs: hasLease ? LEASE_MS : undefined,
      maxProofAgeMs: MAX_PROOF_AGE_MS,
      refusalProofMs: REFUSAL_PROOF_MS,
      configuration,
      ageClock: clock,
      metrics: new Metrics(),
    },
    log: createEngineLog('error', 'test'),
    findRank: () => rank,
    readConfiguration: async () => {
      reads.push(clock.readNow());
      if (readError) throw readError;
      return stored;
    },
  });
  const put = (version: number): void => {
    stored = version;
    configuration.update({ ...BASE, version, organisations });
  };
  const handleAnswer = (version: number | undefined = stored) =>
    verifier.handleAnswer(version, clock.readNow());
  return { clock, configuration, verifier, reads, put, handleAnswer };
}

describe('ConfigurationVerifier', () => {
  it('holds the keys in force from an answer of the store until the lease ends', () => {
    const { clock, verifier, put, handleAnswer } = createVerifier();
    put(3);
    const before = verifier.areKeysInForce();
    handleAnswer();
    clock.advance(LEASE_MS - 1);
    const within = verifier.areKeysInForce();
    clock.advance(1);
    expect([before, within, verifier.areKeysInForce()]).toEqual([false, true, false]);
  });

  // A store restored from an older copy has lost the version that took a key away.
  it('takes no proof from a store that holds an older version', () => {
    const { verifier, put, handleAnswer } = createVerifier();
    put(3);
    handleAnswer(2);
    expect(verifier.areKeysInForce()).toEqual(false);
  });

  // What can't be decoded may have taken a key away.
  it('takes no proof from a version that cannot be decoded', () => {
    const { clock, verifier, put } = createVerifier();
    put(3);
    verifier.handleAnswer(undefined, clock.readNow());
    expect(verifier.areKeysInForce()).toEqual(false);
  });

  it('reads the configuration when another VM has proved a later version', () => {
    const { clock, verifier, reads, put } = createVerifier();
    put(3);
    verifier.handleProof({ version: 4, provedAt: clock.readNow() });
    expect(reads.length).toEqual(1);
    expect(verifier.areKeysInForce()).toEqual(false);
  });

  // One VM of each zone reads for the others, and the next one when its proofs stop.
  it('reads the later, the more VMs read for it', async () => {
    const ages: number[] = [];
    for (const rank of [0, 1, 2, 9]) {
      const { clock, verifier, reads, put, handleAnswer } = createVerifier(rank);
      put(3);
      handleAnswer();
      while (reads.length === 0) {
        clock.advance(100);
        verifier.handleTick();
      }
      ages.push(reads[0] ?? 0);
      await wait(0);
    }
    expect(ages).toEqual([1_000, 1_500, 2_000, 2_000]);
  });

  it('tells others how old its proof is', () => {
    const { clock, verifier, put, handleAnswer } = createVerifier();
    put(3);
    expect(verifier.readProof()).toEqual(undefined);
    handleAnswer();
    clock.advance(700);
    expect(verifier.readProof()).toEqual({ version: 3, ageMs: 700 });
  });

  // "No route" and "unknown key" came from whatever version the VM had, however old.
  describe('as the ground of a refusal', () => {
    it('holds for as long as a version may take to be in force', async () => {
      const { clock, verifier, reads, put, handleAnswer } = createVerifier(0, false);
      put(3);
      const before = verifier.requestProof();
      await wait(0);
      handleAnswer();
      clock.advance(REFUSAL_PROOF_MS - 1);
      const within = verifier.requestProof();
      const asked = reads.length;
      clock.advance(1);
      expect([before, within, verifier.requestProof()]).toEqual([false, true, false]);
      expect([asked, reads.length]).toEqual([1, 2]);
    });

    it('is read from the store for a caller that waits', async () => {
      const { clock, verifier, reads, put, handleAnswer } = createVerifier(0, false);
      put(3);
      handleAnswer();
      clock.advance(REFUSAL_PROOF_MS);
      expect([await verifier.prove(1_000), reads.length]).toEqual([true, 1]);
    });

    it('ends when another VM has proved a later version', () => {
      const { clock, verifier, put, handleAnswer } = createVerifier();
      put(3);
      handleAnswer();
      verifier.handleProof({ version: 4, provedAt: clock.readNow() });
      const before = verifier.requestProof();
      put(4);
      expect([before, verifier.requestProof()]).toEqual([false, true]);
    });

    // A home ran work that a later version allowed, and refused its own callers by the older one.
    it('ends when another VM has passed on work that a later version allows', () => {
      const { clock, verifier, reads, put, handleAnswer } = createVerifier();
      put(3);
      handleAnswer();
      verifier.handleVersion(3);
      const before = verifier.mayRefuse();
      verifier.handleVersion(4);
      const behind = verifier.mayRefuse();
      clock.advance(400);
      verifier.handleTick();
      put(4);
      expect([before, behind, verifier.mayRefuse(), reads.length]).toEqual([true, false, true, 1]);
    });

    it('is given up when the store does not answer in time', async () => {
      const { verifier, put } = createVerifier(0, false, new Error('the store is cut off'));
      put(3);
      expect(await verifier.prove(20)).toEqual(false);
    });
  });

  describe('without keys', () => {
    const tick = ({ clock, verifier }: ReturnType<typeof createVerifier>, gap: number): void => {
      clock.advance(gap);
      verifier.handleTick();
    };

    // A VM whose watch call was lost kept its old version until the call's time limit.
    it('reads a version that another VM has proved and its own watch has not told', async () => {
      const one = createVerifier(0, false);
      one.put(3);
      one.handleAnswer();
      one.verifier.handleProof({ version: 4, provedAt: one.clock.readNow() });
      const before = one.reads.length;
      tick(one, 400);
      expect([before, one.reads.length]).toEqual([0, 1]);
    });

    // Each change of the configuration cost every VM a read besides its watch.
    it('reads nothing that its own watch tells', () => {
      const one = createVerifier(0, false);
      one.put(3);
      one.handleAnswer();
      one.verifier.handleProof({ version: 4, provedAt: one.clock.readNow() });
      one.put(4);
      tick(one, 400);
      expect(one.reads).toEqual([]);
    });

    // Each VM read the configuration twice when it started.
    it('reads nothing while the first answer is being handled', () => {
      const one = createVerifier(0, false);
      one.put(3);
      tick(one, 0);
      expect(one.reads).toEqual([]);
    });

    // A VM that no other VM reaches must not wait for the end of a long watch.
    it('reads once when nothing has proved the version for long', async () => {
      const one = createVerifier(0, false);
      one.put(3);
      one.handleAnswer();
      tick(one, MAX_PROOF_AGE_MS - 1);
      const before = one.reads.length;
      for (let index = 0; index < 5; index++) {
        tick(one, 100);
        await wait(0);
      }
      expect([before, one.reads.length]).toEqual([0, 1]);
    });
  });
});
